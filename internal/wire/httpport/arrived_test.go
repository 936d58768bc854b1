package httpport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/wire/memory"
)

// Guards against a request that is dropped though it has arrived, since the http.Server hasn't been scheduled to read it.
func TestConnectionDoesNotYieldWhoseRequestHasArrived(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, client.Close()) }()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	conn := newPortConn(time.Now(), accepted.(*net.TCPConn), Config{Clock: time.Now, Memory: memory.NewBudget(1 << 20)})
	defer func() { _ = conn.Close() }()

	_, err = io.WriteString(client, wholeRequest)
	require.NoError(t, err)
	time.Sleep(unusedGrace + 50*time.Millisecond)
	rank, _ := conn.rank(time.Now())
	require.Equal(t, rankUnused, rank)
	conn.transfer.Yield()
	_, err = conn.Read(make([]byte, len(wholeRequest)))
	require.NoError(t, err)
}
