package httpport

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/wire/memory"
)

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

func TestRefusedRequestsYieldFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := memory.NewBudget(1 << 20)
	conn := func(phase memory.Phase, age time.Duration) *portConn {
		c := &portConn{served: true, transfer: budget.NewTransfer(now.Add(-age), func(memory.Phase) bool { return true })}
		c.transfer.Begin(now.Add(-age), phase)
		return c
	}
	body, idle := conn(memory.PhaseBody, 2*stallGrace), conn(memory.PhaseIdle, time.Minute)
	refused, refusedNow := conn(memory.PhaseDiscarding, closingGrace), conn(memory.PhaseDiscarding, closingGrace/2)
	require.Same(t, refused, firstToYield(now, []*portConn{body, idle, refusedNow, refused}))
	require.Same(t, body, firstToYield(now, []*portConn{body, idle, refusedNow}))
	require.Nil(t, firstToYield(now, []*portConn{idle, refusedNow}), "it yields soon")
}
