package netrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// slowListener accepts connections late, as behind a busy network path.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	time.Sleep(l.delay)
	return conn, err
}

// Guards against a server that is never called, since setting up a connection takes longer than the time
// limit of a call, and each connection is dropped with the call that has opened it.
func TestConnectionIsKeptThatTookLongerThanTheCall(t *testing.T) {
	const timeout = 100 * time.Millisecond
	secret := Secret("the secret of both")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(secret, hclog.NewNullLogger())
	require.NoError(t, server.Register("Echo", &Echo{}))
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, slowListener{listener, 2 * timeout}) })
	client := NewClient(listener.Addr().String(), secret)
	answered := 0
	for range 8 {
		if _, err := say(client, "hello", timeout); err == nil {
			answered++
		}
	}
	client.Close()
	stop()
	_ = group.Wait() // the listener is closed
	require.NotZero(t, answered)
}
