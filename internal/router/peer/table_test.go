package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"bronzerill/internal/router/placement"
)

var start = time.Unix(1_000_000, 0)

func digest(name string, sequence uint64) Digest {
	return Digest{From: Peer{Name: name, Addr: name + ":1", Started: 1}, Sequence: sequence, ListAge: -1}
}

func newTable() *Table {
	return NewTable(Peer{Name: "self", Addr: "self:1"}, []string{"seed:1", "self:1"}, 1)
}

func TestDigestRoundTrip(t *testing.T) {
	observations := map[placement.ServerKey]placement.Observation{7: {InFlight: 3, Waiting: 2, Done: 2, Failed: 1, RelativeLatency: 2.5}, 8: {Done: 1}}
	for _, full := range []bool{true, false} {
		d := digest("a", 1)
		d.Full = full
		d = d.WithObservations(observations)
		d.Locations = CompactLocations([]placement.CacheLocation{{Prompt: 1 << 60, Server: 7}})
		data, err := d.encode()
		require.NoError(t, err)
		got, err := decodeDigest(data)
		require.NoError(t, err)
		require.Equal(t, map[placement.ServerKey]placement.RouterLoad{7: {InFlight: 3, Waiting: 2}}, got.Loads)
		require.Equal(t, []placement.CacheLocation{{Prompt: 1 << 60, Server: 7}}, got.CacheLocations())
		if full {
			require.InDelta(t, 2.5, got.Observations()[7].RelativeLatency, 1e-6)
		} else {
			require.Empty(t, got.Observations())
		}
	}
}

// TestDigestExtension covers routers of different builds during an upgrade.
func TestDigestExtension(t *testing.T) {
	d := digest("a", 1)
	d.Extension.RateLimits = map[placement.ServerKey]placement.RateLimitReport{
		7: {RateLimit: placement.RateLimit{Limited: true, PerSecond: 2.5}, Age: time.Second},
	}
	data, err := d.encode()
	require.NoError(t, err)
	got, err := decodeDigest(data)
	require.NoError(t, err)
	require.Equal(t, d.Extension, got.Extension)

	var withoutExtension Digest
	require.NoError(t, msgpack.Unmarshal(data, &withoutExtension), "earlier builds decode digests like this")
	require.Equal(t, "a", withoutExtension.From.Name)
	data, err = msgpack.Marshal(&d)
	require.NoError(t, err)
	got, err = decodeDigest(data)
	require.NoError(t, err, "earlier builds send digests like this")
	require.Equal(t, withoutExtension, got)
}

func TestRouterCount(t *testing.T) {
	require.Equal(t, 2, newTable().Count(start), "the seeds")
	restarted := newTable()
	restarted.SetSavedPeers([]string{"a:1", "b:1", "c:1"}, start.Add(time.Second))
	require.Equal(t, 4, restarted.Count(start), "the peers before the restart and this router")

	table := newTable()
	d := digest("a", 1)
	d.Extension.Routers = 33
	require.True(t, table.Receive(start, d))
	require.Equal(t, 33, table.Count(start), "as many as the peer knows")
	require.Len(t, table.Names(), 2)
	table.Expire(start.Add(expiryTimeout))
	require.Equal(t, 33, table.Count(start.Add(expiryTimeout)), "those that were cut off may be running")
	table.Expire(start.Add(expiryTimeout + time.Second))
	require.Equal(t, 2, table.Count(start.Add(expiryTimeout+time.Second)))
}

func TestReceiveIgnoresOldDigests(t *testing.T) {
	table := newTable()
	require.True(t, table.Receive(start, digest("a", 2)))
	require.False(t, table.Receive(start, digest("a", 1)))
	require.False(t, table.Receive(start, digest("a", 2)))
	restarted := digest("a", 1)
	restarted.From.Started = 2
	require.True(t, table.Receive(start, restarted), "a restarted process starts a new sequence")
	require.False(t, table.Receive(start, digest("a", 3)), "digests of the previous process are outdated")
	require.False(t, table.Receive(start, digest("self", 9)))
}

func TestLeaderOfHighestTerm(t *testing.T) {
	table := newTable()
	for i, term := range []uint64{3, 5, 4} {
		d := digest(fmt.Sprint(i), 1)
		d.Leader, d.Term = fmt.Sprintf("leader-%d", term), term
		table.Receive(start, d)
	}
	leader, term := table.Leader(start)
	require.Equal(t, "leader-5", leader)
	require.EqualValues(t, 5, term)
	leader, _ = table.Leader(start.Add(aliveTimeout))
	require.Empty(t, leader)
}

func TestFresherListReturnsFreshest(t *testing.T) {
	table := newTable()
	for i, age := range []time.Duration{time.Second, 100 * time.Millisecond, -1} {
		d := digest(fmt.Sprint(i), 1)
		d.ListAge, d.ListSum = age, uint64(i)
		table.Receive(start, d)
	}
	addr, at, sum := table.FresherList(start, start.Add(-500*time.Millisecond), 150*time.Millisecond)
	require.Equal(t, "1:1", addr)
	require.Equal(t, start.Add(-100*time.Millisecond), at)
	require.EqualValues(t, 1, sum)
	addr, _, _ = table.FresherList(start, start.Add(-200*time.Millisecond), 150*time.Millisecond)
	require.Empty(t, addr)
}

