package server

import (
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func withWitness(call Call) Call {
	call.Witness = true
	return call
}

// openedBefore returns how many connections were opened before a new one.
func (s *scriptedServer) openedBefore(t *testing.T) int {
	marker, err := net.Dial("tcp", s.addr())
	if err != nil {
		return -1
	}
	t.Cleanup(func() { _ = marker.Close() })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		before := slices.Index(s.accepted, marker.LocalAddr().String())
		s.mu.Unlock()
		if before >= 0 {
			return before
		}
	}
	return -1
}

func TestWitnessIsOpenedBeforeTheCall(t *testing.T) {
	var before, markers atomic.Int32
	var s *scriptedServer
	s = startServer(t, func(conn *net.TCPConn, _ int) {
		before.Store(int32(s.openedBefore(t)) - markers.Load())
		markers.Add(1)
		send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	client := newTestClient()
	for range 3 {
		response, err := client.Do(testContext(t), withWitness(newCall(s.addr())))
		require.NoError(t, err)
		require.NotNil(t, response.Witness)
		require.Equal(t, int32(2), before.Load())
		_, err = readBody(t, response)
		require.NoError(t, err)
	}
	require.Equal(t, 2+markers.Load(), s.conns.Load(), "both connections are used again")
}

// An unused connection must not look as if the server had just answered on it.
func TestUnusedWitnessAges(t *testing.T) {
	s := startServer(t, func(conn *net.TCPConn, _ int) { send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") })
	now := time.Now()
	client := NewClient(Config{Clock: func() time.Time { return now }})
	for range 5 {
		response, err := client.Do(testContext(t), withWitness(newCall(s.addr())))
		require.NoError(t, err)
		_, err = readBody(t, response)
		require.NoError(t, err)
		now = now.Add(maxIdleTime / 4)
	}
	// The server may accept a connection after the client has used it, or another one.
	require.Equal(t, 3, s.openedBefore(t))
}

func TestWitnessOfAnEndedServerFails(t *testing.T) {
	s := startServer(t, func(conn *net.TCPConn, _ int) { send(conn, "HTTP/1.1 200 OK\r\n\r\nbody") })
	client := newTestClient()
	response, err := client.Do(testContext(t), withWitness(newCall(s.addr())))
	require.NoError(t, err)
	require.False(t, response.Framed)
	require.NoError(t, response.Witness.conn.Conn.Conn.(*net.TCPConn).CloseRead())
	_, err = response.Witness.Do(testContext(t), newCall(s.addr()))
	require.Error(t, err)
	_, err = response.Witness.Do(testContext(t), newCall(s.addr()))
	require.ErrorIs(t, err, errConnClosed, "a witness answers once")
	require.NoError(t, response.Body.Close())
}
