package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

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

// Bytes that the peer hasn't received when the connection is reset never reach it. Guards against calls
// that arrive after their sender has given them up (review/4).
func TestResetDiscardsUndeliveredBytes(t *testing.T) {
	const sent = 64 << 10
	tests := []struct {
		name  string
		close func(net.Conn) error
		whole bool
	}{
		{"close delivers all", net.Conn.Close, true},
		{"reset", Reset, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener := listenWithSmallBuffer(t)
			defer func() { require.NoError(t, listener.Close()) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			peer, err := listener.Accept()
			require.NoError(t, err)
			defer func() { require.NoError(t, peer.Close()) }()
			require.NoError(t, conn.(*net.TCPConn).SetWriteBuffer(2*sent))
			_, err = conn.Write(make([]byte, sent))
			require.NoError(t, err)
			require.NoError(t, test.close(conn))
			n, err := io.Copy(io.Discard, peer)
			if test.whole {
				require.NoError(t, err)
				require.EqualValues(t, sent, n)
			} else {
				require.Less(t, n, int64(sent))
			}
		})
	}
}
