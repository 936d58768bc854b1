// Package httpresponse receives HTTP responses of peers that may be faulty.
package httpresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/wire/tcp"
)

// Transport is an http.Transport that checks the heads of responses, and whose responses don't end with io.EOF if
// their connection was reset. Heads in TLS aren't checked.
type Transport struct {
	*http.Transport
	// closeGrace is how long a connection that was closed while its request was being written may take to be reset.
	closeGrace time.Duration
}

// NewTransport returns a transport with the settings of base, which it changes. It opens connections
// with the DialContext of base.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{Control: tcp.LimitBuffers}).DialContext
	}
	t := &Transport{Transport: base, closeGrace: tcp.CloseGrace}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: tcp.NewConn(c), closeGrace: t.closeGrace}, nil
	}
	return t
}

// NewDefaultTransport returns a transport with the settings of http.DefaultTransport.
func NewDefaultTransport() *Transport {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// A request that wasn't sent on one connection is sent on another one.
	var sentTo atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.beginExchange()
				sentTo.Store(c)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if c := sentTo.Load(); c != nil {
				c.endRequest()
			}
		},
	}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// conn checks the head of the response to each request.
type conn struct {
	*tcp.Conn
	closeGrace time.Duration
	mu         sync.Mutex
	// head and written are guarded by mu. written is closed once the request has been written, or can't be.
	head    HeadChecker
	written chan struct{}
}

// beginExchange is called before a request is sent. A read may be waiting for its response already.
func (c *conn) beginExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Begin()
	c.written = make(chan struct{})
}

func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.written:
	default:
		close(c.written)
	}
}

// Read reads up to the first invalid byte of a head.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.headErr(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	valid, headErr := c.head.Check(p[:n])
	written := c.written
	c.mu.Unlock()
	switch {
	case headErr != nil:
		return valid, headErr
	case errors.Is(err, io.EOF) && written != nil && c.IsResetAfter(written, c.closeGrace):
		return n, tcp.ErrReset
	}
	return n, err
}

// headErr returns the error of a head that was read before. net/http reads on after a line that an error has cut off.
func (c *conn) headErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Err()
}
