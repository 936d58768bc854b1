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
	lines, invalid, err := Read(strings.NewReader(logs))
	require.NoError(t, err)
	require.Equal(t, 3, invalid)
	changes, history := RequestHistory(lines, "r1", 5*time.Second)
	require.Len(t, history, 2)
	require.Equal(t, "attempt failed", history[0].Message)
	require.Equal(t, "timeout", history[1].Fields["outcome"])
	require.Len(t, changes, 1, "only changes of the processes that handled the request, within the given time")
	require.Equal(t, "declared state taken", changes[0].Message)
}

func TestStateChangesBetween(t *testing.T) {
	lines, _, err := Read(strings.NewReader(logs))
	require.NoError(t, err)
	since := time.Date(2026, 10, 1, 22, 18, 5, 0, time.UTC)
	require.Len(t, StateChangesBetween(lines, since, time.Time{}), 2)
	require.Len(t, StateChangesBetween(lines, since, since.Add(5500*time.Millisecond)), 1)
}
