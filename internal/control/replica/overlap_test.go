package replica

import (
	"fmt"
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
