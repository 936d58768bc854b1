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

// TestOverloadedServiceRefusesImmediately answers more requests than a server bears: it has 6
// slots and takes 60 ms, and 60 callers come back again and again. Those that are
// refused are told so at once, with a time to come back, and never ran.
func TestOverloadedServiceRefusesImmediately(t *testing.T) {
	slots := make(chan struct{}, 6)
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
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
		status int
		took   time.Duration
		retry  float64
	}
	results := make(chan result, 10_000)
	var callers errgroup.Group
	for range 60 {
		callers.Go(func() error {
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
				sent := time.Now()
				request := w.request(context.Background(), "/once/x")
				request.Header.Set("Patience", "3000")
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return err
				}
				_ = response.Body.Close()
				// Without the header there is no time to come back.
				retry, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				results <- result{response.StatusCode, time.Since(sent), retry}
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
			require.Greater(t, r.retry, 0.0)
			require.Less(t, r.took, 500*time.Millisecond)
			continue
		}
		answered++
	}
	require.Positive(t, refused)
	require.EqualValues(t, answered, w.asked[0].Load(), "who was refused never ran")
	// 6 slots of 60 ms answer 200 in 2 s.
	require.Greater(t, answered, 130)
}

func TestRetryIsDetectedByShorterTimeout(t *testing.T) {
	table := newPatienceTable()
	tests := []struct {
		route    string
		patience time.Duration
		short    bool
	}{
		{"a", 3 * time.Second, false},
		{"a", 2900 * time.Millisecond, false},
		{"a", 2500 * time.Millisecond, true},
		{"b", 2500 * time.Millisecond, false},
		{"a", 5 * time.Second, false},
		{"a", 3 * time.Second, true},
	}
	for _, test := range tests {
		require.Equal(t, test.short, table.isShort(test.route, test.patience), "%+v", test)
	}
}
