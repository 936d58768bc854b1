package httpport

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/wire/memory"
	"bronzerill/internal/wire/tcp"
)

// What the head of a request takes, in bytes: each of its bytes and each of its lines several times, while it is read,
// while the request is served, and to forward it.
const (
	headByteMemory = 4
	headLineMemory = 256
	// usualHeadMemory is what isn't counted.
	usualHeadMemory = 16 << 10
)

// writeBytes is the part of a response that a client has to read within the stall timeout.
const writeBytes = 64 << 10

// portConn is an accepted connection.
type portConn struct {
	*net.TCPConn
	cfg        Config
	transfer   *memory.Transfer
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
	// refused is set once no more of the body of the request is to be read.
	refused bool
	// served is set after the first response after which the connection may be used again.
	served bool
	// cut is set once nothing more of the response is to be sent.
	cut bool
	// inHead is set until the head of a request has been read. headMemory is what that takes so far, and headEnd finds its
	// end.
	inHead     bool
	headMemory int64
	headEnd    headEnd
	// unhandled is set from the end of the head of a request until a handler has it. The http.Server answers some by itself.
	unhandled atomic.Bool
	// gone is set if the connection was closed before the head of a request had been read.
	gone bool
	// readDeadline is the deadline that the http.Server has set.
	readDeadline time.Time
	// head is what a long head takes. It belongs to the goroutine of the http.Server.
	head memory.Share
}

func newPortConn(now time.Time, conn *net.TCPConn, cfg Config) *portConn {
	c := &portConn{TCPConn: conn, cfg: cfg, acceptedAt: now, inHead: true}
	c.transfer = cfg.Memory.NewTransfer(now, c.yield)
	c.head = cfg.Memory.NewShare(c.transfer)
	return c
}

// Read reads the next bytes of a request. If there is no memory for its head, the http.Server closes the connection.
func (c *portConn) Read(p []byte) (int, error) {
	if c.unhandled.Load() {
		c.limitUnhandled(c.cfg.Clock())
	}
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isIdle() {
		// The request may have arrived while this process wasn't scheduled to read it.
		if arrived := tcp.ReadArrived(c.TCPConn, p); arrived > 0 {
			n, err = arrived, nil
		}
	}
	if n == 0 {
		return n, err
	}
	if deadlineErr := c.setBusy(); deadlineErr != nil {
		return n, deadlineErr
	}
	if size := c.countHead(p[:n]); size > usualHeadMemory && !c.head.Grow(size) {
		metrics.Count(metrics.EventHeadTooLarge)
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// Write writes a part of a response. It fails if the client doesn't read it, or if the connection yields meanwhile.
func (c *portConn) Write(p []byte) (int, error) {
	before, _ := c.transfer.Phase()
	c.transfer.Begin(c.cfg.Clock(), memory.PhaseSending)
	defer func() { c.transfer.Begin(c.cfg.Clock(), before) }()
	written := 0
	for written < len(p) {
		if err := c.limitWrite(c.cfg.Clock().Add(c.cfg.StallTimeout)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		c.transfer.Progress(c.cfg.Clock(), n)
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.transfer.Yielded() {
			metrics.Count(metrics.EventResponseStalled)
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// ReadFrom writes what a reader returns, as the http.Server does for handlers that copy a response of a stated length.
func (c *portConn) ReadFrom(r io.Reader) (int64, error) {
	// Without the type of the connection, the copy goes through Write and has its limits.
	return io.Copy(struct{ io.Writer }{c}, r)
}

// limitWrite limits the next write.
func (c *portConn) limitWrite(until time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return os.ErrDeadlineExceeded
	}
	return c.SetWriteDeadline(until)
}

// cutResponse makes writes fail.
func (c *portConn) cutResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	// If this fails, the connection is closed already.
	_ = c.SetWriteDeadline(c.acceptedAt)
}

// isIdle reports whether no byte of the next request has been read.
func (c *portConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.busy
}

// setBusy is called when bytes of a request have arrived.
func (c *portConn) setBusy() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.used, c.awaiting = true, true, false
	if !c.released {
		return nil
	}
	c.released = false
	return c.TCPConn.SetReadDeadline(c.readDeadline)
}

// limitUnhandled limits the next read if it is for the body of a request that no handler has: the http.Server reads such
// bodies, without a limit, before it answers.
func (c *portConn) limitUnhandled(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unhandled.Load() {
		return // a handler has it meanwhile
	}
	c.transfer.Begin(now, memory.PhaseDiscarding)
	_, since := c.transfer.Phase()
	c.setBodyDeadline(since.Add(c.cfg.StallTimeout))
}

// countHead returns what a head takes with the bytes that have arrived, 0 if they belong to none.
func (c *portConn) countHead(data []byte) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return 0
	}
	switch {
	case c.headEnd.find(data):
		// Nothing more is awaited from the client.
		c.transfer.Begin(c.cfg.Clock(), memory.PhaseWorking)
	case c.headMemory == 0:
		c.transfer.Begin(c.cfg.Clock(), memory.PhaseHead)
	}
	c.headMemory += headByteMemory*int64(len(data)) + headLineMemory*int64(bytes.Count(data, []byte{'\n'}))
	return c.headMemory
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

// beginWork is called when the head of a request has been read.
func (c *portConn) beginWork(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused, c.inHead, c.headMemory, c.headEnd = false, false, 0, headEnd{}
	c.unhandled.Store(true)
	c.gone = !c.transfer.Begin(now, memory.PhaseWorking)
}

// beginHandling is called when a handler gets the request. It returns false if the connection was made to yield before.
func (c *portConn) beginHandling(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unhandled.Store(false)
	if !c.transfer.Begin(now, memory.PhaseWorking) || c.gone {
		return false
	}
	// The limit of unhandled requests no longer holds. If this fails, the connection is closed already.
	_ = c.TCPConn.SetReadDeadline(c.readDeadline)
	return true
}

// setIdle is called at the end of a response.
func (c *portConn) setIdle(now time.Time) {
	c.head.Free()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.inHead, c.served = false, true, true
	c.unhandled.Store(false)
	c.transfer.Begin(now, memory.PhaseIdle)
}

// CloseWrite is called after the last response, if the client may still be sending: the http.Server closes the connection
// after a while, so that the client can read the response first.
func (c *portConn) CloseWrite() error {
	c.head.Free()
	c.transfer.Begin(c.cfg.Clock(), memory.PhaseClosing)
	return c.TCPConn.CloseWrite()
}

// wasServed reports whether the client has had a response on the connection.
func (c *portConn) wasServed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// end gives back what the connection takes.
func (c *portConn) end() {
	c.head.Free()
	c.transfer.Close()
}

// releaseIfIdle makes the http.Server close the connection unless it reads a request. The read
// fails before it takes any byte, or succeeds and the request is served.
func (c *portConn) releaseIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.released || !c.used && now.Sub(c.acceptedAt) < unusedTimeout {
		return
	}
	c.failReads()
}

// release makes the http.Server close the connection if it is idle.
func (c *portConn) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.released {
		return false
	}
	c.failReads()
	return true
}

