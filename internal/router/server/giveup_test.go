package server

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// slowReader accepts one connection. It reads nothing before release is closed, and then everything.
type slowReader struct {
	listener net.Listener
	release  chan struct{}
	group    errgroup.Group
	received int64
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

func startSlowReader(t *testing.T, response string) *slowReader {
	listener := listenWithSmallBuffer(t)
	s := &slowReader{listener: listener, release: make(chan struct{})}
	s.group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		send(conn, response)
		<-s.release
		s.received, _ = io.Copy(io.Discard, conn) // a reset ends it
		return conn.Close()
	})
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

// Guards against calls that reach a server long after they were given up (review/4).
func TestCallThatIsGivenUpIsNotDeliveredLater(t *testing.T) {
	const bodyBytes = 64 << 10
	tests := []struct {
		name, response string
		giveUp         func(t *testing.T, call Call)
	}{
		{"timeout before the response", "", func(t *testing.T, call Call) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := newTestClient().Do(ctx, call)
			require.Error(t, err)
		}},
		{"response that isn't read to its end", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nok", func(t *testing.T, call Call) {
			response, err := newTestClient().Do(testContext(t), call)
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond) // the body is written meanwhile
			require.NoError(t, response.Body.Close())
		}},
		{"bytes that are no response", "nonsense\r\n\r\n", func(t *testing.T, call Call) {
			_, err := newTestClient().Do(testContext(t), call)
			require.Error(t, err)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startSlowReader(t, test.response)
			call := newCall(s.listener.Addr().String())
			call.Body = make([]byte, bodyBytes)
			test.giveUp(t, call)
			close(s.release)
			require.NoError(t, s.group.Wait())
			require.Less(t, s.received, int64(bodyBytes))
		})
	}
}
