package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/wire/httpheader"
	"bronzerill/internal/wire/memory"
	"bronzerill/internal/wire/tcp"
)

// Call is one request to one server.
type Call struct {
	Addr   string
	Method string
	// Target is the path and query of the request, exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// FreshConn requires a connection that is new or was idle only briefly. Calls
	// that can't be repeated need it, because an idle connection may be dead.
	FreshConn bool
	// Witness requires a second connection to the server before the call is sent.
	Witness bool
	// MaySend is called once the connection is open. If it returns an error, nothing is sent.
	// Without it, the call is always sent.
	MaySend func() error
	// Match reports to which call a response with these headers belongs.
	Match func(http.Header) Match
}

// Match states to which call a response belongs.
type Match int

// The values of Match.
const (
	// MatchOwn is a response to the call.
	MatchOwn Match = iota
	// MatchOther is a response to another call on the connection. It is skipped.
	MatchOther
	// MatchNone is a response that names no call. It may answer any, or none, so the call fails
	// and its connection is closed.
	MatchNone
)

// Error is the error of a call that got no response.
type Error struct {
	// Run is RunNot only if no byte of the request was sent. Otherwise the server may
	// have run the request.
	Run bronzerill.RunState
	// Refused is set if nothing listens at the address: the dial failed, but not
	// with a timeout.
	Refused bool
	// Withheld is set if MaySend of the call returned the cause.
	Withheld bool
	Cause    error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is the response of a server. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Framed is false if the body ends when the connection closes. A complete body
	// then looks the same as a truncated one.
	Framed bool
	// NewConn is set if a new connection was opened for the call.
	NewConn bool
	// Witness is the second connection, nil if the call required none or none could be
	// opened. It is valid until the body is closed.
	Witness *Witness
	conn    *clientConn
	write   *requestWrite
}

// IsReset reports whether the server has reset the connection, also after the body has ended. It is valid until
// the body is closed.
func (r *Response) IsReset() bool { return r.conn.IsResetAfter(r.write.done, tcp.CloseGrace) }

// errConnClosed means that a connection was closed before a call was sent on it.
var errConnClosed = errors.New("connection closed while it was idle")

// Config configures a Client.
type Config struct {
	// Clock returns the current time.
	Clock func() time.Time
	// Memory is what long headers of responses may take, with all else that is counted in it. Without it,
	// each header is bounded by itself.
	Memory *memory.Budget
}

// Client sends calls to servers.
type Client struct {
	cfg  Config
	pool pool
}

// NewClient returns a client without open connections.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, pool: pool{idle: make(map[string][]*clientConn)}}
}

// Sweep closes connections that were idle for too long.
func (c *Client) Sweep(now time.Time) { c.pool.sweep(now) }

// maxFreshIdle is the maximum idle time of a connection for a call that can't be
// repeated.
const maxFreshIdle = 250 * time.Millisecond

// maxForeignResponses limits the responses to other requests that are skipped on one
// connection.
const maxForeignResponses = 2

// Do sends a call and returns the response once its header has arrived. It never sends
// a call twice. If ctx ends, the connection is reset, even while the body is being read, so that
// a server which has been unreachable doesn't get the call later.
// The error is an *Error and states whether the server may have run the request.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	conn, isNew, err := c.connect(ctx, call)
	if err != nil {
		return nil, err
	}
	var witness *Witness
	if call.Witness {
		witness = c.openWitness(ctx, call.Addr)
	}
	if call.MaySend != nil {
		if err := call.MaySend(); err != nil {
			_ = conn.Close()
			witness.release()
			return nil, &Error{Run: bronzerill.RunNot, Withheld: true, Cause: err}
		}
	}
	response, err := c.exchange(ctx, conn, witness, call)
	if err != nil {
		return nil, err
	}
	response.NewConn = isNew
	return response, nil
}

// exchange sends a call on a connection and reads the header of the response. The witness may
// be nil.
func (c *Client) exchange(ctx context.Context, conn *clientConn, witness *Witness, call Call) (*Response, error) {
	request := newRequest(call)
	stop := context.AfterFunc(ctx, func() { _ = conn.reset() })
	if c.cfg.Memory != nil {
		conn.limited.share, conn.limited.counted = c.cfg.Memory.NewShare(nil), true
	}
	write := startWrite(conn, request, len(call.Body))
	response, err := c.readResponse(conn, request, call.Match) //nolint:bodyclose // the body of the returned Response closes it
	if err != nil {
		stop()
		_ = conn.reset()
		conn.limited.share.Free()
		witness.release()
		written := write.bytesWritten()
		run := bronzerill.RunUnknown
		if written == 0 {
			run = bronzerill.RunNot
		}
		return nil, &Error{Run: run, Cause: err}
	}
	body := &body{
		Reader: response.Body, client: c, conn: conn, stop: stop, write: write, witness: witness,
		reusable:      !response.Close && response.ProtoAtLeast(1, 1),
		reusableUntil: idleDeadline(c.cfg.Clock(), response.Header),
	}
	framed := httpheader.IsFramed(response)
	body.reusable = body.reusable && framed
	return &Response{
		Status: response.StatusCode, Header: response.Header, Body: body,
		Length: response.ContentLength, Framed: framed, Witness: witness, conn: conn, write: write,
	}, nil
}

