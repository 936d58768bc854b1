package placement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestColdStartEndsWhenTheListSays covers cold starts that the list states, and those that began
// before the server was last found down.
func TestColdStartEndsWhenTheListSays(t *testing.T) {
	const coldStart = 3 * time.Second
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	listCold := func(table *Table, readAt time.Time, cold time.Duration) {
		servers := list("guides", 2)
		servers[1].Cold = cold
		table.SetList(readAt, readAt, servers)
	}
	tests := []struct {
		name string
		// before happens until the server's first response, 2 s after the start.
		before func(*Table, *record)
		ends   float64
	}{
		{"a new server", func(*Table, *record) {}, 2.5},
		{"a server that was down and has started since", func(table *Table, r *record) {
			table.markDown(at(0.2), r)
			listCold(table, at(1), 2500*time.Millisecond)
		}, 3.5},
		{"a server that was down and hasn't started since, by the list", func(table *Table, r *record) {
			table.markDown(at(0.2), r)
			listCold(table, at(1), time.Second)
		}, 5},
		{"a server of a zone that came back", func(table *Table, _ *record) {
			table.SetZoneCold(at(1), "zone-1")
		}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable("a", list("guides", 1))
			listCold(table, at(0.5), 2*time.Second)
			r := table.servers["guides-1"]
			test.before(table, r)
			table.ConfirmUp(at(2), Choice{Server: r.Server}, coldStart)
			require.True(t, r.isCold(at(test.ends).Add(-time.Millisecond)))
			require.False(t, r.isCold(at(test.ends).Add(coldMargin+time.Millisecond)))
		})
	}
}

// TestNewServerWithoutAResponseIsColdAsLongAsTheListSays covers a router that may not send to a cold server.
func TestNewServerWithoutAResponseIsColdAsLongAsTheListSays(t *testing.T) {
	table := newTable("a", list("guides", 1))
	servers := list("guides", 2)
	servers[1].Cold = time.Second
	table.SetList(start, start, servers)
	r := table.servers["guides-1"]
	require.True(t, r.isCold(start.Add(time.Second)))
	require.False(t, r.isCold(start.Add(time.Second+coldMargin)))
}

// Guards against a conversion whose result depends on the processor (the class of review/6).
func TestImpossibleColdRateIsShared(t *testing.T) {
	for _, limit := range []float64{1e18, 1e19, 1e300, math.Inf(1)} {
		senders, perSecond := coldSendRate(limit, 9)
		require.Equal(t, 9, senders, "%g", limit)
		require.Positive(t, perSecond)
	}
	for _, limit := range []float64{0, -1, -1e300} {
		senders, _ := coldSendRate(limit, 9)
		require.Equal(t, 1, senders, "%g", limit)
	}
}
