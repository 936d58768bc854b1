package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQuarantineSumsCrashesOfAllRouters(t *testing.T) {
	a, b := NewSuspects(), NewSuspects()
	now := start
	for i, router := range []*Suspects{a, b, a} {
		require.False(t, b.IsQuarantined(now, 7), "after %d crashes", i)
		server := string(rune('x' + i))
		router.ConnectionLost(now, 7, server)
		router.ServerDown(now.Add(time.Second), server)
		a.SetPeer(now, "b", b.ToGossip(now.Add(time.Second)))
		b.SetPeer(now, "a", a.ToGossip(now.Add(time.Second)))
		now = now.Add(2 * time.Second)
	}
	require.True(t, a.IsQuarantined(now, 7))
	require.True(t, b.IsQuarantined(now, 7))
	require.False(t, a.IsQuarantined(now, 8))
	require.False(t, a.IsQuarantined(now.Add(suspectLifetime), 7), "the quarantine expires")
}

func TestLostConnectionToRunningServerIsNoCrash(t *testing.T) {
	s := NewSuspects()
	for range 10 {
		s.ConnectionLost(start, 7, "x")
	}
	s.ServerDown(start.Add(crashWindow), "x")
	s.ServerDown(start, "y")
	require.False(t, s.IsQuarantined(start, 7))
}

func TestSuspectsStayBounded(t *testing.T) {
	s := NewSuspects()
	for fingerprint := range Fingerprint(3 * maxSuspects) {
		s.ConnectionLost(start, fingerprint, "x")
		s.ServerDown(start, "x")
	}
	require.LessOrEqual(t, s.own.Len(), maxSuspects)
	require.LessOrEqual(t, len(s.ToGossip(start)), maxGossipedSuspects)
}

// TestTableQuarantinesCrashingRequest calls the table as a caller's request does.
func TestTableQuarantinesCrashingRequest(t *testing.T) {
	table := newTable("a", list("desk", 6))
	now := start
	for range quarantineAfter {
		require.False(t, table.IsQuarantined(now, 7))
		choice, err := table.Pick(now, query(deskService, 0))
		require.NoError(t, err)
		table.ConnectionLost(now, 7, choice)
		table.Finish(now, choice, "r", OutcomeFailed, 0)
		table.Finish(now.Add(100*time.Millisecond), choice, "r", OutcomeUnreachable, 0)
		now = now.Add(3 * time.Second)
	}
	require.True(t, table.IsQuarantined(now, 7))
}
