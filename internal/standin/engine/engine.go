// Package engine provides a stand-in model engine for trials and tests.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Markers in a request body that trigger faults.
const (
	// MarkCrash crashes the engine that runs the request.
	MarkCrash = "crash-this-server"
	// MarkCut closes the connection once, in the middle of the stream.
	MarkCut = "cut-this-stream"
	// MarkCross puts the ID of another request into the response.
	MarkCross = "cross-this-answer"
	// MarkEarlyEnd ends the stream without an error but also without its [DONE] event.
	MarkEarlyEnd = "end-this-early"
)

const (
	maxBodyBytes = 2 << 20
	maxStreams   = 4096
)

// Config configures an Engine.
type Config struct {
	Listen string
	// Slots is the number of concurrent requests that a warm engine handles, ColdSlots
	// the number for a cold one. A request crashes the engine if the load has exceeded
	// this number for FallOverAfter.
	Slots         int
	ColdSlots     int
	FallOverAfter time.Duration
	// WarmAfter is the number of responses that add one slot to a cold engine.
	WarmAfter int
	// Tokens is the length of a response, unless the request sets max_tokens.
	Tokens int
	// FirstToken is the time to the first token without a cache hit, CachedToken the time
	// with one.
	FirstToken    time.Duration
	CachedToken   time.Duration
	TokenInterval time.Duration
	RestartDelay  time.Duration
	// LoadLag is the maximum age of the reported load.
	LoadLag time.Duration
	// CacheEntries is the number of chats that the prefix cache holds.
	CacheEntries int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
}

// Engine is one stand-in engine. A crash closes every connection and keeps the port
// closed for RestartDelay. Then a new generation starts cold.
type Engine struct {
	cfg Config
	// addr is the address that the engine listens at; it stays the same after a crash.
	addr string

	mu         sync.Mutex
	generation int
	running    int
	answered   int
	// peak is the highest load of all generations.
	peak    int
	crashes int
	// runs counts the runs by request body.
	runs    map[string]int
	cache   *lru.Cache[string, bool]
	streams *lru.Cache[string, *stream]
	// fencing is the fencing number of the last accepted order.
	fencing       uint64
	orders        []string
	load          report
	loadUpdatedAt time.Time
	// leaving is set while the engine reports that it is about to stop.
	leaving bool
	// overloadedSince is when the load rose above the capacity; zero while it is not
	// above.
	overloadedSince time.Time
	// crash is closed when the current process crashes.
	crash chan struct{}
}

// report is the load that the engine reports.
type report struct {
	Generation string `json:"generation"`
	Running    int    `json:"running"`
	Slots      int    `json:"slots"`
	Leaving    bool   `json:"leaving"`
}

// Stats holds the engine's own counts, for tests and trials.
type Stats struct {
	Generation int            `json:"generation"`
	Crashes    int            `json:"crashes"`
	Peak       int            `json:"peak"`
	Answered   int            `json:"answered"`
	Runs       map[string]int `json:"runs"`
	Orders     []string       `json:"orders"`
}

// New returns an engine and the listener on its address.
func New(cfg Config) (*Engine, net.Listener, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for stand-in engine")
	}
	e := &Engine{cfg: cfg, addr: listener.Addr().String(), runs: make(map[string]int)}
	e.reset()
	return e, listener, nil
}

// Addr returns the engine's IP address and port.
func (e *Engine) Addr() string { return e.addr }

// reset replaces the simulated process with a new, cold one. The caller holds the lock
// or is the only user of the engine.
func (e *Engine) reset() {
	e.generation++
	e.running = 0
	e.answered = 0
	e.leaving = false
	// lru.New fails only for sizes that are not positive.
	e.cache, _ = lru.New[string, bool](max(1, e.cfg.CacheEntries))
	e.streams, _ = lru.New[string, *stream](maxStreams)
	e.crash = make(chan struct{})
	e.loadUpdatedAt = time.Time{}
	e.overloadedSince = time.Time{}
}

