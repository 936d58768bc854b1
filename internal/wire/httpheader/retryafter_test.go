package httpheader

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetryAfter(t *testing.T) {
	const date = "Fri, 04 Dec 2026 16:00:00 GMT"
	tests := []struct {
		value, serverTime string
		pause             time.Duration
		invalid           bool
	}{
		{"3", "", 3 * time.Second, false}, {" 0.25 ", "", 250 * time.Millisecond, false}, {"", "", 0, false}, {"0", "", 0, false},
		{"-1", "", 0, true}, {"soon", "", 0, true}, {"3 s", "", 0, true}, {"NaN", "", 0, true}, {"Inf", "", 0, true}, {"-1e999", "", 0, true},
		{"1e12", "", MaxRetryAfter, false}, {"1e999", "", MaxRetryAfter, false},
		{"Fri, 04 Dec 2026 16:00:07 GMT", date, 7 * time.Second, false}, {"Fri, 04 Dec 2026 15:59:00 GMT", date, 0, false},
		{"Fri, 04 Dec 2099 15:59:00 GMT", date, MaxRetryAfter, false}, {"Fri, 04 Dec 2026 16:00:07 GMT", "", 0, true},
	}
	for _, test := range tests {
		h := http.Header{}
		h.Set("Retry-After", test.value)
		h.Set("Date", test.serverTime)
		pause, err := RetryAfter(h)
		require.Equal(t, test.pause, pause, test.value)
		require.Equal(t, test.invalid, err != nil, test.value)
	}
}

func TestBackoffKeepsTheLongestPause(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var b Backoff
	record := func(now time.Time, status int, value string) bool {
		return b.Record(now, status, http.Header{"Retry-After": {value}})
	}
	require.LessOrEqual(t, b.Remaining(now), time.Duration(0))
	require.False(t, record(now, 200, "5"))
	require.False(t, record(now, 503, "soon"))
	require.LessOrEqual(t, b.Remaining(now), time.Duration(0))
	require.True(t, record(now, 503, "2"))
	require.True(t, record(now, 503, "0.5"))
	require.Equal(t, 1500*time.Millisecond, b.Remaining(now.Add(500*time.Millisecond)))
	require.True(t, record(now.Add(time.Second), 503, "2"))
	require.Equal(t, 2*time.Second, b.Remaining(now.Add(time.Second)))
}
