package server

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxEndlessBytes is far above what a client may read of a response without an end, and above
// what the kernel buffers.
const maxEndlessBytes = 16 << 20

// TestResponseWithoutEndIsAnError has servers that send until the client closes.
func TestResponseWithoutEndIsAnError(t *testing.T) {
	filler := strings.Repeat("x", 64<<10)
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct{ name, start, repeated string }{
		{"no status line", "", filler},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", filler},
		{"header fields", "HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 10_000)},
		{"interim responses", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 2000)},
		{"body of another response", "HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\n", filler},
		{"chunk extension", chunked + "1;a=", filler},
		{"trailer", chunked + "0\r\nA: ", filler},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var sent atomic.Int64
			s := startServer(t, func(conn *net.TCPConn, _ int) {
				send(conn, test.start)
				for sent.Load() < maxEndlessBytes {
					n, err := io.WriteString(conn, test.repeated)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			start := time.Now()
			response, err := newTestClient().Do(testContext(t), newCall(s.addr()))
			if err == nil {
				_, err = readBody(t, response)
			}
			require.Error(t, err)
			require.Less(t, sent.Load(), int64(maxEndlessBytes))
			require.Less(t, time.Since(start), time.Second)
		})
	}
}
