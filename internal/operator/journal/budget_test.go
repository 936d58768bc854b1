package journal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimiterBoundsLinesPerSecond(t *testing.T) {
	b := NewLimiter("test", 3)
	allowed := 0
	for i := range 50 {
		if b.Allow(time.Unix(10, int64(i))) {
			allowed++
		}
	}
	require.Equal(t, 3, allowed)
	require.Equal(t, "47", leftOut.Get("test").String())
	require.True(t, b.Allow(time.Unix(11, 0)))
}
