package bronzerill

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of generated sequences, so that every run has the same
// result. The flag -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// randomChanges returns a few random writes and removals. Names come from a
// small set, so that entities are often rewritten.
func randomChanges(t *rapid.T, c *Config) Changes {
	var changes Changes
	for range rapid.IntRange(1, 4).Draw(t, "writes") {
		name := fmt.Sprintf("n%d", rapid.IntRange(0, 5).Draw(t, "name"))
		switch rapid.IntRange(0, 3).Draw(t, "table") {
		case 0:
			changes.Zones = append(changes.Zones, Zone{Name: name, Out: rapid.Bool().Draw(t, "out")})
		case 1:
			changes.Customers = append(changes.Customers, Customer{Name: name, KeyHash: name, Weight: rapid.IntRange(1, 9).Draw(t, "weight")})
		case 2:
			changes.Suspects = append(changes.Suspects, Suspect{Name: name, Crashes: rapid.IntRange(1, 2).Draw(t, "crashes")})
		default:
			if c.has(EntityZone, name) {
				changes.Removals = append(changes.Removals, Removal{Kind: EntityZone, Name: name})
			}
		}
	}
	return changes
}

// TestHoldersCatchUpByDeltaOrSnapshot lets a holder fall behind by any number of
// revisions. It must reach the leader's configuration by deltas and snapshots,
// and its revision must not decrease when one arrives late or twice.
func TestHoldersCatchUpByDeltaOrSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := &Config{}
		holder := &Config{}
		var delayed []Delta
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			leader = leader.WithChanges(randomChanges(t, leader))
			if rapid.Bool().Draw(t, "renews") {
				d := leader.DeltaSince(holder.Revision())
				delayed = append(delayed, d)
				holder, _ = holder.WithDelta(d)
				require.Equal(t, leader.DeltaSince(0), holder.DeltaSince(0))
			}
			if len(delayed) > 0 && rapid.Bool().Draw(t, "late message") {
				before := holder.Revision()
				holder, _ = holder.WithDelta(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "which")])
				require.GreaterOrEqual(t, holder.Revision(), before)
			}
		}
		holder, _ = holder.WithDelta(leader.DeltaSince(holder.Revision()))
		require.Equal(t, leader.DeltaSince(0), holder.DeltaSince(0))
	})
}

// TestDeltaWithAGapIsRefused checks that a holder can't miss changes: it refuses
// a delta that starts above its own revision.
func TestDeltaWithAGapIsRefused(t *testing.T) {
	c := &Config{}
	for range 5 {
		c = c.WithChanges(Changes{Zones: []Zone{{Name: "gramado"}}})
	}
	_, ok := (&Config{}).WithDelta(c.DeltaSince(3))
	require.False(t, ok)
}
