package httpport

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/wire/memory"
)

// unreadTimeout is how long the http.Server may wait for the rest of a body that the handler didn't read, so that the
// connection can be used again.
const unreadTimeout = time.Second

// body is the body of a request. A read waits for the client no longer than the limits of its port allow.
type body struct {
	io.ReadCloser
	conn *portConn
	// deadline is when the whole body must have been read, zero if that isn't limited.
	deadline time.Time
	ended    bool
}

// boundBodies returns a handler that limits how long bodies are waited for.
func boundBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*portConn)
		if ok && !conn.beginHandling(conn.cfg.Clock()) {
			panic(http.ErrAbortHandler)
		}
		if !ok || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: conn}
		defer b.limitRest()
		// The http.Server looks at the type of its own request's body.
		bounded := r.WithContext(r.Context())
		bounded.Body = b
		next.ServeHTTP(w, bounded)
	})
}

// SetBodyDeadline limits how long the body of a request of a Port is waited for, in all.
func SetBodyDeadline(r *http.Request, deadline time.Time) {
	if b, ok := r.Body.(*body); ok {
		b.deadline = deadline
	}
}

// RefuseBody makes reads of the body of a request of a Port fail. It may be called at any time.
func RefuseBody(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*portConn); ok {
		conn.refuseBody()
	}
}

// Transfer returns the transfer of the connection of a request, nil if it isn't one of a Port.
func Transfer(r *http.Request) *memory.Transfer {
	if conn, ok := r.Context().Value(connKey{}).(*portConn); ok {
		return conn.transfer
	}
	return nil
}

// Read reads a part of the body. The error is of kind overloaded if the connection yields its memory, and of kind
// expired if the client takes too long.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return b.ReadCloser.Read(p)
	}
	c := b.conn
	now := c.cfg.Clock()
	c.transfer.Begin(now, memory.PhaseBody)
	_, progressedAt := c.transfer.Phase()
	until := progressedAt.Add(c.cfg.StallTimeout)
	if !b.deadline.IsZero() && b.deadline.Before(until) {
		until = b.deadline
	}
	c.limitBodyRead(until)
	n, err := b.ReadCloser.Read(p)
	now = c.cfg.Clock()
	c.transfer.Progress(now, n)
	if err == nil {
		return n, nil
	}
	b.ended = true
	switch {
	case !c.transfer.Begin(now, memory.PhaseWorking):
		return n, bronzerill.Errorf(bronzerill.KindOverloaded, "the body made room for others")
	case errors.Is(err, os.ErrDeadlineExceeded):
		metrics.Count(metrics.EventBodyStalled)
		return n, bronzerill.Errorf(bronzerill.KindExpired, "the body didn't arrive in time")
	}
	return n, err
}

// limitRest limits how long the http.Server waits for what was not read of the body. Others need not wait for it.
func (b *body) limitRest() {
	if b.ended {
		return
	}
	now := b.conn.cfg.Clock()
	b.conn.transfer.Begin(now, memory.PhaseDiscarding)
	b.conn.limitBodyRead(now.Add(unreadTimeout))
}