func (c *Client) connect(ctx context.Context, call Call) (conn *clientConn, isNew bool, err error) {
	maxIdleFor := maxIdleTime
	if call.FreshConn {
		maxIdleFor = maxFreshIdle
	}
	if conn := c.pool.take(c.cfg.Clock(), call.Addr, maxIdleFor); conn != nil {
		return conn, false, nil
	}
	// The SYN packet may have been lost, so a timeout is retried once.
	conn, err = dial(ctx, call.Addr, firstDialTimeout)
	if err != nil && ctx.Err() == nil && isTimeout(err) {
		conn, err = dial(ctx, call.Addr, secondDialTimeout)
	}
	if err != nil {
		return nil, false, &Error{Run: bronzerill.RunNot, Refused: !isTimeout(err), Cause: err}
	}
	return conn, true, nil
}

// IsRefused reports whether nothing listens at an address. If the server accepts the
// connection, later calls use it.
func (c *Client) IsRefused(ctx context.Context, addr string) bool {
	conn, err := dial(ctx, addr, firstDialTimeout)
	if err != nil {
		// Other errors, such as a lack of file descriptors, say nothing about the server.
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.pool.put(c.cfg.Clock(), conn)
	return false
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

// readResponse returns the response that belongs to the call and skips others.
func (c *Client) readResponse(conn *clientConn, request *http.Request, match func(http.Header) Match) (*http.Response, error) {
	foreign := 0
	if err := conn.beginHead(); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		conn.limited.endHead()
		switch match(response.Header) {
		case MatchOwn:
			return response, nil
		case MatchNone:
			return nil, errors.Errorf("response with status %d names no request", response.StatusCode)
		}
		foreign++
		if foreign > maxForeignResponses {
			return nil, errors.New("too many responses to other requests")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil {
			return nil, errors.Wrap(err, "skip response to another request")
		}
		if n == maxSkippedBytes {
			return nil, errors.New("response to another request too large")
		}
		if err := conn.beginHead(); err != nil {
			return nil, err
		}
	}
}

// asyncBodySize is the body size above which a request is written in a goroutine. A
// server may respond before it has read a large body.
const asyncBodySize = 8 << 10

// requestWrite is a request that is being written to a connection.
type requestWrite struct {
	writer *countingWriter
	group  errgroup.Group
	done   chan struct{}
	err    error
}

func startWrite(conn *clientConn, request *http.Request, bodyBytes int) *requestWrite {
	w := &requestWrite{writer: &countingWriter{conn: conn}, done: make(chan struct{})}
	if bodyBytes <= asyncBodySize {
		w.run(request)
		return w
	}
	w.group.Go(func() error { w.run(request); return nil })
	return w
}

func (w *requestWrite) run(request *http.Request) {
	defer close(w.done)
	if request.ContentLength > asyncBodySize {
		// A copy of each large body would take as much memory again.
		w.err = request.Write(w.writer)
	} else {
		w.err = w.writeAtOnce(request)
	}
	if w.err != nil {
		// The response may have arrived already, so the reader gets a short deadline.
		_ = w.writer.conn.SetReadDeadline(w.writer.responseDeadline())
	}
}

// writeAtOnce writes a small request with one call.
func (w *requestWrite) writeAtOnce(request *http.Request) error {
	var buffer bytes.Buffer
	buffer.Grow(asyncBodySize + int(request.ContentLength))
	// Writing to memory fails only if the request can't be encoded.
	if err := request.Write(&buffer); err != nil {
		return err
	}
	_, err := w.writer.Write(buffer.Bytes())
	return err
}

// isDone reports whether the whole request was written.
func (w *requestWrite) isDone() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

func (w *requestWrite) bytesWritten() int64 { return w.writer.n.Load() }

// body is the body of a response. Close returns the connection to the pool once the
// request and the response are complete.
type body struct {
	io.Reader
	client        *Client
	conn          *clientConn
	stop          func() bool
	write         *requestWrite
	witness       *Witness
	reusable      bool
	reusableUntil time.Time
	atEOF         bool
	closed        bool
}

// Read reads the body. A broken connection is reported as an error, not as io.EOF.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.atEOF = true
	}
	return n, err
}

// Close returns the connection to the pool if it can be reused, and closes it
// otherwise. It gives up the call if the response isn't complete.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.conn.limited.share.Free()
	b.witness.release()
	active := b.stop()
	if active && b.atEOF && b.reusable && b.write.isDone() && b.conn.reader.Buffered() == 0 {
		b.conn.usableUntil = b.reusableUntil
		b.client.pool.put(b.client.cfg.Clock(), b.conn)
		return nil
	}
	if !b.atEOF {
		return b.conn.reset()
	}
	return b.conn.Close()
}
