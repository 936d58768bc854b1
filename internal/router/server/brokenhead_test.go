package server

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/standin/raw"
)

// headPositions are what a server may send before a head.
var headPositions = map[string]string{
	"first":                    "",
	"after an interim answer":  "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
	"after an answer to other": "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 5\r\n\r\nother",
}

// requireNoResponses requires that a call gets no response if its server sends any of the heads, at any position. The
// next bytes are whole responses to the call.
func requireNoResponses(t *testing.T, heads []string) {
	const body = "Content-Length: 4\r\n\r\nbody"
	const whole = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + body
	for position, before := range headPositions {
		t.Run(position, func(t *testing.T) {
			var sent atomic.Pointer[string]
			s := startServer(t, func(conn *net.TCPConn, _ int) {
				send(conn, *sent.Load())
				_ = conn.Close()
			})
			c := newTestClient()
			for _, head := range heads {
				text := before + head + body + whole
				sent.Store(&text)
				response, err := c.Do(testContext(t), newCall(s.addr()))
				if err == nil {
					got, bodyErr := readBody(t, response)
					require.Error(t, err, "%q is a response: %d %v %q %v", head, response.Status, response.Header, got, bodyErr)
				}
			}
			text := before + whole
			sent.Store(&text)
			response, err := c.Do(testContext(t), newCall(s.addr()))
			require.NoError(t, err)
			got, err := readBody(t, response)
			require.NoError(t, err)
			require.Equal(t, "body", got)
		})
	}
}

// Guards against bytes that are no status, and that net/http reads as a number (issue 49).
func TestResponseWithInvalidStatusIsNone(t *testing.T) {
	var heads []string
	for _, status := range raw.InvalidStatuses() {
		heads = append(heads, "HTTP/1.1 "+status+" X\r\nX-Id: 1\r\n")
	}
	requireNoResponses(t, heads)
}

// Guards against names of fields that net/http lets pass although they hold a byte that isn't allowed there
// (issue 49).
func TestResponseWithUnreadableFieldIsNone(t *testing.T) {
	var heads []string
	for _, field := range []string{"Content-Length: 4", "Transfer-Encoding: chunked", "X-Id: 1"} {
		for _, line := range raw.UnreadableFields(field) {
			heads = append(heads, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+line+"\r\n")
		}
	}
	requireNoResponses(t, heads)
}
