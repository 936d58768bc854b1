package netrpc

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// Echo is a service that replies immediately, or not before the test ends.
type Echo struct{ silent chan struct{} }

// Say returns the word. It blocks on the word "silence".
func (e *Echo) Say(word *string, reply *string) error {
	if *word == "silence" {
		<-e.silent
	}
	*reply = *word
	return nil
}

func startServer(t *testing.T, secret Secret) (addr string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	echo := &Echo{silent: make(chan struct{})}
	server := NewServer(secret, hclog.NewNullLogger())
	require.NoError(t, server.Register("Echo", echo))
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		close(echo.silent)
		stop()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

func say(c *Client, word string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply string
	err := c.Call(ctx, "Echo.Say", &word, &reply)
	return reply, err
}

func TestCall(t *testing.T) {
	addr := startServer(t, Secret("the secret of both"))
	client := NewClient(addr, Secret("the secret of both"))
	defer client.Close()
	_, before := ByteCounts()
	reply, err := say(client, "hello", time.Second)
	require.NoError(t, err)
	assert.Equal(t, "hello", reply)
	_, after := ByteCounts()
	assert.Greater(t, after, before, "bytes are counted")
}

func TestWrongSecretIsRefused(t *testing.T) {
	addr := startServer(t, Secret("the secret of one"))
	client := NewClient(addr, Secret("another secret"))
	defer client.Close()
	_, err := say(client, "hello", time.Second)
	assert.Error(t, err)
}

// TestSilentConnectionIsReplaced checks that a call succeeds after one that timed
// out.
func TestSilentConnectionIsReplaced(t *testing.T) {
	addr := startServer(t, Secret("the secret of both"))
	client := NewClient(addr, Secret("the secret of both"))
	defer client.Close()
	_, err := say(client, "silence", 50*time.Millisecond)
	require.Error(t, err)
	reply, err := say(client, "again", time.Second)
	require.NoError(t, err)
	assert.Equal(t, "again", reply)
}

func TestGarbageIsRefused(t *testing.T) {
	addr := startServer(t, Secret("the secret of both"))
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(make([]byte, 4096))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	buffer := make([]byte, 1024)
	for err == nil {
		_, err = conn.Read(buffer)
	}
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the server closes the connection")
}

const receiveBuffer = 4 << 10

// listenWithSmallBuffer listens with a receive buffer that takes a small part of a call. The rest stays
// with the sender's kernel. The connections inherit it, so that no larger window is ever announced.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, optionErr)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// Guards against calls that arrive after they timed out (review/1).
func TestCallThatTimedOutIsNotDeliveredLater(t *testing.T) {
	const wordBytes = 64 << 10
	secret := Secret(nil)
	listener := listenWithSmallBuffer(t)
	defer func() { require.NoError(t, listener.Close()) }()
	timedOut := make(chan struct{})
	received := int64(0)
	var server errgroup.Group
	server.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		if err := secret.handshake(conn, "server", "client"); err != nil {
			return err
		}
		<-timedOut
		received, _ = io.Copy(io.Discard, conn) // a reset ends it
		return conn.Close()
	})
	client := NewClient(listener.Addr().String(), secret)
	defer client.Close()
	_, err := say(client, strings.Repeat("x", wordBytes), 100*time.Millisecond)
	require.Error(t, err)
	close(timedOut)
	require.NoError(t, server.Wait())
	require.Less(t, received, int64(wordBytes))
}