// TestOneRouterReadsTheList guards the rate at which all routers together read the list
// of servers. The router of rank 0 reads it, and the next one takes over when the first
// no longer sends digests.
func TestOneRouterReadsTheList(t *testing.T) {
	table := newTable()
	table.Receive(start, digest("a", 1))
	table.Receive(start, digest("z", 1))
	require.Equal(t, 1, table.Rank(start))
	require.Equal(t, 0, table.Rank(start.Add(aliveTimeout)))
}

// TestPredecessorsByDiskAndStart covers a simultaneous start of all routers. By the time
// the declared state is known, the routers that started first know most of their peers.
func TestPredecessorsByDiskAndStart(t *testing.T) {
	table := NewTable(Peer{Name: "m", Addr: "m:1", Started: 5}, nil, 1)
	require.Zero(t, table.Predecessors(start, false))
	for name, started := range map[string]int64{"a": 5, "z": 5, "b": 9, "y": 2} {
		d := digest(name, 1)
		d.From.Started = started
		table.Receive(start, d)
	}
	require.Equal(t, 2, table.Predecessors(start, false), "a goes first by its name, y by its start time")
	require.Zero(t, table.Predecessors(start, true), "a router with a disk goes first")
	late := digest("late", 1)
	late.From.Started, late.Disk = 10, true
	table.Receive(start, late)
	require.Equal(t, 3, table.Predecessors(start, false))
	require.Zero(t, table.Predecessors(start, true))
	require.Zero(t, table.Predecessors(start.Add(aliveTimeout), false))
}

func TestWithDirectoryListsAlivePeers(t *testing.T) {
	table := newTable()
	for _, name := range []string{"a", "b"} {
		d := digest(name, 1)
		d.HasDirectory = name == "b"
		table.Receive(start, d)
	}
	require.Equal(t, []string{"b:1"}, table.WithDirectory(start))
	require.Empty(t, table.WithDirectory(start.Add(aliveTimeout)))
}

// TestExpireKeepsSilentPeers covers a network partition between routers. Budgets are
// still divided among all routers, as those on the other side may be serving requests.
func TestExpireKeepsSilentPeers(t *testing.T) {
	table := newTable()
	table.Receive(start, digest("a", 1))
	table.Expire(start.Add(expiryTimeout - time.Second))
	require.Equal(t, []string{"a", "self"}, table.Names())
	table.Expire(start.Add(2 * expiryTimeout))
	require.Equal(t, []string{"self"}, table.Names())
}

func TestFanoutIsBounded(t *testing.T) {
	table := newTable()
	for i := range 1300 {
		table.Receive(start, digest(fmt.Sprintf("r%d", i), 1))
	}
	for range 50 {
		require.LessOrEqual(t, len(table.Targets(start, true)), fullFanout+1)
		require.LessOrEqual(t, len(table.Targets(start, false)), loadFanout+1)
		require.LessOrEqual(t, len(table.SamplePeers(start)), maxDigestPeers)
	}
}

func TestTargetsIncludeSeedsAtStart(t *testing.T) {
	require.Equal(t, []string{"seed:1"}, newTable().Targets(start, true))
}

func FuzzDigest(f *testing.F) {
	data, err := digest("a", 1).encode()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if d, err := decodeDigest(data); err == nil {
			newTable().Receive(start, d)
			d.Observations()
			d.CacheLocations()
		}
	})
}

// TestTargetsIncludeSavedPeers covers a power loss of all routers. A router that starts
// before the seeds sends digests to the peers that it knew before.
func TestTargetsIncludeSavedPeers(t *testing.T) {
	before := newTable()
	for _, name := range []string{"b", "a", "c"} {
		before.Receive(start, digest(name, 1))
	}
	require.Equal(t, []string{"a:1", "b:1"}, before.AliveAddrs(start, 2))
	require.Empty(t, before.AliveAddrs(start.Add(aliveTimeout), 2))
	table := newTable()
	table.SetSavedPeers([]string{"a:1", "self:1", "b:1"}, start.Add(3*time.Second))
	require.Equal(t, []string{"seed:1", "a:1", "b:1"}, table.Targets(start, false))
	require.Equal(t, []string{"seed:1"}, table.Targets(start.Add(3*time.Second), false))
}

// Guards against a restarted router that its peers don't hear, since its clock was set back meanwhile (issue 55).
func TestRestartedPeerWithAnEarlierClockIsHeard(t *testing.T) {
	table := newTable()
	before := digest("a", 100)
	before.From.Started = 10
	require.True(t, table.Receive(start, before))

	restarted := digest("a", 1)
	restarted.Revision = 7
	restarted.From.Started = 5
	require.False(t, table.Receive(start.Add(aliveTimeout/2), restarted), "a late digest of an earlier process")
	now := start.Add(aliveTimeout)
	require.True(t, table.Receive(now, restarted))
	require.Equal(t, []string{"a:1"}, table.Newer(now, 6))
	restarted.Sequence = 2
	require.True(t, table.Receive(now.Add(time.Millisecond), restarted))
}
