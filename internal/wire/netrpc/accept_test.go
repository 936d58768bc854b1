package netrpc

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// failingListener fails a number of times before it accepts connections.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because it couldn't accept one connection, such as for lack of
// file descriptors (issue 46).
func TestServerOutlastsConnectionsThatItCannotAccept(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &failingListener{Listener: tcp}
	listener.failures.Store(3)
	server := NewServer(nil, hclog.NewNullLogger())
	require.NoError(t, server.Register("Echo", &Echo{}))
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	client := NewClient(tcp.Addr().String(), nil)
	reply, err := say(client, "hello", 5*time.Second)
	client.Close()
	stop()
	require.NoError(t, group.Wait(), "the server goes on")
	require.NoError(t, err)
	require.Equal(t, "hello", reply)
}
