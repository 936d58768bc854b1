// Package httpresponse receives HTTP responses of peers that may be faulty.
package httpresponse

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"bronzerill/internal/wire/tcp"
)

// Transport is an http.Transport that checks the heads of responses, and whose responses don't end with io.EOF if
// their connection was reset. Heads in TLS aren't checked.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport with the settings of base, which it changes. It opens connections
// with the DialContext of base.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: tcp.NewConn(c)}, nil
	}
	return &Transport{base}
}

// NewDefaultTransport returns a transport with the settings of http.DefaultTransport.
func NewDefaultTransport() *Transport {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.beginHead()
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// conn checks the head of the response to each request.
type conn struct {
	*tcp.Conn
	mu sync.Mutex
	// head is guarded by mu.
	head HeadChecker
}

// beginHead is called before a request is sent. A read may be waiting for its response already.
func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Begin()
}

// Read reads up to the first invalid byte of a head.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.headErr(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if valid, headErr := c.head.Check(p[:n]); headErr != nil {
		return valid, headErr
	}
	return n, err
}

// headErr returns the error of a head that was read before. net/http reads on after a line that an error has cut off.
func (c *conn) headErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Err()
}
