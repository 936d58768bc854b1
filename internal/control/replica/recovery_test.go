package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tailsOf returns the tails of the other voters of a replica that are up.
func (g *machineGroup) tailsOf(name string) map[string]Tail {
	tails := make(map[string]Tail)
	for _, m := range g.nodes[name].core.Members().List {
		if other := g.nodes[m.Name]; m.Voter && m.Name != name && other != nil && !other.down && other.disk.identity == m.Folder {
			tails[m.Name] = other.core.Tail()
		}
	}
	return tails
}

// TestDisksOfAQuorumShowWhatWasCommitted restarts all replicas after a change that was acknowledged.
func TestDisksOfAQuorumShowWhatWasCommitted(t *testing.T) {
	for _, up := range []int{1, 2, 3} {
		g := newMachineGroup(t, 1, 1, "a", "b", "c")
		g.acknowledge(time.Second, "")
		g.acknowledge(time.Second, "")
		g.pass(time.Second)
		last := g.nodes["a"].core.log.last()
		for _, addr := range g.addrs {
			g.crash(addr)
		}
		for _, addr := range g.addrs[:up] {
			g.start(addr)
		}
		core := g.nodes["a"].core
		require.Less(t, core.hard.Commit, last, "the last commit isn't on the disk")
		require.Equal(t, up > 1, core.CommitFromDisks(g.tailsOf("a")))
		if up > 1 {
			require.Equal(t, last, core.hard.Commit)
		}
	}
}

func TestDisksThatDifferShowNothing(t *testing.T) {
	tests := []struct {
		name string
		own  Tail
		tail Tail
	}{
		{"other index", Tail{2, 5, 2}, Tail{2, 4, 2}},
		{"other term of the log", Tail{2, 5, 2}, Tail{2, 5, 1}},
		{"later term", Tail{2, 5, 2}, Tail{3, 5, 2}},
		{"log of an earlier term", Tail{3, 5, 2}, Tail{3, 5, 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			members := Members{}
			for _, name := range []string{"a", "b", "c"} {
				members = members.With(Member{Name: name, Addr: name, Folder: "folder-" + name, Voter: true})
			}
			var entries []Entry
			for index := range test.own.Index {
				entries = append(entries, Entry{Index: index + 1, Term: min(index+1, test.own.LogTerm)})
			}
			core := NewCore(CoreConfig{Name: "a", Identity: "folder-a", Members: members, Entries: entries, HardState: HardState{Term: test.own.Term}, Losses: 1})
			require.Equal(t, test.own, core.Tail())
			require.False(t, core.CommitFromDisks(map[string]Tail{"b": test.tail}))
			require.False(t, core.CommitFromDisks(map[string]Tail{"b": test.tail, "c": test.tail}))
		})
	}
}

// TestSeededRecoveryFromDisks restarts all or some replicas at any moment, while changes are proposed, and lets each of them
// commit what the disks show. The cluster checks that all agree on each entry.
func TestSeededRecoveryFromDisks(t *testing.T) {
	recovered := 0
	for seed := range uint64(24) {
		random := rand.New(rand.NewPCG(seed, 9))
		g := newMachineGroup(t, seed, 1, [][]string{{"a", "b", "c"}, {"a", "b", "c", "d"}, {"a", "b", "c", "d", "e"}}[seed%3]...)
		g.lossRate = 0.05
		for round := range 25 {
			for range random.IntN(4) {
				if lead := g.leader(); lead != "" {
					g.value++
					g.propose(lead, g.value)
				}
				g.pass(time.Duration(random.IntN(30)) * time.Millisecond)
			}
			for _, addr := range g.addrs {
				if random.IntN(3) > 0 {
					g.crash(addr)
				}
			}
			g.pass(time.Duration(random.IntN(2000)) * time.Millisecond)
			for _, addr := range g.addrs {
				if g.nodes[addr].down {
					g.restart(addr)
				}
			}
			for range 5 {
				for _, addr := range g.addrs {
					if g.nodes[addr].core.CommitFromDisks(g.tailsOf(addr)) {
						recovered++
					}
					g.processReady(addr)
				}
				g.pass(time.Duration(random.IntN(400)) * time.Millisecond)
			}
			if round%5 == 0 {
				g.acknowledge(recoveryTime, fmt.Sprintf("seed %d, round %d", seed, round))
				g.requireHistory()
			}
		}
	}
	require.NotZero(t, recovered)
}
