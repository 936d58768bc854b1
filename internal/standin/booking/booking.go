// Package booking is a small stand-in for a booking server, for trials and
// tests. It runs every call that it gets, and counts.
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

// Marks in a call's body that bring about faults.
const (
	// MarkCrashBefore drops the connection before the call runs.
	MarkCrashBefore = "crash-before"
	// MarkCrashAfter drops the connection after the call ran.
	MarkCrashAfter = "crash-after"
	// MarkLate answers late.
	MarkLate = "answer-late"
)

const maxBodyBytes = 2 << 20

// Server is one stand-in booking server.
type Server struct {
	// LateDelay is the delay of late answers.
	LateDelay time.Duration
	mu        sync.Mutex
	// executions counts the runs by idempotency key.
	executions map[string]int
	received   map[string]int
}

// NewServer returns a server.
func NewServer(late time.Duration) *Server {
	return &Server{LateDelay: late, executions: make(map[string]int), received: make(map[string]int)}
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

// Executions returns how often each key has run.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for key, n := range s.executions {
		counts[key] = n
	}
	return counts
}

// Received returns how often a call under the key arrived.
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
