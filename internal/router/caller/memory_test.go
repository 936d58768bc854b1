package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/wire/memory"
)

// Guards against a request that is read although there is no memory for it (issue 46): it is refused before its body
// has arrived, and small ones are still served.
func TestRequestThatDoesNotFitIsRefusedAtOnce(t *testing.T) {
	router := newTestRouter(t, respond(http.StatusOK, "ok"))
	budget := memory.NewBudget(1 << 20)
	router.handler.cfg.Memory = budget
	for _, length := range []int64{900_000, maxBody, maxBody + 1, 1 << 40, 1<<63 - 1} {
		conn, err := net.Dial("tcp", router.frontend.Listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST /repeatable/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: key\r\nContent-Length: %d\r\n\r\n", length)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
		head := make([]byte, 64)
		n, err := io.ReadAtLeast(conn, head, 12)
		require.NoError(t, err, "at once")
		want := "HTTP/1.1 503"
		if length > maxBody {
			want = "HTTP/1.1 413"
		}
		require.Equal(t, want, string(head[:n])[:12])
		require.NoError(t, conn.Close())
	}
	require.Zero(t, router.totalReceived(), "a refused request isn't run")
	status, _, err := router.call("/repeatable/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return budget.Used() == 0 }, time.Second, time.Millisecond, "all memory is given back")
}

// Guards against a response that is awaited although it can't be forwarded (issue 46).
func TestResponseThatDoesNotFitFailsAtOnce(t *testing.T) {
	for _, length := range []int64{900_000, maxBody + 1} {
		router := newTestRouter(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(length))
			respond(http.StatusOK, "start")(w, r)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		router.handler.cfg.Memory = memory.NewBudget(1 << 20)
		start := time.Now()
		status, _, err := router.call("/once/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, status)
		require.Less(t, time.Since(start), 500*time.Millisecond, "before the deadline")
	}
}

// Guards against memory that isn't given back after a request, whatever its end (issue 46).
func TestMemoryIsGivenBack(t *testing.T) {
	large := strings.Repeat("x", 300_000)
	backends := []http.HandlerFunc{
		respond(http.StatusOK, large), respond(http.StatusInternalServerError, large), respond(http.StatusServiceUnavailable, large), resetConnection,
		refuseNotRun, respondUnsigned, sendRaw("HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: 400000\r\n\r\n" + large),
		respond(http.StatusOK, eventText(1, 5)), respond(http.StatusOK, strings.Repeat("x", 900_000)),
	}
	for i, backend := range backends {
		budget := memory.NewBudget(1 << 20)
		router := newTestRouter(t, backend, backends[(i+1)%len(backends)])
		router.handler.cfg.Memory = budget
		for _, path := range []string{"/once/x", "/repeatable/x", "/stream/x", "/resumable/x"} {
			_, _, _ = router.call(path) // any end
			require.Eventually(t, func() bool { return budget.Used() == 0 }, 2*time.Second, time.Millisecond, "%s at server %d", path, i)
		}
	}
}
