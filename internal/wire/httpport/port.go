// Package httpport stops HTTP servers without leaving a request unanswered that was read.
package httpport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Timing of a stop.
const (
	// unusedTimeout is how long a connection may stay open without a first request after its
	// port was closed.
	unusedTimeout = 5 * time.Second
	// checkInterval is the time between two checks for connections that are still open.
	checkInterval = 10 * time.Millisecond
)

// Port is a listener that knows its open connections. After Close, its requests are still
// served, while http.Server.Shutdown closes connections whose request it has just read.
type Port struct {
	*net.TCPListener
	closeOnce sync.Once
	closeErr  error
	mu        sync.Mutex
	conns     map[*portConn]struct{}
}

// Listen opens a port at a TCP address.
func Listen(addr string) (*Port, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listener of type %T", listener)
	}
	return &Port{TCPListener: tcp, conns: make(map[*portConn]struct{})}, nil
}

// Serve serves the port until it or the server is closed. It sets the server's ConnState.
func (p *Port) Serve(s *http.Server) error {
	s.ConnState = p.connState
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
	for p.releaseIdle(time.Now()) > 0 {
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
	p.closeOnce.Do(func() { p.closeErr = p.TCPListener.Close() })
	return p.closeErr
}

// Accept accepts the next connection.
func (p *Port) Accept() (net.Conn, error) {
	conn, err := p.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &portConn{TCPConn: conn, acceptedAt: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c, nil
}

// connState is the hook ConnState of the port's server.
func (p *Port) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*portConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle()
	case http.StateClosed, http.StateHijacked:
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	case http.StateNew, http.StateActive:
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

// portConn is an accepted connection.
type portConn struct {
	*net.TCPConn
	acceptedAt time.Time
	mu         sync.Mutex
	// busy is set from the first byte of a request to the end of its response.
	busy bool
	// used is set after the first byte of the first request.
	used bool
	// awaiting is set while the http.Server waits for the next request.
	awaiting bool
	// released is set if reads are to fail, unless a request has arrived already.
	released bool
	// readDeadline is the deadline that the http.Server has set.
	readDeadline time.Time
}

// Read reads the next bytes of a request.
func (c *portConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.used, c.awaiting = true, true, false
	if c.released {
		c.released = false
		if deadlineErr := c.TCPConn.SetReadDeadline(c.readDeadline); deadlineErr != nil {
			return n, deadlineErr
		}
	}
	return n, err
}

// SetReadDeadline sets the read deadline. A released connection keeps its own, unless the
// http.Server has the next request already: it sets a deadline when it begins to wait, and the
// next one when it has something to read, which may come from its buffer.
func (c *portConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.awaiting {
		c.busy, c.released = true, false
	}
	c.awaiting = c.used && !c.busy
	if c.released {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *portConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// releaseIfIdle makes the http.Server close the connection unless it reads a request. The read
// fails before it takes any byte, or succeeds and the request is served.
func (c *portConn) releaseIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.released || !c.used && now.Sub(c.acceptedAt) < unusedTimeout {
		return
	}
	c.released = true
	// If this fails, the connection is closed already.
	_ = c.TCPConn.SetReadDeadline(now)
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