// failReads makes reads fail, unless a request has arrived already. The caller holds the lock.
func (c *portConn) failReads() {
	c.released = true
	// If this fails, the connection is closed already.
	_ = c.TCPConn.SetReadDeadline(c.acceptedAt)
}

// yield makes the connection give its memory back while it waits for the client.
func (c *portConn) yield(phase memory.Phase) bool {
	switch phase {
	case memory.PhaseIdle:
		return c.release() && counted(metrics.EventYieldedIdle)
	case memory.PhaseHead:
		return c.closeInHead() && counted(metrics.EventYieldedHead)
	case memory.PhaseBody, memory.PhaseDiscarding:
		c.refuseBody()
		return counted(metrics.EventYieldedBody)
	case memory.PhaseSending:
		c.cutResponse()
		return counted(metrics.EventYieldedResponse)
	case memory.PhaseClosing:
		// If this fails, the connection is closed already.
		_ = c.Close()
		return counted(metrics.EventYieldedClosing)
	}
	return false
}

// counted counts an event. It returns true, as the result of a yield.
func counted(e metrics.Event) bool {
	metrics.Count(e)
	return true
}

// closeInHead closes the connection unless the head of the request has been read.
func (c *portConn) closeInHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return false
	}
	// Reads fail then. If it fails itself, the connection is closed already.
	_ = c.Close()
	return true
}

// refuseBody makes reads of the request's body fail.
func (c *portConn) refuseBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
	// If this fails, the connection is closed already.
	_ = c.TCPConn.SetReadDeadline(c.acceptedAt)
}

// limitBodyRead limits the next read of the request's body. It does nothing once that is refused.
func (c *portConn) limitBodyRead(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setBodyDeadline(until)
}

// setBodyDeadline is limitBodyRead for a caller that holds the lock.
func (c *portConn) setBodyDeadline(until time.Time) {
	if !c.refused {
		_ = c.TCPConn.SetReadDeadline(until) // as above
	}
}
