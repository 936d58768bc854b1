package tcp

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// limitedPair returns both ends of a connection whose listener limits its buffers.
func limitedPair(t *testing.T, dialer net.Dialer) (accepted, dialed net.Conn) {
	config := net.ListenConfig{Control: LimitBuffers}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err = dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted, dialed
}

// maxUnread is the memory that the limit of the number of connections allows for each (internal/run/limits).
const maxUnread = 64 << 10

// arrived returns how many bytes have arrived that weren't read.
func arrived(t *testing.T, conn net.Conn) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	n, queueErr := 0, error(nil)
	require.NoError(t, raw.Control(func(fd uintptr) { n, queueErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }))
	require.NoError(t, queueErr)
	return n
}

// Guards against bytes that take memory of the machine although nobody reads them (issue 52), also after the kernel has seen a
// fast reader.
func TestUnreadBytesAreLimited(t *testing.T) {
	const size = 16 << 20
	accepted, dialed := limitedPair(t, net.Dialer{Control: LimitBuffers})
	for _, ends := range [][2]net.Conn{{accepted, dialed}, {dialed, accepted}} {
		writer, reader := ends[0], ends[1]
		var group errgroup.Group
		group.Go(func() error {
			_, err := io.CopyN(io.Discard, reader, size)
			return err
		})
		_, err := writer.Write(make([]byte, size))
		require.NoError(t, err)
		require.NoError(t, group.Wait())

		require.NoError(t, writer.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
		unread := 0
		for err == nil {
			var n int
			n, err = writer.Write(make([]byte, 4096))
			unread += n
		}
		require.Less(t, unread, 1<<20, "unread bytes on both sides")
		require.LessOrEqual(t, arrived(t, reader), maxUnread)
		require.NoError(t, writer.SetWriteDeadline(time.Time{}))
	}
}

// Guards against buffers that are smaller than the segments of an interface, which makes each of them wait.
func TestLimitedBuffersTakeManySegments(t *testing.T) {
	const size = 64 << 20
	accepted, dialed := limitedPair(t, net.Dialer{})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for _, ends := range [][2]net.Conn{{accepted, dialed}, {dialed, accepted}} {
		var group errgroup.Group
		stop := context.AfterFunc(ctx, func() { _ = ends[0].Close() })
		defer stop()
		group.Go(func() error {
			_, err := ends[0].Write(make([]byte, size))
			return err
		})
		_, err := io.CopyN(io.Discard, ends[1], size)
		require.NoError(t, err)
		require.NoError(t, group.Wait())
	}
}
