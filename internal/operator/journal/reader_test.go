package journal

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const logs = `{"@level":"info","@message":"started","@module":"a","@timestamp":"2026-10-01T22:18:00.000000Z"}
{"@level":"info","@message":"declared state taken","@module":"a","@timestamp":"2026-10-01T22:18:10.000000Z","number":7}
  12.5 a {"@level":"warn","@message":"not answered","@module":"a","@timestamp":"2026-10-01T22:18:12.500000Z","request":"r1","outcome":"timeout"}
{"@level":"info","@message":"attempt failed","@module":"a","@timestamp":"2026-10-01T22:18:12.100000Z","request":"r1","server":"i-1"}
{"@level":"info","@message":"declared state taken","@module":"b","@timestamp":"2026-10-01T22:18:11.000000Z","number":8}
{"@level":"info","@message":"answered","@module":"a","@timestamp":"2026-10-01T22:18:12.200000Z","request":"r2"}
{"@level":"info","@message":"cut sho
plain text
{"@level":"info","@message":"no time","@module":"a"}
`

func TestRequestHistory(t *testing.T) {
	lines, broken, err := Read(strings.NewReader(logs))
	require.NoError(t, err)
	require.Equal(t, 3, broken)
	beliefs, story := RequestHistory(lines, "r1", 5*time.Second)
	require.Len(t, story, 2)
	require.Equal(t, "attempt failed", story[0].Message)
	require.Equal(t, "timeout", story[1].Fields["outcome"])
	require.Len(t, beliefs, 1, "only of the processes that took part, and not older")
	require.Equal(t, "declared state taken", beliefs[0].Message)
}

func TestStateChangesBetween(t *testing.T) {
	lines, _, err := Read(strings.NewReader(logs))
	require.NoError(t, err)
	since := time.Date(2026, 10, 1, 22, 18, 5, 0, time.UTC)
	require.Len(t, StateChangesBetween(lines, since, time.Time{}), 2)
	require.Len(t, StateChangesBetween(lines, since, since.Add(5500*time.Millisecond)), 1)
}