// Run serves until ctx ends. After each crash it waits for RestartDelay and serves
// again.
func (e *Engine) Run(ctx context.Context, listener net.Listener) error {
	for {
		crashed, err := e.serve(ctx, listener)
		if !crashed {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(e.cfg.RestartDelay):
		}
		if listener, err = net.Listen("tcp", e.addr); err != nil {
			return errors.Wrap(err, "listen after restart of stand-in engine")
		}
		e.mu.Lock()
		e.reset()
		e.mu.Unlock()
	}
}

// serve serves until ctx ends or the process crashes.
func (e *Engine) serve(ctx context.Context, listener net.Listener) (crashed bool, err error) {
	e.mu.Lock()
	crash := e.crash
	e.mu.Unlock()
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	var group errgroup.Group
	stopped := make(chan struct{})
	group.Go(func() error {
		select {
		case <-crash:
			return server.Close()
		case <-stopped:
			return nil
		}
	})
	err = server.Serve(listener)
	close(stopped)
	_ = group.Wait()
	select {
	case <-crash:
		return true, nil
	default:
	}
	if errors.Is(err, http.ErrServerClosed) {
		return false, nil
	}
	return false, err
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/cache/{chat}", e.serveExport)
	mux.HandleFunc("POST /v1/cache/{chat}", e.serveImport)
	mux.HandleFunc("POST /fault/{name}", e.serveFault)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Stats returns the engine's own counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for body, n := range e.runs {
		runs[body] = n
	}
	return Stats{e.generation, e.crashes, e.peak, e.answered, runs, append([]string(nil), e.orders...)}
}

// capacity returns the number of concurrent requests that the engine handles now. The
// caller holds the lock.
func (e *Engine) capacity() int {
	if e.cfg.WarmAfter <= 0 {
		return e.cfg.Slots
	}
	return min(e.cfg.Slots, e.cfg.ColdSlots+e.answered/e.cfg.WarmAfter)
}

// toleratesLoad reports whether the engine survives its current load. The caller holds
// the lock.
func (e *Engine) toleratesLoad(now time.Time) bool {
	if e.running <= e.capacity() {
		e.overloadedSince = time.Time{}
		return true
	}
	if e.overloadedSince.IsZero() {
		e.overloadedSince = now
	}
	return now.Sub(e.overloadedSince) < e.cfg.FallOverAfter
}

// Crash closes every connection, as a killed process would.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.crash:
	default:
		e.crashes++
		close(e.crash)
	}
}

// TurnCold empties the cache and makes the engine cold. The engine does not report
// this.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.Purge()
	e.answered = 0
}

// Leave makes the engine report that it is about to stop. It goes on serving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	switch r.PathValue("name") {
	case "crash":
		e.Crash()
	case "cold":
		e.TurnCold()
	case "leave":
		e.Leave()
	default:
		http.Error(w, "unknown fault: want crash, cold or leave", http.StatusBadRequest)
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	if e.loadUpdatedAt.IsZero() || now.Sub(e.loadUpdatedAt) >= e.cfg.LoadLag {
		e.loadUpdatedAt = now
		e.load = report{strconv.Itoa(e.generation), e.running, e.capacity(), e.leaving}
	}
	load := e.load
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Fencing uint64 `json:"fencing"`
		Action  string `json:"action"`
		Value   string `json:"value"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && order.Fencing < e.fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencing = order.Fencing
	e.orders = append(e.orders, strings.Join([]string{strconv.FormatUint(order.Fencing, 10), order.Action, order.Value}, " "))
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	_, ok := e.cache.Peek(r.PathValue("chat"))
	e.mu.Unlock()
	if !ok {
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, "kv:"+r.PathValue("chat"))
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || string(data) != "kv:"+r.PathValue("chat") {
		http.Error(w, "not the cache of this chat", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.Add(r.PathValue("chat"), true)
}
