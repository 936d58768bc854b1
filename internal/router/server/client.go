package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill"
)

// Call is one request to one server.
type Call struct {
	Addr   string
	Method string
	// Target is the request's path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// FreshConn asks for a connection that was not idle, or only shortly: for calls
	// that can't be repeated when a kept connection turns out to be dead.
	FreshConn bool
	// Owns reports whether an answer belongs to this call.
	Owns func(http.Header) bool
}

// Error is a call that got no answer.
type Error struct {
	// Run tells whether the server may have run the request: it is RunNot only
	// where no byte of it was sent.
	Run bronzerill.Run
	// Refused is set when nothing listens at the address.
	Refused bool
	Cause   error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is a server's answer. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length, or -1 when it isn't known.
	Length int64
	// Framed is false when the body ends with the connection, so that its end
	// can't be told from a break.
	Framed bool
	// NewConn reports whether a new connection was made for the call.
	NewConn bool
}

// Config configures a Client.
type Config struct {
	// Clock returns the present time.
	Clock func() time.Time
}

// Client sends calls to servers.
type Client struct {
	cfg  Config
	pool pool
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, pool: pool{idle: make(map[string][]*conn)}}
}

// Sweep closes connections that have been idle for too long.
func (c *Client) Sweep(now time.Time) { c.pool.sweep(now) }

// freshIdle is how long a connection may have been idle for a call that can't be
// repeated.
const freshIdle = 250 * time.Millisecond

// maxForeign bounds the answers of other requests that are passed over on one
// connection.
const maxForeign = 2

// Do sends a call and returns the head of its answer. It never sends a call
// twice. When ctx ends, the connection is closed, also while the body is read.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	link, opened, err := c.connect(ctx, call)
	if err != nil {
		return nil, err
	}
	request := newRequest(call)
	release := context.AfterFunc(ctx, func() { _ = link.Close() })
	sent := newSending(link, request, len(call.Body))
	response, err := c.read(link, request, call.Owns) //nolint:bodyclose // the answer carries the body on
	if err != nil {
		release()
		_ = link.Close()
		written := sent.bytes()
		run := bronzerill.RunUnknown
		if written == 0 {
			run = bronzerill.RunNot
		}
		return nil, &Error{Run: run, Cause: err}
	}
	body := &body{
		Reader: response.Body, client: c, link: link, release: release, sent: sent,
		keep:  !response.Close && response.ProtoAtLeast(1, 1),
		until: idleLimit(c.cfg.Clock(), response.Header),
	}
	framed := response.ContentLength >= 0 || isChunked(response)
	body.keep = body.keep && framed
	return &Response{
		Status: response.StatusCode, Header: response.Header, Body: body,
		Length: response.ContentLength, Framed: framed, NewConn: opened,
	}, nil
}

func isChunked(response *http.Response) bool {
	for _, coding := range response.TransferEncoding {
		if strings.EqualFold(coding, "chunked") {
			return true
		}
	}
	return false
}

func (c *Client) connect(ctx context.Context, call Call) (link *conn, opened bool, err error) {
	longest := idleTime
	if call.FreshConn {
		longest = freshIdle
	}
	if link := c.pool.take(c.cfg.Clock(), call.Addr, longest); link != nil {
		return link, false, nil
	}
	// An opening packet may be lost, so a timeout is tried once more.
	link, err = dial(ctx, call.Addr, firstDial)
	if err != nil && ctx.Err() == nil && isTimeout(err) {
		link, err = dial(ctx, call.Addr, secondDial)
	}
	if err != nil {
		return nil, false, &Error{Run: bronzerill.RunNot, Refused: !isTimeout(err), Cause: err}
	}
	return link, true, nil
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

func newRequest(call Call) *http.Request {
	request := &http.Request{
		Method:     call.Method,
		URL:        &url.URL{Opaque: call.Target},
		Host:       call.Host,
		Header:     call.Header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		request.ContentLength = int64(len(call.Body))
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		if len(call.Body) == 0 {
			request.Body = http.NoBody
		}
	}
	return request
}

// read returns the answer that belongs to the call and passes over others.
func (c *Client) read(link *conn, request *http.Request, owns func(http.Header) bool) (*http.Response, error) {
	foreign := 0
	for {
		response, err := http.ReadResponse(link.reader, request)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if owns(response.Header) {
			return response, nil
		}
		foreign++
		if foreign > maxForeign {
			return nil, errors.New("answers of other requests arrived")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrap(err, "pass over the answer of another request")
		}
	}
}

// asyncBody is the size above which a request is sent beside the reading of its
// answer, since a server may answer before it has read everything.
const asyncBody = 8 << 10

// sending is a request on its way.
type sending struct {
	counted *countingWriter
	group   errgroup.Group
	done    chan struct{}
	err     error
}

func newSending(link *conn, request *http.Request, bodyBytes int) *sending {
	s := &sending{counted: &countingWriter{link: link}, done: make(chan struct{})}
	if bodyBytes <= asyncBody {
		s.run(request)
		return s
	}
	s.group.Go(func() error { s.run(request); return nil })
	return s
}

func (s *sending) run(request *http.Request) {
	defer close(s.done)
	var buffer bytes.Buffer
	// Once, since growing a long request by doubling costs three times its size.
	buffer.Grow(asyncBody + int(request.ContentLength))
	// Writing to memory fails only for a request that can't be encoded.
	if s.err = request.Write(&buffer); s.err == nil {
		_, s.err = s.counted.Write(buffer.Bytes())
	}
	if s.err != nil {
		// The answer may be there already: the reader finds out.
		_ = s.counted.link.SetReadDeadline(s.counted.graceEnd())
	}
}

// isDone reports whether the whole request is sent.
func (s *sending) isDone() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

func (s *sending) bytes() int64 { return s.counted.n.Load() }

// body is the body of an answer; closing it gives its connection back when the
// whole exchange is over.
type body struct {
	io.Reader
	client  *Client
	link    *conn
	release func() bool
	sent    *sending
	keep    bool
	until   time.Time
	ended   bool
	closed  bool
}

// Read reads the body; a break of the connection is an error, never an end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close keeps the connection if it is in order, and closes it otherwise.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	live := b.release()
	if live && b.ended && b.keep && b.sent.isDone() && b.link.reader.Buffered() == 0 {
		b.link.usableUntil = b.until
		b.client.pool.put(b.client.cfg.Clock(), b.link)
		return nil
	}
	return b.link.Close()
}
