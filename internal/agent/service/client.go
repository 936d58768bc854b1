// Package service speaks to a plain service beside the model engines, such as a
// booking server. Calls that are not idempotent run under a claim of the
// ledger.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/wire/exchange"
)

// Limits of one call.
const (
	dialTimeout    = time.Second
	maxAnswerBytes = 8 << 20
)

// headerKey passes the caller's idempotency key on to the service.
const headerKey = "Idempotency-Key"

// Client calls one service. Each call has a connection of its own: on a kept
// one net/http would send a request with an idempotency key a second time when
// the connection dies.
type Client struct {
	base string
}

// NewClient returns a client of the service at an HTTP address.
func NewClient(base string) *Client { return &Client{base: base} }

// Do runs one call and returns the whole answer. An error of a kind that says
// not-run means that no byte of the request was sent.
func (c *Client) Do(ctx context.Context, o exchange.Open) (state.Reply, error) {
	// A body that the transport can't rewind is never sent twice.
	body := io.NopCloser(bytes.NewReader(o.Body))
	request, err := http.NewRequestWithContext(ctx, o.Method, c.base+o.Path, body)
	if err != nil {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindBadRequest, "service address: %v", err)
	}
	request.ContentLength = int64(len(o.Body))
	if len(o.Body) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Content-Type", o.ContentType)
	if o.Key != "" {
		request.Header.Set(headerKey, o.Key)
	}
	var connected atomic.Bool
	client := &http.Client{Transport: c.transport(&connected), CheckRedirect: keepRedirect}
	response, err := client.Do(request)
	if err != nil {
		return state.Reply{}, callError(err, connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	return readReply(response)
}

// callError tells a call that was never sent from one that may have run.
func callError(err error, connected bool) error {
	if connected {
		return bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "service: %v", err)
	}
	return bronzerill.Errorf(bronzerill.KindUnreachable, "service: %v", err)
}

// transport returns a transport for one call, which notes the moment from which
// bytes may have reached the service.
func (c *Client) transport(connected *atomic.Bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err == nil {
				connected.Store(true)
			}
			return conn, err
		},
	}
}

// keepRedirect returns a redirect as the answer that it is, since following it
// would be a second call.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func readReply(response *http.Response) (state.Reply, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "service answer cut off: %v", err)
	}
	if len(body) > maxAnswerBytes {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "service answer over %d bytes", maxAnswerBytes)
	}
	return state.Reply{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// Ping reports whether the service takes connections.
func (c *Client) Ping(ctx context.Context, addr string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "connect to service")
	}
	return conn.Close()
}
