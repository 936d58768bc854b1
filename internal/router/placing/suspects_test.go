package placing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCrashingRequestIsQuarantinedByTheSum(t *testing.T) {
	a, b := NewSuspects(), NewSuspects()
	now := start
	for i, router := range []*Suspects{a, b, a} {
		require.False(t, b.IsQuarantined(now, 7), "after %d crashes", i)
		server := string(rune('x' + i))
		router.Lost(now, 7, server)
		router.Gone(now.Add(time.Second), server)
		a.Hear(now, "b", b.Tell(now.Add(time.Second)))
		b.Hear(now, "a", a.Tell(now.Add(time.Second)))
		now = now.Add(2 * time.Second)
	}
	require.True(t, a.IsQuarantined(now, 7))
	require.True(t, b.IsQuarantined(now, 7))
	require.False(t, a.IsQuarantined(now, 8))
	require.False(t, a.IsQuarantined(now.Add(suspectFor), 7), "it is tried again later")
}

func TestLostAnswersOfLivingServersAreNoCrashes(t *testing.T) {
	s := NewSuspects()
	for range 10 {
		s.Lost(start, 7, "x")
	}
	s.Gone(start.Add(crashSign), "x")
	s.Gone(start, "y")
	require.False(t, s.IsQuarantined(start, 7))
}

func TestSuspectsStayBounded(t *testing.T) {
	s := NewSuspects()
	for print := range Fingerprint(3 * maxSuspects) {
		s.Lost(start, print, "x")
		s.Gone(start, "x")
	}
	require.LessOrEqual(t, s.own.Len(), maxSuspects)
	require.LessOrEqual(t, len(s.Tell(start)), maxToldSuspects)
}

// TestTableRefusesACrashingRequest goes through the table as a caller's request
// does.
func TestTableRefusesACrashingRequest(t *testing.T) {
	table := newTable("a", list("desk", 6))
	now := start
	for range quarantineAfter {
		require.False(t, table.IsQuarantined(now, 7))
		choice, err := table.Pick(now, query(desks, 0))
		require.NoError(t, err)
		table.Lost(now, 7, choice)
		table.Finish(now, choice, "r", OutcomeFailed, 0)
		table.Finish(now.Add(100*time.Millisecond), choice, "r", OutcomeUnreachable, 0)
		now = now.Add(3 * time.Second)
	}
	require.True(t, table.IsQuarantined(now, 7))
}
