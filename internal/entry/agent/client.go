package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/httpresponse"
	"bronzerill/internal/wire/tcp"
)

// Limits and timeouts of the client.
const (
	// maxAttaches and exchange.AttachTimeout bound the attempts to reattach to one
	// exchange without progress. Both must be exceeded.
	maxAttaches    = 4
	attachPause    = 50 * time.Millisecond
	maxAttachPause = 400 * time.Millisecond
	cancelTimeout  = time.Second
	dialTimeout    = time.Second
	maxIdleConns   = 256
	idleTimeout    = 30 * time.Second
	maxErrorBytes  = 4 << 10
	// openOverhead is what an encoded exchange mostly takes besides its body.
	openOverhead = 1 << 10
)

// errConnectionLost means that the connection to the agent closed or went silent
// before the response was complete.
var errConnectionLost = errors.New("lost connection to agent")

// errAgentGone means that no process listens on the agent's address, or that the
// first connection for an exchange failed.
var errAgentGone = errors.New("no process listens on the agent's address")

// errHostUnreachable means that a connection to the agent's address timed out or
// failed in another way than a refusal.
var errHostUnreachable = errors.New("agent host is unreachable")

// canResume reports whether reattaching to the exchange may still succeed.
func canResume(err error) bool {
	return errors.Is(err, errConnectionLost) || errors.Is(err, errHostUnreachable)
}

// errCallerGone means that writing to the caller failed.
var errCallerGone = errors.New("caller disconnected")

// Output writes a response to the caller. WriteHead is called once, before
// WriteData.
type Output interface {
	WriteHead(h *exchange.Head) error
	WriteData(p []byte) error
}

// Dialer connects to agents.
type Dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Secret is shared by all processes of the fleet.
	Secret string
	// Dialer connects to agents. The default is TCP.
	Dialer Dialer
}

// Client sends requests to agents. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig
	// shared pools the connections of all requests except attaches.
	shared *http.Client
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dialer == nil {
		cfg.Dialer = &net.Dialer{Timeout: dialTimeout, Control: tcp.LimitBuffers}
	}
	c := &Client{cfg: cfg}
	c.shared = &http.Client{Transport: c.newTransport(false)}
	return c
}

func (c *Client) newTransport(disableKeepAlives bool) *httpresponse.Transport {
	return httpresponse.NewTransport(&http.Transport{
		DialContext:         c.cfg.Dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   disableKeepAlives,
	})
}

// Close closes idle connections.
func (c *Client) Close() { c.shared.CloseIdleConnections() }

// Exchange sends one attempt of a request to one agent and copies the response
// to out. After a lost connection it reattaches and resumes the response at the
// current offset. It never sends the request itself twice.
func (c *Client) Exchange(ctx context.Context, addr string, open exchange.Open, out Output) error {
	checker := exchange.NewChecker(open.ID)
	err := c.receive(ctx, c.shared, addr, open, checker, out)
	if errors.Is(err, errAgentGone) {
		return bronzerill.Errorf(bronzerill.KindUnreachable, "agent at %s", addr)
	}
	var limit attachLimit
	for canResume(err) && ctx.Err() == nil && limit.allow(time.Now(), checker.Offset()) {
		metrics.Count(metrics.EventResumed)
		sleep(ctx, limit.pause())
		err = c.attach(ctx, addr, open, checker, out)
	}
	switch {
	case errors.Is(err, errCallerGone) || err != nil && ctx.Err() != nil:
		c.cancel(addr, open)
		return contextError(ctx, err)
	case errors.Is(err, errAgentGone), errors.Is(err, errHostUnreachable):
		return bronzerill.Errorf(bronzerill.KindAgentGone, "agent at %s", addr)
	case errors.Is(err, errConnectionLost):
		return bronzerill.Errorf(bronzerill.KindTruncated, "agent at %s: %v", addr, err)
	}
	return err
}

// attachLimit limits the attempts to reattach to one exchange.
type attachLimit struct {
	// tries counts the attempts since the response made progress to offset, and since
	// is when the connection was lost after that.
	tries  int
	offset int64
	since  time.Time
}

// allow reports whether another attempt is allowed after the connection was lost at the
// offset.
func (l *attachLimit) allow(now time.Time, offset int64) bool {
	if l.since.IsZero() || offset > l.offset {
		*l = attachLimit{offset: offset, since: now}
	}
	l.tries++
	return l.tries <= maxAttaches || now.Sub(l.since) < exchange.AttachTimeout
}

