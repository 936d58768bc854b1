package httpport

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/wire/memory"
)

// Guards against requests without end that the http.Server answers by itself, after it has read their bodies (issue 52).
func TestUnhandledRequestsEnd(t *testing.T) {
	tests := map[string]struct{ sent, want string }{
		"options of the server":         {"OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123", "HTTP/1.1 200"},
		"options of the server, chunks": {"OPTIONS * HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123", "HTTP/1.1 200"},
		"unknown expectation":           {"POST / HTTP/1.1\r\nHost: h\r\nExpect: x\r\nContent-Length: 10\r\n\r\n123", "HTTP/1.1 417"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			port := startPort(t, Config{StallTimeout: 300 * time.Millisecond}, readBody)
			require.Equal(t, test.want, receive(t, send(t, port, test.sent)))
		})
		t.Run(name+", at a full port", func(t *testing.T) {
			port := startPort(t, Config{MaxConns: 4}, readBody)
			for range 10 {
				send(t, port, test.sent)
			}
			require.Equal(t, "HTTP/1.1 200", receive(t, send(t, port, wholeRequest)))
		})
	}
}

// Guards against an unhandled request whose limit holds for the next one on its connection.
func TestLimitOfUnhandledRequestEndsWithIt(t *testing.T) {
	port := startPort(t, Config{StallTimeout: 300 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(600 * time.Millisecond):
		}
		require.NoError(t, r.Context().Err())
		readBody(w, r)
	})
	conn := send(t, port, "OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n123")
	require.Equal(t, "HTTP/1.1 200", receive(t, conn))
	awaitPhase(t, port, memory.PhaseIdle, 1)
	_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	awaitPhase(t, port, memory.PhaseWorking, 1)
	awaitPhase(t, port, memory.PhaseIdle, 1)
}

// Guards against connections that are held by the rest of a body that nobody reads (issue 52). The client gets its answer.
func TestRestOfRefusedBodyYields(t *testing.T) {
	port := startPort(t, Config{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	conn := send(t, port, unfinishedBody)
	awaitPhase(t, port, memory.PhaseDiscarding, 1)
	port.mu.Lock()
	for c := range port.conns {
		require.True(t, c.transfer.Yield())
	}
	port.mu.Unlock()
	require.Equal(t, "HTTP/1.1 404", receive(t, conn))
}

// newRankedConns returns a function that returns a connection in a phase since a while before now.
func newRankedConns(now time.Time) func(phase memory.Phase, age time.Duration) *portConn {
	budget := memory.NewBudget(1 << 20)
	return func(phase memory.Phase, age time.Duration) *portConn {
		c := &portConn{served: true, transfer: budget.NewTransfer(now.Add(-age), func(memory.Phase) bool { return true })}
		c.transfer.Begin(now.Add(-age), phase)
		return c
	}
}

// Guards against responses that are cut off at a full port although their clients read them (issue 52).
func TestResponsesAreNotCutOffAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	conn := newRankedConns(now)
	fresh, slow := conn(memory.PhaseSending, sendingGrace-1), conn(memory.PhaseSending, sendingGrace)
	require.Nil(t, firstToYield(now, []*portConn{fresh, conn(memory.PhaseWorking, time.Hour)}))
	require.Same(t, slow, firstToYield(now, []*portConn{fresh, slow}))
}

func TestRefusedRequestsYieldFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	conn := newRankedConns(now)
	body, idle := conn(memory.PhaseBody, 2*stallGrace), conn(memory.PhaseIdle, time.Minute)
	refused, refusedNow := conn(memory.PhaseDiscarding, closingGrace), conn(memory.PhaseDiscarding, closingGrace/2)
	require.Same(t, refused, firstToYield(now, []*portConn{body, idle, refusedNow, refused}))
	require.Same(t, body, firstToYield(now, []*portConn{body, idle, refusedNow}))
	require.Nil(t, firstToYield(now, []*portConn{idle, refusedNow}), "it yields soon")
}
