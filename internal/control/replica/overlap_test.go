package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a group that never has a quorum again: its fourth machine replaces another one, which ends without a
// signal, and within the second in which that is noticed a third one loses its disk (issue 55).
func TestDiskLostAsOneOfFourVotersVanishes(t *testing.T) {
	for _, removed := range []string{"a", "b", "c"} {
		for _, loser := range []string{"a", "b", "c", "s"} {
			for _, delay := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond} {
				for _, restarts := range []bool{false, true} {
					if removed == loser {
						continue
					}
					what := fmt.Sprintf("%s is removed, %s loses its disk after %v, the others restart: %v", removed, loser, delay, restarts)
					g := newMachineGroup(t, 1, 1, "a", "b", "c")
					g.add("s")
					g.pass(replacementDeadline)
					g.acknowledge(time.Second, what)
					g.remove(removed)
					g.pass(delay)
					if restarts {
						for _, addr := range g.addrs {
							if addr != loser {
								g.crash(g.machines[addr].replica)
								g.restart(addr)
							}
						}
					}
					g.loseDisk(loser)
					g.acknowledge(recoveryTime, what)
					g.requireHistory()
				}
			}
		}
	}
}

// The same with a machine that comes back with its disk, however late.
func TestDiskLostWhileAnotherOfFourVotersIsDown(t *testing.T) {
	for _, killed := range []string{"a", "b", "c", "d"} {
		for _, loser := range []string{"a", "b", "c", "d"} {
			for _, delay := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond, 2700 * time.Millisecond} {
				for _, down := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
					if killed == loser {
						continue
					}
					what := fmt.Sprintf("%s killed, %s loses its disk after %v, the first one is back %v later", killed, loser, delay, down)
					g := newMachineGroup(t, 1, 1, "a", "b", "c", "d")
					g.acknowledge(time.Second, what)
					g.crash(g.machines[killed].replica)
					g.pass(delay)
					g.loseDisk(loser)
					g.pass(down)
					g.restart(killed)
					g.pass(replacementDeadline)
					g.acknowledge(recoveryTime, what)
					g.requireHistory()
				}
			}
		}
	}
}

// TestSeededLossesBesideVanishedVoters removes machines whose successors have caught up, and loses disks at any moment around
// that, while changes are made and links lose messages. No acknowledged change may be lost, nor the quorum.
func TestSeededLossesBesideVanishedVoters(t *testing.T) {
	groups := []struct {
		losses int
		addrs  []string
	}{{1, []string{"a", "b", "c"}}, {1, []string{"a", "b", "c", "d", "e"}}, {2, []string{"a", "b", "c", "d", "e"}}}
	for _, group := range groups {
		for seed := range uint64(12) {
			random := rand.New(rand.NewPCG(seed, uint64(len(group.addrs)+group.losses)))
			upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
			g := newMachineGroup(t, seed, group.losses, group.addrs...)
			g.lossRate = []float64{0, 0.02}[seed%2]
			for round := range 8 {
				what := fmt.Sprintf("seed %d, %d founders, %d losses, round %d", seed, len(group.addrs), group.losses, round)
				g.acknowledge(recoveryTime, what)
				g.add(fmt.Sprintf("s%d", round))
				g.pass(replacementDeadline + upTo(time.Second))
				vanishing, losing := g.addrs[random.IntN(len(g.addrs))], g.addrs[random.IntN(len(g.addrs))]
				for losing == vanishing {
					losing = g.addrs[random.IntN(len(g.addrs))]
				}
				if random.IntN(2) == 0 {
					g.acknowledge(recoveryTime, what)
				}
				g.remove(vanishing)
				g.pass(upTo(1500 * time.Millisecond))
				for _, addr := range g.addrs {
					if random.IntN(4) == 0 {
						g.crash(g.machines[addr].replica)
						g.restart(addr)
					}
				}
				g.loseDisk(losing)
				g.acknowledge(recoveryTime, fmt.Sprintf("%s: %s vanished, %s lost its disk", what, vanishing, losing))
				g.requireHistory()
				g.pass(replacementDeadline)
			}
		}
	}
}

// The same with the fourth voter itself, at each moment from when the leader makes it one: others may not know yet that the
// list with it is committed. The three before it lose one disk only.
func TestDiskLostAsTheNewestOfFourVotersVanishes(t *testing.T) {
	for _, loser := range []string{"a", "b", "c"} {
		for steps := range 40 {
			what := fmt.Sprintf("s is removed %d steps after it became a voter, %s loses its disk", steps, loser)
			g := newMachineGroup(t, 1, 1, "a", "b", "c")
			g.acknowledge(time.Second, what)
			g.add("s")
			for g.nodes[g.awaitLeader()].core.Members().Voters() < 4 {
				g.pass(time.Millisecond)
			}
			for range steps {
				g.step()
			}
			g.remove("s")
			g.loseDisk(loser)
			g.acknowledge(recoveryTime, what)
			g.requireHistory()
		}
	}
}
