package server

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/wire/memory"
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

// Guards against long headers of many responses at once (issue 46). Usual ones need no memory of the budget.
func TestLongHeadersAreCountedTogether(t *testing.T) {
	for _, test := range []struct {
		budget int64
		fields int
		fails  bool
	}{{0, 10, false}, {0, 2000, true}, {longHeadMemory, 2000, true}, {2 * longHeadMemory, 2000, false}, {2 * longHeadMemory, 10, false}} {
		s := startServer(t, func(conn *net.TCPConn, _ int) {
			send(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n"+strings.Repeat("A: bcdefg\r\n", test.fields)+"\r\nok")
		})
		budget := memory.NewBudget(test.budget)
		client := NewClient(Config{Clock: time.Now, Memory: budget})
		for range 2 {
			response, err := client.Do(testContext(t), newCall(s.addr()))
			require.Equal(t, test.fails, err != nil, "%+v: %v", test, err)
			if err == nil {
				_, err = readBody(t, response)
				require.NoError(t, err)
			}
		}
		require.Zero(t, budget.Used(), "all is given back")
	}
}
