package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
)

// pickOnly returns the choice of a request to a service with one server.
func pickOnly(t *testing.T, table *Table, at time.Time) Choice {
	choice, err := table.Pick(at, query(deskService, 0))
	require.NoError(t, err)
	return choice
}

func TestServerThatStatesItLeavesIsNotPicked(t *testing.T) {
	later := start.Add
	tests := map[string]func(*Table){
		"without a new list":    func(*Table) {},
		"the list lags":         func(table *Table) { table.SetList(later(1), later(1), list("desk", 1)) },
		"another response":      func(table *Table) { table.SetBackoff(later(1), Choice{Server: list("desk", 1)[0], SentAt: start}, 0) },
		"also asks for a pause": func(table *Table) { table.SetBackoff(later(1), Choice{Server: list("desk", 1)[0], SentAt: start}, 1) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTable("a", list("desk", 1))
			waiting := pickOnly(t, table, start)
			require.NoError(t, table.MaySend(start, waiting))
			require.True(t, table.SetStatedLeaving(waiting))
			require.False(t, table.SetStatedLeaving(waiting), "known")
			change(table)
			for _, at := range []time.Duration{2, time.Second, time.Hour} {
				_, err := table.Pick(later(at), query(deskService, 0))
				require.Equal(t, bronzerill.KindNoServer, bronzerill.KindOf(err))
				require.Equal(t, bronzerill.KindLeaving, bronzerill.KindOf(table.MaySend(later(at), waiting)), "a request that was picked before")
				require.False(t, table.HasOther(later(at), query(deskService, 0)))
				require.Empty(t, table.Engines(later(at), func(string) bool { return true }, noZoneOut))
			}
		})
	}
}

func TestStreamDoesNotGoOnAtAServerThatStatesItLeaves(t *testing.T) {
	servers := list("desk", 2)
	servers[0].Version, servers[1].Version = "v1", "v2"
	table := newTable("a", servers)
	q := query(deskService, 0)
	q.Version = servers[0].VersionKey()
	choice, err := table.Pick(start, q)
	require.NoError(t, err)
	table.SetStatedLeaving(choice)
	_, err = table.Pick(start.Add(time.Minute), q)
	require.Equal(t, bronzerill.KindVersionGone, bronzerill.KindOf(err))
}

func TestOtherServersAtTheAddressOfOneThatLeavesAreUsed(t *testing.T) {
	servers := list("desk", 1)
	servers[0].Born = 1
	tests := map[string]Server{
		"new server at the address":  {ID: "desk-9", Service: "desk", Addr: servers[0].Addr, Born: 1},
		"new process of the same ID": {ID: "desk-0", Service: "desk", Addr: servers[0].Addr, Born: 2},
	}
	for name, next := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTable("a", servers)
			old := pickOnly(t, table, start)
			table.SetStatedLeaving(old)
			table.SetList(start.Add(1), start.Add(1), []Server{next})
			require.False(t, table.SetStatedLeaving(old), "a late response of the old process")
			choice := pickOnly(t, table, start.Add(2))
			require.Equal(t, next.ID, choice.ID)
			require.NoError(t, table.MaySend(start.Add(2), choice))
		})
	}
}

// A list may lack a server once, for example because its entry can't be decoded.
func TestGapInTheListDoesNotChangeWhatAServerStated(t *testing.T) {
	listAt := func(table *Table, at time.Duration, servers []Server) {
		table.SetList(start.Add(at), start.Add(at), servers)
	}
	tests := []struct {
		name  string
		state func(*Table, Choice)
		kind  bronzerill.Kind
	}{
		{"nothing", func(*Table, Choice) {}, bronzerill.KindNone},
		{"that it leaves", func(table *Table, c Choice) { table.SetStatedLeaving(c) }, bronzerill.KindNoServer},
		{"a pause", func(table *Table, c Choice) { table.SetBackoff(start, c, time.Minute) }, bronzerill.KindServerBackoff},
		{"a limit", func(table *Table, c Choice) { table.SetRateLimit(start, c, RateLimit{Limited: true}) }, bronzerill.KindRateLimited},
	}
	for _, test := range tests {
		for _, inFlight := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in flight: %v", test.name, inFlight), func(t *testing.T) {
				table := newTable("a", list("desk", 1))
				choice := pickOnly(t, table, start)
				test.state(table, choice)
				if !inFlight {
					table.Finish(start, choice, "r", OutcomeNone, 0)
				}
				listAt(table, time.Second, nil)
				_, err := table.Pick(start.Add(time.Second), query(deskService, 0))
				require.Equal(t, bronzerill.KindNoServer, bronzerill.KindOf(err))
				require.Equal(t, bronzerill.KindLeaving, bronzerill.KindOf(table.MaySend(start.Add(time.Second), choice)))
				listAt(table, 1500*time.Millisecond, list("desk", 1))
				_, err = table.Pick(start.Add(1600*time.Millisecond), query(deskService, 0))
				require.Equal(t, test.kind, bronzerill.KindOf(err))
			})
		}
	}
}

func TestServerThatComesBackToTheListLaterIsANewOne(t *testing.T) {
	cold := list("desk", 1)
	cold[0].Cold = time.Second
	tests := map[string]struct {
		gap  time.Duration
		next []Server
	}{"after a long gap": {2 * time.Second, list("desk", 1)}, "cold": {500 * time.Millisecond, cold}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTable("a", list("desk", 1))
			table.SetStatedLeaving(pickOnly(t, table, start))
			for at := time.Duration(1); at <= 1+test.gap; at += 500 * time.Millisecond {
				table.SetList(start.Add(at), start.Add(at), nil)
			}
			at := start.Add(test.gap + time.Second)
			table.SetList(at, at, test.next)
			pickOnly(t, table, at)
		})
	}
}
