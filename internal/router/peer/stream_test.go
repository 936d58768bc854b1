package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStreamRecordRoundTrip(t *testing.T) {
	record := StreamRecord{Stream: StreamKeyOf("r1"), Version: 7}
	got, ok := decodeStreamRecord(record.encode())
	require.True(t, ok)
	require.Equal(t, record, got)
	data, err := digest("a", 1).encode()
	require.NoError(t, err)
	for name, data := range map[string][]byte{
		"digest": data, "empty": nil, "short": record.encode()[:12], "long": append(record.encode(), 0),
		"without a version": StreamRecord{Stream: 1}.encode(),
	} {
		_, ok := decodeStreamRecord(data)
		require.False(t, ok, name)
	}
}

func TestStreamTableKeepsTheFirstRecord(t *testing.T) {
	table := NewStreamTable()
	_, ok := table.Version(1)
	require.False(t, ok)
	table.Add(StreamRecord{1, 7})
	table.Add(StreamRecord{1, 8})
	version, ok := table.Version(1)
	require.True(t, ok)
	require.EqualValues(t, 7, version)
	for i := range StreamKey(2 * maxStreams) {
		table.Add(StreamRecord{100 + i, 9})
	}
	_, ok = table.Version(1)
	require.False(t, ok, "the table is bounded")
}

func TestHoldersAreLivePeersOfThisBuild(t *testing.T) {
	table := newTable()
	for _, name := range []string{"a", "b", "c", "d"} {
		d := digest(name, 1)
		d.Extension.Routers = 5
		table.Receive(start, d)
	}
	table.Receive(start, digest("earlier build", 1))
	holders := table.Holders(start, 42, 9)
	require.ElementsMatch(t, []string{"a:1", "b:1", "c:1", "d:1"}, holders)
	require.Equal(t, holders[:2], table.Holders(start, 42, 2))
	require.Empty(t, table.Holders(start.Add(aliveTimeout), 42, 2))
}

// Over half of the routers are killed, among them those that the callers are connected to.
func TestStreamsAreKnownAfterKills(t *testing.T) {
	for _, routers := range []int{9, 33} {
		for _, comeBack := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d routers, come back %v", routers, comeBack), func(t *testing.T) {
				testStreamsAfterKills(t, routers, comeBack)
			})
		}
	}
}

func testStreamsAfterKills(t *testing.T, routers int, comeBack bool) {
	random := rand.New(rand.NewPCG(1, 1))
	name := func(i int) string { return fmt.Sprintf("entry-%d", i) }
	table := func(self int, isAlive func(i int) bool) *Table {
		table := NewTable(Peer{Name: name(self), Addr: name(self) + ":1"}, nil, 1)
		for i := range routers {
			if i != self && isAlive(i) {
				d := digest(name(i), 1)
				d.Extension.Routers = routers
				table.Receive(start, d)
			}
		}
		return table
	}
	resumed, known := 0, 0
	for range 40 {
		records := make(map[string]*StreamTable)
		for i := range routers {
			records[name(i)+":1"] = NewStreamTable()
		}
		killed := random.Perm(routers)[:routers*55/100]
		isKilled := make(map[int]bool)
		for _, i := range killed {
			isKilled[i] = true
		}
		begins := table(killed[0], func(int) bool { return true })
		for stream := range StreamKey(50) {
			stream = StreamKeyOf(fmt.Sprint(stream))
			for _, addr := range begins.Holders(start, stream, StreamHolders) {
				records[addr].Add(StreamRecord{stream, 1})
			}
		}
		// Routers that come back have lost their records.
		for i := range isKilled {
			records[name(i)+":1"] = NewStreamTable()
		}
		self := 0
		for isKilled[self] {
			self++
		}
		resumes := table(self, func(i int) bool { return comeBack || !isKilled[i] })
		for stream := range StreamKey(50) {
			stream = StreamKeyOf(fmt.Sprint(stream))
			resumed++
			for _, addr := range append(resumes.Holders(start, stream, StreamCandidates), name(self)+":1") {
				if _, ok := records[addr].Version(stream); ok {
					known++
					break
				}
			}
		}
	}
	require.Greater(t, float64(known), 0.6*float64(resumed), "most streams are known, with over half of the routers killed")
}
