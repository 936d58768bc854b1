package tcp

import (
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Sizes of the buffers of a socket in bytes, for what has arrived and wasn't read, and for what was written and wasn't received.
// The kernel takes up to twice as much, but by default lets each buffer grow to several MB.
const (
	receiveBytes = 32 << 10
	// sendBytes is larger than the segments of the loopback interface: with a smaller one they wait for delayed
	// acknowledgements.
	sendBytes = 64 << 10
)

// LimitBuffers limits the buffers of a socket. It is for the field Control of a net.Dialer or a net.ListenConfig: connections
// have the limits of their listener.
func LimitBuffers(_, _ string, raw syscall.RawConn) error {
	var receiveErr, sendErr error
	err := raw.Control(func(fd uintptr) {
		receiveErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		sendErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBytes)
	})
	for _, e := range []error{err, receiveErr, sendErr} {
		if e != nil {
			return errors.Wrap(e, "limit the buffers of a socket")
		}
	}
	return nil
}
