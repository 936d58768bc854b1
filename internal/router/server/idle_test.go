package server

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against idle times that overflow, after which a connection counts as usable for centuries
// (the class of review/6).
func TestStatedIdleTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	longest := now.Add(maxKeepAliveSeconds*time.Second - idleMargin)
	tests := map[string]time.Time{
		"":                             farFuture,
		"max=5":                        farFuture,
		"timeout=5":                    now.Add(4 * time.Second),
		"max=5, Timeout=5":             now.Add(4 * time.Second),
		"timeout=0":                    now.Add(-time.Second),
		"timeout=9223372036854775807":  longest,
		"timeout=99999999999999999999": now,
		"timeout=-1":                   now,
		"timeout=-9223372037":          now,
		"timeout=-9223372036854775808": now,
		"timeout=soon":                 now,
	}
	for value, want := range tests {
		require.Equal(t, want, idleDeadline(now, http.Header{"Keep-Alive": {value}}), value)
	}
}
