package tcp

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// stateClosed is the kernel's state of a connection after a reset or a timeout. After the peer has closed it
// properly, the state is another one until this side closes it, too.
const stateClosed = unix.BPF_TCP_CLOSE

// ErrReset means that the data of a connection ended without the peer having closed it.
var ErrReset = errors.WithMessage(syscall.ECONNRESET, "connection ended by a reset")

// CloseGrace is how long a connection whose peer has closed it may take to be reset. It is longer than a round trip
// between data centres.
const CloseGrace = 10 * time.Millisecond

// Conn is a connection whose data ends with io.EOF only if the peer has closed it. The kernel reports the error of
// a connection once, to whichever call comes first. If that is a write, a read afterwards returns io.EOF.
type Conn struct {
	net.Conn
	// writeFailed is set once a write has failed.
	writeFailed atomic.Bool
}

// NewConn returns a Conn that reads from and writes to c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read reads data. It never returns io.EOF on a connection that was reset.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.IsReset() {
		return n, ErrReset
	}
	return n, err
}

// Write writes data.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// IsReset reports whether the connection ended in another way than by a close of the peer.
func (c *Conn) IsReset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return c.writeFailed.Load()
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(fd uintptr) { info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		// This side has closed the connection.
		return true
	}
	return c.writeFailed.Load() || optionErr == nil && info.State == stateClosed
}

// IsResetAfter is IsReset for a connection whose data has ended while something may still be written to it. A peer that
// closes it rather than read on resets it with the next bytes that arrive. So this waits until all is written, but no
// longer than a grace, mostly CloseGrace.
func (c *Conn) IsResetAfter(written <-chan struct{}, grace time.Duration) bool {
	if c.IsReset() {
		return true
	}
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
	}
	return c.IsReset()
}

// SyscallConn returns the underlying connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.New("not a connection of the kernel")
}

// SetLinger sets the behavior of Close, as net.TCPConn does.
func (c *Conn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(lingerer); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}
