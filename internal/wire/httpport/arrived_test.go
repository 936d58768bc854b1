package httpport

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/wire/memory"
)

// newPair returns a connection of a port that nobody serves, and its client.
func newPair(t *testing.T) (*portConn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	conn := newPortConn(time.Now(), accepted.(*net.TCPConn), Config{Clock: time.Now, Memory: memory.NewBudget(1 << 20)})
	t.Cleanup(func() { _ = conn.Close() })
	return conn, client
}

// Guards against a request that is dropped though it has arrived, since the http.Server hasn't been scheduled to read it.
func TestConnectionDoesNotYieldWhoseRequestHasArrived(t *testing.T) {
	conn, client := newPair(t)
	_, err := io.WriteString(client, wholeRequest)
	require.NoError(t, err)
	time.Sleep(unusedGrace + 50*time.Millisecond)
	rank, _ := conn.rank(time.Now())
	require.Equal(t, rankUnused, rank)
	conn.transfer.Yield()
	_, err = conn.Read(make([]byte, len(wholeRequest)))
	require.NoError(t, err)
}

// Guards against the same while the process ends, and when the idle timeout has passed meanwhile.
func TestIdleConnectionIsKeptWhoseNextRequestHasArrived(t *testing.T) {
	for _, tc := range []struct {
		name     string
		endReads func(*portConn) error
	}{
		{"the port is closed", func(c *portConn) error { c.releaseIfIdle(time.Now()); return nil }},
		{"the port is full", func(c *portConn) error { c.transfer.Yield(); return nil }},
		{"the idle timeout has passed", func(c *portConn) error { return c.SetReadDeadline(time.Now().Add(-time.Second)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, client := newPair(t)
			request := make([]byte, len(wholeRequest))
			for n := range 2 {
				_, err := io.WriteString(client, wholeRequest)
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond)
				if n == 1 {
					require.NoError(t, tc.endReads(conn))
				}
				read, err := conn.Read(request)
				require.NoError(t, err)
				require.Equal(t, len(wholeRequest), read)
				conn.beginWork(time.Now())
				require.True(t, conn.beginHandling(time.Now()))
				conn.setIdle(time.Now())
			}

			require.NoError(t, tc.endReads(conn))
			_, err := conn.Read(request)
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		})
	}
}
