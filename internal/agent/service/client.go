// Package service is the agent's client of a service that is not a model
// engine, such as a booking server. Calls that aren't idempotent run under a
// claim in the ledger, which makes them run at most once.
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
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/httpheader"
	"bronzerill/internal/wire/httpresponse"
	"bronzerill/internal/wire/memory"
	"bronzerill/internal/wire/tcp"
)

// Limits of one call.
const (
	dialTimeout      = time.Second
	maxResponseBytes = 8 << 20
)

// headerIdempotencyKey is the header with the idempotency key of the caller.
const headerIdempotencyKey = "Idempotency-Key"

// Client is the client of one service. Each call has a connection of its own:
// net/http resends a request with an idempotency key if a reused connection
// fails.
type Client struct {
	cfg     ClientConfig
	backoff httpheader.Backoff
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Base is the base URL of the service.
	Base  string
	Clock func() time.Time
}

// NewClient returns a client of one service.
func NewClient(cfg ClientConfig) *Client { return &Client{cfg: cfg} }

// Do sends one call and returns the complete reply, whose body is in the buffer. If the kind of the error
// means not-run, no byte of the request was sent. It is KindOverloaded in a pause that the
// service asked for.
func (c *Client) Do(ctx context.Context, o exchange.Open, buffer *memory.Buffer) (state.Reply, error) {
	if wait := c.backoff.Remaining(c.cfg.Clock()); wait > 0 {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindOverloaded, "the service asked for a pause of another %v", wait)
	}
	// The transport can't rewind this body, so it never sends it twice.
	body := io.NopCloser(bytes.NewReader(o.Body))
	request, err := http.NewRequestWithContext(ctx, o.Method, c.cfg.Base+o.Path, body)
	if err != nil {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindBadRequest, "service address: %v", err)
	}
	request.ContentLength = int64(len(o.Body))
	if len(o.Body) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Content-Type", o.ContentType)
	if o.Key != "" {
		request.Header.Set(headerIdempotencyKey, o.Key)
	}
	var connected atomic.Bool
	client := &http.Client{Transport: c.transport(&connected), CheckRedirect: returnRedirect}
	response, err := client.Do(request)
	if err != nil {
		return state.Reply{}, callError(err, connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	if c.backoff.Record(c.cfg.Clock(), response.StatusCode, response.Header) {
		metrics.Count(metrics.EventBackoff)
	}
	return readReply(response, buffer)
}

// callError returns KindUnreachable if no connection was made, so that the call
// was never sent, and otherwise KindOutcomeUnknown.
func callError(err error, connected bool) error {
	if connected {
		return bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "service: %v", err)
	}
	return bronzerill.Errorf(bronzerill.KindUnreachable, "service: %v", err)
}

// transport returns a transport for one call. It sets connected when it has
// made a connection, since bytes may reach the service from then on.
func (c *Client) transport(connected *atomic.Bool) *httpresponse.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: tcp.LimitBuffers}
	return httpresponse.NewTransport(&http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err == nil {
				connected.Store(true)
			}
			return conn, err
		},
	})
}

// returnRedirect makes the HTTP client return a redirect instead of following
// it, which would be a second call.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// readReply reads a reply. A service has no report that tells its processes apart, so a reply that
// ends with its connection may be cut off.
func readReply(response *http.Response, buffer *memory.Buffer) (state.Reply, error) {
	if !httpheader.IsFramed(response) {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "service reply has neither a length nor chunks")
	}
	buffer.Expect(response.ContentLength)
	if err := buffer.ReadAll(response.Body, maxResponseBytes); err != nil {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "service reply is incomplete: %v", err)
	}
	return state.Reply{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: buffer.Bytes()}, nil
}

// Ping checks that the service accepts connections.
func (c *Client) Ping(ctx context.Context, addr string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "connect to service")
	}
	return conn.Close()
}
