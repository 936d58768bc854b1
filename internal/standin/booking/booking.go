// Package booking provides a stand-in booking server for trials and tests. It runs
// every request that it receives, also repeated ones, and counts the runs.
package booking

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"encoding/json"
)

// Markers in a request body that trigger faults.
const (
	// MarkCrashBefore closes the connection before the booking runs.
	MarkCrashBefore = "crash-before"
	// MarkCrashAfter closes the connection after the booking has run.
	MarkCrashAfter = "crash-after"
	// MarkLate delays the response by LateDelay.
	MarkLate = "answer-late"
)

const maxBodyBytes = 2 << 20

// Server is a stand-in booking server.
type Server struct {
	// LateDelay is the delay of responses to requests with MarkLate.
	LateDelay time.Duration
	mu        sync.Mutex
	// executions counts the runs by idempotency key.
	executions map[string]int
	// received counts the requests by idempotency key, also those that did not run.
	received map[string]int
}

// NewServer returns a Server with the given LateDelay.
func NewServer(lateDelay time.Duration) *Server {
	return &Server{LateDelay: lateDelay, executions: make(map[string]int), received: make(map[string]int)}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveBooking)
	mux.HandleFunc("GET /availability", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"carriages": 4}`)
	})
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Executions())
	})
	return mux
}

// Executions returns how often each idempotency key has run.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for key, n := range s.executions {
		counts[key] = n
	}
	return counts
}

// Received returns how many requests arrived with the key.
func (s *Server) Received(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[key]
}

func (s *Server) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.received[key]++
	s.mu.Unlock()
	text := string(body)
	if strings.Contains(text, MarkCrashBefore) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.executions[key]++
	run := s.executions[key]
	s.mu.Unlock()
	if strings.Contains(text, MarkCrashAfter) {
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(text, MarkLate) {
		select {
		case <-time.After(s.LateDelay):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, `{"booked": "`+key+`", "run": `+strconv.Itoa(run)+`}`)
}
