package caller

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limitedServer answers with a header that states its limit.
func limitedServer(limit *atomic.Pointer[string]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if value := *limit.Load(); value != "" {
			w.Header().Set("Limit", value)
		}
		respond(http.StatusOK, "ok")(w, r)
	}
}

func TestServerLimitIsKept(t *testing.T) {
	var limit atomic.Pointer[string]
	state := func(value string) { limit.Store(&value) }
	state("1")
	router := newTestRouter(t, limitedServer(&limit))
	status, body, err := router.call("/once/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, body)
	for _, value := range []string{"1", "unreadable"} {
		state(value)
		received := router.totalReceived()
		begin := time.Now()
		refused := 0
		for range 40 {
			status, _, err := router.call("/once/x")
			require.NoError(t, err)
			if status == http.StatusServiceUnavailable {
				refused++
			}
			time.Sleep(5 * time.Millisecond)
		}
		require.LessOrEqual(t, float64(router.totalReceived()-received), 5+1.5*time.Since(begin).Seconds(), value)
		require.GreaterOrEqual(t, refused, 30, value)
	}
	state("")
	require.Eventually(t, func() bool {
		status, _, err := router.call("/once/x")
		return err == nil && status == http.StatusOK
	}, 3*time.Second, 50*time.Millisecond)
	for range 20 {
		status, body, err := router.call("/once/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "the limit has ended: %s", body)
	}
}

func TestRefusalBecauseOfServerLimitsIsImmediate(t *testing.T) {
	value := "0"
	var limit atomic.Pointer[string]
	limit.Store(&value)
	router := newTestRouter(t, limitedServer(&limit), limitedServer(&limit))
	for range 2 {
		status, _, err := router.call("/once/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	begin := time.Now()
	request := router.request(t.Context(), "/once/x")
	request.Header.Set("Timeout", "3000")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "rate-limited", string(body))
	require.Less(t, time.Since(begin), 500*time.Millisecond)
	retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, retryAfter, 0.0)
	require.LessOrEqual(t, retryAfter, 1.0, "callers ignore pauses of over a third of their timeout")
}
