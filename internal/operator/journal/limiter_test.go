package journal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimiterBoundsLinesPerSecond(t *testing.T) {
	limiter := NewLimiter("test", 3)
	allowed := 0
	for i := range 50 {
		if limiter.Allow(time.Unix(10, int64(i))) {
			allowed++
		}
	}
	require.Equal(t, 3, allowed)
	require.Equal(t, "47", suppressedLines.Get("test").String())
	require.True(t, limiter.Allow(time.Unix(11, 0)))
}
