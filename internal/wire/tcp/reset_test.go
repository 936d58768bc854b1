package tcp

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Bytes that the peer hasn't received when the connection is reset never reach it. Guards against calls
// that arrive after their sender has given them up (review/4).
func TestResetDiscardsUndeliveredBytes(t *testing.T) {
	// The peer's receive buffer takes a small part of the bytes, and the sender's kernel the rest.
	const sent, receiveBuffer = 64 << 10, 4 << 10
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
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, listener.Close()) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			peer, err := listener.Accept()
			require.NoError(t, err)
			defer func() { require.NoError(t, peer.Close()) }()
			require.NoError(t, peer.(*net.TCPConn).SetReadBuffer(receiveBuffer))
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