// pause returns the pause before the attempt, which doubles with each.
func (l *attachLimit) pause() time.Duration {
	return min(maxAttachPause, attachPause<<min(l.tries-1, maxAttaches))
}

// contextError returns KindOutcomeUnknown after the deadline, and KindCanceled if
// the caller has disconnected.
func contextError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "deadline exceeded before the response was complete")
	}
	return bronzerill.Errorf(bronzerill.KindCanceled, "%v", err)
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// attach reattaches to the exchange over a new connection, since all pooled
// connections to the agent may have gone silent.
func (c *Client) attach(ctx context.Context, addr string, open exchange.Open, checker *exchange.Checker, out Output) error {
	open.Attach = true
	open.Offset = checker.Offset()
	open.Body = nil
	transport := c.newTransport(true)
	defer transport.CloseIdleConnections()
	return c.receive(ctx, &http.Client{Transport: transport}, addr, open, checker, out)
}

// receive opens the exchange or attaches to it, and copies the response until it
// ends. A connection without a frame for exchange.SilenceTimeout counts as lost.
func (c *Client) receive(ctx context.Context, client *http.Client, addr string, open exchange.Open, checker *exchange.Checker, out Output) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(exchange.SilenceTimeout, func() {
		metrics.Count(metrics.EventConnectionSilent)
		cancel()
	})
	defer silence.Stop()
	response, err := c.post(ctx, client, addr, exchange.PathOpen, open)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errAgentGone
	}
	if err != nil && isDialError(err) && !open.Attach {
		// No connection was made, so the request was never sent.
		return errAgentGone
	}
	if err != nil && isDialError(err) {
		return errors.Wrap(errHostUnreachable, err.Error())
	}
	if err != nil {
		return errors.Wrap(errConnectionLost, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	err = readFrames(exchange.NewDecoder(response.Body), silence, checker, out)
	if !errors.Is(err, errConnectionLost) && !errors.Is(err, errCallerGone) {
		// The exchange has ended. Read the end of the HTTP body too, so that the
		// transport can reuse the connection.
		_, _ = io.CopyN(io.Discard, response.Body, 1)
	}
	return err
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func readFrames(decoder *msgpack.Decoder, silence *time.Timer, checker *exchange.Checker, out Output) error {
	for {
		var f exchange.Frame
		if err := decoder.Decode(&f); err != nil {
			return errors.Wrap(errConnectionLost, err.Error())
		}
		// The time that the caller takes to read is no silence of the agent.
		silence.Stop()
		hasHead := checker.HasHead()
		data, err := checker.Check(&f)
		if err != nil {
			return err
		}
		if err := forwardFrame(&f, hasHead, data, out); err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
		if f.Type == exchange.FrameEnd {
			return nil
		}
		silence.Reset(exchange.SilenceTimeout)
	}
}

func forwardFrame(f *exchange.Frame, hasHead bool, data []byte, out Output) error {
	if f.Type == exchange.FrameHead && !hasHead {
		return out.WriteHead(f.Head)
	}
	if len(data) > 0 {
		return out.WriteData(data)
	}
	return nil
}

func statusError(response *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	kind := bronzerill.KindInternal
	if response.StatusCode == http.StatusUnauthorized {
		// The agent rejected the secret before it read the request, so nothing ran.
		kind = bronzerill.KindAborted
	}
	return bronzerill.Errorf(kind, "agent responded with status %s: %s", response.Status, detail)
}

func (c *Client) post(ctx context.Context, client *http.Client, addr, path string, open exchange.Open) (*http.Response, error) {
	var body bytes.Buffer
	body.Grow(len(open.Body) + openOverhead)
	if err := exchange.NewEncoder(&body).Encode(&open); err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, &body)
	if err != nil {
		return nil, errors.Wrap(err, "create request to agent")
	}
	exchange.Authorize(request, c.cfg.Secret)
	return client.Do(request)
}

// cancel cancels the exchange at the agent. It ignores errors: without the
// message, the agent cancels an exchange that no entry reads.
func (c *Client) cancel(addr string, open exchange.Open) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	open.Body = nil
	response, err := c.post(ctx, c.shared, addr, exchange.PathCancel, open)
	if err == nil {
		_ = response.Body.Close()
	}
}
