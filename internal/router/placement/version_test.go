package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
)

// withVersions returns engines with these versions.
func withVersions(versions ...string) []Server {
	servers := list("guides", len(versions))
	for i, version := range versions {
		servers[i].Version = version
	}
	return servers
}

func TestMixedVersions(t *testing.T) {
	const interval = 500 * time.Millisecond
	tests := []struct {
		name  string
		lists [][]Server
		mixed bool
	}{
		{"one version", [][]Server{withVersions("v1", "v1"), withVersions("v1")}, false},
		{"side by side", [][]Server{withVersions("v1", "v2")}, true},
		{"one after the other", [][]Server{withVersions("v1"), withVersions("v2")}, true},
		{"one after the other, with none between", [][]Server{withVersions("v1"), nil, withVersions("v2")}, true},
		{"two services", [][]Server{append(withVersions("v1"), Server{ID: "d", Service: "desk", Version: "v9"})}, false},
		{"a list without versions", [][]Server{withVersions("v1", "v1"), withVersions("", ""), withVersions("v1", "v1")}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(Config{Name: "a"})
			now := start
			for _, servers := range test.lists {
				now = now.Add(interval)
				table.SetList(now, now, servers)
			}
			require.Equal(t, test.mixed, table.HasMixedVersions(now, "guides"))
			require.False(t, table.HasMixedVersions(now, "desk"))
			require.False(t, table.HasMixedVersions(now.Add(mixedMemory), "guides"))

			restarted := NewTable(Config{Name: "b"})
			restarted.SetPeerMixedServices(now, table.MixedServices(now))
			require.Equal(t, test.mixed, restarted.HasMixedVersions(now, "guides"), "peers tell")
			require.Empty(t, restarted.MixedServices(now.Add(mixedMemory)))
		})
	}
}

func TestPickKeepsToTheVersion(t *testing.T) {
	table := newTable("a", withVersions("v1", "v2", "v1", "v2"))
	q := query(engineService, 7)
	q.Version = Server{Service: "guides", Version: "v2"}.VersionKey()
	for range 20 {
		choice, err := table.Pick(start, q)
		require.NoError(t, err)
		require.Equal(t, "v2", choice.Version)
		table.Finish(start, choice, "r", OutcomeAnswered, time.Millisecond)
	}
	require.True(t, table.HasOther(start, q))
	q.Excluded = []string{"guides-1", "guides-3"}
	require.False(t, table.HasOther(start, q))
	_, err := table.Pick(start, q)
	require.Equal(t, bronzerill.KindNoServer, bronzerill.KindOf(err), "the servers of the version were tried")

	q.Excluded = nil
	setReplaced(table, "guides-1")
	setReplaced(table, "guides-3")
	_, err = table.Pick(start, q)
	require.Equal(t, bronzerill.KindVersionGone, bronzerill.KindOf(err))
}

func TestVersionIsNotGoneByAListThatMayLackIt(t *testing.T) {
	tests := []struct {
		name string
		list []Server
		age  time.Duration
		want bronzerill.Kind
	}{
		{"another version", withVersions("v1"), 0, bronzerill.KindVersionGone},
		{"another version, by an old list", withVersions("v1"), 3 * time.Second, bronzerill.KindNoServer},
		{"empty list", nil, 0, bronzerill.KindNoServer},
		{"other services only", list("desk", 1), 0, bronzerill.KindNoServer},
		{"unknown version", withVersions(""), 0, bronzerill.KindNoServer},
	}
	for _, test := range tests {
		table := newTable("a", test.list)
		q := query(engineService, 7)
		q.Version = Server{Service: "guides", Version: "v2"}.VersionKey()
		_, err := table.Pick(start.Add(test.age), q)
		require.Equal(t, test.want.String(), bronzerill.KindOf(err).String(), test.name)
	}
}

func TestResumableStreamsBeginAtNotedVersions(t *testing.T) {
	servers := withVersions("v1", "v2")
	servers[0].Noted = true
	table := newTable("a", servers)
	q := query(engineService, 7)
	q.OnlyNoted = true
	pick := func(at time.Duration) map[string]bool {
		picked := make(map[string]bool)
		for range 40 {
			choice, err := table.Pick(start.Add(at), q)
			if err != nil {
				require.Equal(t, bronzerill.KindNoServer, bronzerill.KindOf(err))
				continue
			}
			picked[choice.Version] = true
		}
		return picked
	}
	require.Equal(t, map[string]bool{"v1": true}, pick(0))
	setReplaced(table, servers[0].ID)
	require.Empty(t, pick(maxUnnoted-1), "a short wait for the control group")
	require.Equal(t, map[string]bool{"v2": true}, pick(maxUnnoted), "the group fails")
	q.OnlyNoted = false
	require.Equal(t, map[string]bool{"v2": true}, pick(0), "other requests go there at once")
}

// A stream can't move between servers whose versions nobody knows.
func TestUnknownVersionsAreNotTheSame(t *testing.T) {
	one, other := Server{ID: "1", Service: "guides"}, Server{ID: "2", Service: "guides"}
	restarted := one
	restarted.Born = 5
	require.NotEqual(t, one.VersionKey(), other.VersionKey())
	require.NotEqual(t, one.VersionKey(), restarted.VersionKey())
	require.Equal(t, one.VersionKey(), one.VersionKey())
	table := newTable("a", []Server{one, other})
	require.True(t, table.HasMixedVersions(start, "guides"))
}

func TestVersionKeyTellsServicesApart(t *testing.T) {
	a, b := Server{Service: "a", Version: "v1"}, Server{Service: "b", Version: "v1"}
	require.NotEqual(t, a.VersionKey(), b.VersionKey())
	require.NotZero(t, Server{}.VersionKey())
}
