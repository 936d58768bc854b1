package server

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func withWitness(call Call) Call {
	call.Witness = true
	return call
}

func TestWitnessIsOpenedBeforeTheCall(t *testing.T) {
	var before atomic.Int32
	var s *scriptedServer
	s = startServer(t, func(conn *net.TCPConn, _ int) {
		before.Store(s.conns.Load())
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
	require.Equal(t, int32(2), s.conns.Load(), "both connections are used again")
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
	require.Equal(t, int32(3), s.conns.Load())
}

func TestWitnessOfAnEndedServerFails(t *testing.T) {
	s := startServer(t, func(conn *net.TCPConn, _ int) { send(conn, "HTTP/1.1 200 OK\r\n\r\nbody") })
	client := newTestClient()
	response, err := client.Do(testContext(t), withWitness(newCall(s.addr())))
	require.NoError(t, err)
	require.False(t, response.Framed)
	require.NoError(t, response.Witness.conn.Conn.(*net.TCPConn).CloseRead())
	_, err = response.Witness.Do(testContext(t), newCall(s.addr()))
	require.Error(t, err)
	_, err = response.Witness.Do(testContext(t), newCall(s.addr()))
	require.ErrorIs(t, err, errConnClosed, "a witness answers once")
	require.NoError(t, response.Body.Close())
}
