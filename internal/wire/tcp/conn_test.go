package tcp

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// connPair returns both ends of a connection.
func connPair(t *testing.T) (conn *Conn, peer *net.TCPConn) {
	listener := listenWithSmallBuffer(t)
	defer func() { require.NoError(t, listener.Close()) }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return NewConn(dialed), accepted.(*net.TCPConn)
}

// Guards against a reset that the writer of a request has taken notice of, after which reads end as if
// the peer had closed the connection (issue 49).
func TestResetThatAWriteReportsIsNoEndOfData(t *testing.T) {
	conn, peer := connPair(t)
	_, err := io.WriteString(peer, "part")
	require.NoError(t, err)
	require.NoError(t, Reset(peer))
	require.Eventually(t, func() bool {
		_, err := conn.Write([]byte("x"))
		return err != nil
	}, 5*time.Second, time.Millisecond)
	data, err := io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Equal(t, "part", string(data))
}

// The reset is noticed although no write of this Conn has failed, as after a failure of a keep-alive probe.
func TestResetIsNoEndOfData(t *testing.T) {
	conn, peer := connPair(t)
	_, err := io.WriteString(peer, "part")
	require.NoError(t, err)
	require.NoError(t, Reset(peer))
	require.Eventually(t, func() bool {
		_, err := conn.Conn.Write([]byte("x"))
		return err != nil
	}, 5*time.Second, time.Millisecond)
	data, err := io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Equal(t, "part", string(data))
}

func TestCloseIsTheEndOfData(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{"close": (*net.TCPConn).Close, "half-close": (*net.TCPConn).CloseWrite} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connPair(t)
			_, err := io.WriteString(peer, "whole")
			require.NoError(t, err)
			require.NoError(t, end(peer))
			data, err := io.ReadAll(conn)
			require.NoError(t, err)
			require.Equal(t, "whole", string(data))
			require.False(t, conn.IsReset())
		})
	}
}

// A peer that has closed the connection resets it with the next bytes that arrive.
func TestResetAfterACloseIsAwaited(t *testing.T) {
	conn, peer := connPair(t)
	require.NoError(t, peer.CloseWrite())
	_, err := io.ReadAll(conn)
	require.NoError(t, err)
	var group errgroup.Group
	written := make(chan struct{})
	group.Go(func() error {
		defer close(written)
		time.Sleep(20 * time.Millisecond)
		err := Reset(peer)
		for failed := error(nil); failed == nil; {
			_, failed = conn.Write([]byte("x"))
		}
		return err
	})
	require.True(t, conn.IsResetAfter(written, time.Minute))
	require.NoError(t, group.Wait())
}

func TestCloseIsNotAwaitedForLong(t *testing.T) {
	conn, peer := connPair(t)
	require.NoError(t, peer.CloseWrite())
	_, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.False(t, conn.IsResetAfter(nil, time.Millisecond))
}

func TestResetOfAConnDiscardsUndeliveredBytes(t *testing.T) {
	const sent = 64 << 10
	conn, peer := connPair(t)
	require.NoError(t, conn.Conn.(*net.TCPConn).SetWriteBuffer(2*sent))
	_, err := conn.Write(make([]byte, sent))
	require.NoError(t, err)
	require.NoError(t, Reset(conn))
	n, err := io.Copy(io.Discard, peer)
	require.Error(t, err)
	require.Less(t, n, int64(sent))
}
