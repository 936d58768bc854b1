package caller

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// TestOverloadedServiceRefusesImmediately sends more requests than a server can
// handle: 60 callers send requests in a loop to a server with 6 slots and a service
// time of 60 ms. Refused requests must get an error with a retry delay at once, and
// must never run.
func TestOverloadedServiceRefusesImmediately(t *testing.T) {
	slots := make(chan struct{}, 6)
	router := newTestRouter(t, func(rw http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-r.Context().Done():
			return
		}
		time.Sleep(60 * time.Millisecond)
		rw.Header().Set("Id", r.Header.Get("Id"))
		rw.Header().Set("Signature", "s")
	})
	type result struct {
		status     int
		took       time.Duration
		retryAfter float64
	}
	results := make(chan result, 10_000)
	var callers errgroup.Group
	for range 60 {
		callers.Go(func() error {
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
				start := time.Now()
				request := router.request(context.Background(), "/once/x")
				request.Header.Set("Timeout", "3000")
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return err
				}
				_ = response.Body.Close()
				// The header is missing in responses that don't refuse the request.
				retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				results <- result{response.StatusCode, time.Since(start), retryAfter}
				if response.StatusCode == http.StatusServiceUnavailable {
					time.Sleep(20 * time.Millisecond)
				}
			}
			return nil
		})
	}
	require.NoError(t, callers.Wait())
	close(results)
	answered, refused := 0, 0
	for r := range results {
		if r.status == http.StatusServiceUnavailable {
			refused++
			require.Greater(t, r.retryAfter, 0.0)
			require.Less(t, r.took, 500*time.Millisecond)
			continue
		}
		answered++
	}
	require.Positive(t, refused)
	require.EqualValues(t, answered, router.received[0].Load(), "a refused request never runs")
	// 6 slots with a service time of 60 ms finish 200 requests in 2 s.
	require.Greater(t, answered, 130)
}

func TestRetryIsDetectedByShorterTimeout(t *testing.T) {
	table := newTimeoutTable()
	tests := []struct {
		route   string
		timeout time.Duration
		short   bool
	}{
		{"a", 3 * time.Second, false},
		{"a", 2900 * time.Millisecond, false},
		{"a", 2500 * time.Millisecond, true},
		{"b", 2500 * time.Millisecond, false},
		{"a", 5 * time.Second, false},
		{"a", 3 * time.Second, true},
	}
	for _, test := range tests {
		require.Equal(t, test.short, table.isShort(test.route, test.timeout), "%+v", test)
	}
}
