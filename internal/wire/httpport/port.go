// Package httpport listens for HTTP clients. It bounds what their connections may hold, and stops without leaving
// a request unanswered that was read.
package httpport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/wire/memory"
	"bronzerill/internal/wire/tcp"
)

// Timing of a stop.
const (
	// unusedTimeout is how long a connection may stay open without a first request after its
	// port was closed.
	unusedTimeout = 5 * time.Second
	// checkInterval is the time between two checks for connections that are still open.
	checkInterval = 10 * time.Millisecond
)

// defaultStallTimeout applies unless the configuration says otherwise.
const defaultStallTimeout = 30 * time.Second

// Config configures a Port.
type Config struct {
	// Name names the port in the metrics.
	Name string
	// Memory counts what requests and responses take. Without it, nothing is bounded together.
	Memory *memory.Budget
	// MaxConns is how many connections may be open at once, 0 for no limit. Those of clients that don't finish yield to new
	// ones, then idle ones.
	MaxConns int
	// StallTimeout is how long a client may take to send or read the next 64 KB of a request or response, or the rest.
	StallTimeout time.Duration
	// Clock returns the current time. The default is time.Now.
	Clock func() time.Time
}

// unboundedMemory is the size of the budget of ports without one.
const unboundedMemory = 1 << 62

func (c Config) withDefaults() Config {
	if c.Memory == nil {
		c.Memory = memory.NewBudget(unboundedMemory)
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = defaultStallTimeout
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	return c
}

// Port is a listener that knows its open connections. After Close, its requests are still
// served, while http.Server.Shutdown closes connections whose request it has just read.
type Port struct {
	*net.TCPListener
	cfg       Config
	closeOnce sync.Once
	closeErr  error
	mu        sync.Mutex
	conns     map[*portConn]struct{}
	// lingering holds connections that were closed while the http.Server still waits before it closes them.
	lingering map[*portConn]struct{}
	// roomMade has an element after a connection was closed, and closed is closed with the port.
	roomMade chan struct{}
	closed   chan struct{}
}

// Listen opens a port at a TCP address.
func Listen(addr string, cfg Config) (*Port, error) {
	config := net.ListenConfig{Control: tcp.LimitBuffers}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listener of type %T", listener)
	}
	return &Port{TCPListener: tcpListener, cfg: cfg.withDefaults(), conns: make(map[*portConn]struct{}), lingering: make(map[*portConn]struct{}), roomMade: make(chan struct{}, 1), closed: make(chan struct{})}, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Serve serves the port until it or the server is closed. It sets the server's ConnState and bounds how long its handler
// waits for the bodies of requests.
func (p *Port) Serve(s *http.Server) error {
	s.ConnState = p.connState
	s.Handler = boundBodies(s.Handler)
	connContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	if err := s.Serve(p); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// AwaitClosed waits until all connections of a closed port are closed, or until ctx ends and
// returns its error. It closes connections that are idle.
func (p *Port) AwaitClosed(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for p.releaseIdle(p.cfg.Clock()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// Close closes the port to new connections. Further calls return the result of the first.
func (p *Port) Close() error {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.closeErr = p.TCPListener.Close()
	})
	return p.closeErr
}

// Accept accepts the next connection.
func (p *Port) Accept() (net.Conn, error) {
	if !p.awaitRoom() {
		return nil, net.ErrClosed
	}
	conn, err := p.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := newPortConn(p.cfg.Clock(), conn, p.cfg)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	metrics.ConnectionOpened(p.cfg.Name)
	return c, nil
}

// connState is the hook ConnState of the port's server.
func (p *Port) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*portConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginWork(p.cfg.Clock())
	case http.StateIdle:
		c.setIdle(p.cfg.Clock())
	case http.StateClosed, http.StateHijacked:
		c.end()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
		delete(p.lingering, c)
		metrics.ConnectionClosed(p.cfg.Name)
		p.signalRoom()
	case http.StateNew:
	}
}

// releaseIdle closes the idle connections and returns how many connections are still open.
func (p *Port) releaseIdle(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.releaseIfIdle(now)
	}
	return len(p.conns)
}

// CloseWhen returns a handler that asks clients to close their connections if stopping returns
// true before the response begins.
func CloseWhen(stopping func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		closing := &closingWriter{ResponseWriter: w, stopping: stopping}
		closing.setHeader()
		next.ServeHTTP(closing, r)
	})
}

// closingWriter sets the header Connection.
type closingWriter struct {
	http.ResponseWriter
	stopping func() bool
}

// WriteHeader writes the header of the response.
func (w *closingWriter) WriteHeader(status int) {
	w.setHeader()
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for an http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) setHeader() {
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
}
