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

// setReplaced reports that another server answered at the address of a server.
func setReplaced(table *Table, id string) {
	table.SetReplaced(Choice{Server: table.servers[id].Server})
}

func TestServerThatMovedIsUsedAfterARequestToItsOldAddress(t *testing.T) {
	table := newTable("a", list("desk", 1))
	old := pickOnly(t, table, start)
	moved := list("desk", 1)
	moved[0].Addr = "10.0.0.99:80"
	table.SetList(start.Add(1), start.Add(1), moved)
	table.SetReplaced(old)
	require.Equal(t, moved[0].Addr, pickOnly(t, table, start.Add(2)).Addr)
}

func TestServerThatStatesItLeavesIsNotPicked(t *testing.T) {
	later := start.Add
	leaving := Choice{Server: list("desk", 2)[0], SentAt: start}
	tests := map[string]func(*Table){
		"without a new list":    func(*Table) {},
		"the list lags":         func(table *Table) { table.SetList(later(1), later(1), list("desk", 2)) },
		"another response":      func(table *Table) { table.SetBackoff(later(1), leaving, 0) },
		"also asks for a pause": func(table *Table) { table.SetBackoff(later(1), leaving, 1) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTable("a", list("desk", 2))
			require.NoError(t, table.MaySend(start, leaving))
			require.True(t, table.SetStatedLeaving(start, leaving))
			require.False(t, table.SetStatedLeaving(start, leaving), "known")
			change(table)
			for _, at := range []time.Duration{2, time.Second, time.Hour} {
				for range 10 {
					require.Equal(t, "desk-1", pickOnly(t, table, later(at)).ID)
				}
				require.Equal(t, bronzerill.KindLeaving, bronzerill.KindOf(table.MaySend(later(at), leaving)), "a request that was picked before")
				require.Len(t, table.Engines(later(at), func(string) bool { return true }, noZoneOut), 1)
			}
			q := query(deskService, 0)
			q.Excluded = []string{"desk-1"}
			require.False(t, table.HasOther(later(leavingGrace), q))
			_, err := table.Pick(later(leavingGrace), q)
			require.Equal(t, bronzerill.KindNoServer, bronzerill.KindOf(err))
		})
	}
}

func TestLeavingServerStillTakesWhatNoOtherCan(t *testing.T) {
	leaving := list("desk", 2)
	leaving[0].Leaving = true
	tests := []struct {
		name    string
		leave   func(*Table, Choice)
		expires time.Duration
	}{
		{"states it", func(table *Table, c Choice) { table.SetStatedLeaving(start, c) }, leavingGrace},
		{"listed", func(table *Table, _ Choice) { table.SetList(start.Add(300*time.Millisecond), start, leaving) }, leavingGrace},
		{"states it after it was listed", func(table *Table, c Choice) {
			table.SetList(start, start, leaving)
			table.SetStatedLeaving(start.Add(leavingGrace/2), c)
		}, leavingGrace},
		{"another server answered at its address", func(table *Table, c Choice) { setReplaced(table, c.ID) }, 0},
		{"asked for a pause too", func(table *Table, c Choice) {
			table.SetStatedLeaving(start, c)
			table.SetBackoff(start, c, time.Minute)
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			servers := list("desk", 2)
			servers[0].Version = "v1"
			servers[1].Version = "v2"
			for i := range leaving {
				leaving[i].Version = servers[i].Version
			}
			table := newTable("a", servers)
			test.leave(table, Choice{Server: servers[0], SentAt: start})
			q := query(deskService, 0)
			q.Version = servers[0].VersionKey()
			for _, at := range []time.Duration{1, leavingGrace - 1, leavingGrace, time.Minute} {
				choice, err := table.Pick(start.Add(at), q)
				if at >= test.expires {
					require.Error(t, err, "after %v", at)
					continue
				}
				require.NoError(t, err, "after %v", at)
				require.Equal(t, "desk-0", choice.ID)
				require.NoError(t, table.MaySend(start.Add(at), choice))
				require.Equal(t, bronzerill.KindLeaving, bronzerill.KindOf(table.MaySend(start.Add(leavingGrace), choice)))
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
	table.SetStatedLeaving(start, choice)
	later := start.Add(time.Minute)
	table.SetList(later, later, servers)
	_, err = table.Pick(later, q)
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
			table.SetStatedLeaving(start, old)
			table.SetList(start.Add(1), start.Add(1), []Server{next})
			require.False(t, table.SetStatedLeaving(start, old), "a late response of the old process")
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
		{"that it leaves", func(table *Table, c Choice) { table.SetStatedLeaving(start, c) }, bronzerill.KindNoServer},
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
			table.SetStatedLeaving(start, pickOnly(t, table, start))
			for at := time.Duration(1); at <= 1+test.gap; at += 500 * time.Millisecond {
				table.SetList(start.Add(at), start.Add(at), nil)
			}
			at := start.Add(test.gap + time.Second)
			table.SetList(at, at, test.next)
			pickOnly(t, table, at)
		})
	}
}
