package server

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill"
)

// Guards against a response without an ID that is taken for that to the call (issue 34).
func TestResponseThatNamesNoCallEndsTheConnection(t *testing.T) {
	s := startServer(t, func(conn *net.TCPConn, _ int) {
		send(conn, "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfullHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok")
	})
	call := newCall(s.addr())
	call.Match = func(h http.Header) Match {
		if h.Get("X-Id") == "" {
			return MatchNone
		}
		return MatchOwn
	}
	c := newTestClient()
	for n := range 2 {
		_, err := c.Do(testContext(t), call)
		require.ErrorContains(t, err, "names no request")
		require.Equal(t, bronzerill.RunUnknown, runState(t, err))
		require.EqualValues(t, n+1, s.conns.Load())
	}
}
