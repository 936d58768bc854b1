package netrpc

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// Guards against calls that outlast their time limit since the server doesn't read them (issue 55).
func TestCallsEndInTimeThatTheServerDoesNotRead(t *testing.T) {
	const timeout = 100 * time.Millisecond
	secret := Secret(nil)
	listener := listenWithSmallBuffer(t)
	stop := make(chan struct{})
	var server errgroup.Group
	server.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		if err := secret.handshake(conn, "server", "client"); err != nil {
			return err
		}
		<-stop
		return conn.Close()
	})
	client := NewClient(listener.Addr().String(), secret)
	results := make(chan error, 2)
	var calls errgroup.Group
	calls.Go(func() error {
		_, err := say(client, strings.Repeat("x", 16<<20), timeout)
		results <- err
		return nil
	})
	time.Sleep(timeout / 2)
	calls.Go(func() error {
		_, err := say(client, "short", timeout)
		results <- err
		return nil
	})
	ended := 0
	for limit := time.After(20 * timeout); ended < 2; ended++ {
		select {
		case err := <-results:
			require.Error(t, err)
			continue
		case <-limit:
		}
		break
	}
	close(stop)
	require.NoError(t, listener.Close())
	require.NoError(t, server.Wait())
	require.NoError(t, calls.Wait())
	client.Close()
	require.Equal(t, 2, ended, "calls that ended within 20 times their limit")
}
