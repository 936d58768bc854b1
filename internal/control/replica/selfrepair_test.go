package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replacementDeadline is the time in which the replacement of a lost replica
// must become a voter. The users' requirements call it catch_up_s.
const replacementDeadline = 4 * time.Second

// newBootstrapped returns a group with self-repair. The first replica
// bootstraps the group and the others join it.
func newBootstrapped(t *testing.T, seed uint64, names ...string) *cluster {
	c := newCluster(t, seed)
	c.selfRepair = true
	c.addNode(names[0], Members{}.With(Member{Name: names[0], Addr: names[0], Voter: true}))
	for _, name := range names[1:] {
		c.addNode(name, Members{})
	}
	for _, name := range names[1:] {
		c.join(name, name, false)
	}
	c.awaitVoters(len(names))
	return c
}

// join asks the leader to add a replica, and retries until it is accepted.
func (c *cluster) join(name, addr string, spare bool) {
	for range 100 {
		lead := c.nodes[c.awaitLeader()].core
		next, changed := lead.Members().WithJoined(name, addr, spare)
		if !changed || lead.ProposeMembers(c.now, next) == nil {
			return
		}
		c.run(50 * time.Millisecond)
	}
	require.Fail(c.t, "no leader accepted the replica", name)
}

func (c *cluster) awaitVoters(n int) time.Duration {
	start := c.now
	for range 2000 {
		if lead := c.leader(); lead != "" {
			m := c.nodes[lead].core.Members()
			if m.Voters() == n && len(m.List) == n && c.nodes[lead].core.membersIndex <= c.nodes[lead].core.hard.Commit {
				return c.now.Sub(start)
			}
		}
		c.step()
	}
	require.Fail(c.t, "the group did not reach its number of voters", "%d", n)
	return 0
}

func TestSingleMemberGroupPromotesLearners(t *testing.T) {
	for _, size := range []int{3, 4, 5, 6} {
		var names []string
		for i := range size {
			names = append(names, fmt.Sprintf("r%d", i))
		}
		c := newBootstrapped(t, uint64(size), names...)
		c.mustCommit(1)
	}
}

func TestWipedReplicaIsReplacedAtSameAddress(t *testing.T) {
	for seed := range uint64(20) {
		c := newBootstrapped(t, seed, "a", "b", "c")
		c.mustCommit(1)
		c.crash("b")
		c.mustCommit(2)
		c.addNode("b-2", Members{})
		c.join("b-2", "b", true)
		took := c.awaitVoters(3)
		require.Less(t, took, replacementDeadline, "seed %d", seed)
		_, known := c.nodes[c.awaitLeader()].core.Members().Get("b")
		require.False(t, known)
		// The repaired group must survive another loss.
		c.crash("a")
		c.mustCommit(3)
	}
}

func TestSpareAtNewAddressReplacesLostVoter(t *testing.T) {
	for seed := range uint64(20) {
		c := newBootstrapped(t, seed, "a", "b", "c")
		c.mustCommit(1)
		c.crash("c")
		c.run(time.Second)
		c.addNode("d", Members{})
		c.join("d", "d", true)
		took := c.awaitVoters(3)
		require.Less(t, took, replacementDeadline, "seed %d", seed)
		require.False(t, c.nodes[c.awaitLeader()].core.Members().IsVoter("c"))
		c.crash("b")
		c.mustCommit(2)
	}
}

func TestPartitionedVoterStaysWithoutReplacement(t *testing.T) {
	c := newBootstrapped(t, 1, "a", "b", "c")
	c.isolate("c")
	c.run(20 * time.Second)
	require.True(t, c.nodes[c.awaitLeader()].core.Members().IsVoter("c"))
	c.heal()
	c.run(3 * time.Second)
	c.mustCommit(1)
}

func TestReplacedReplicaRejoins(t *testing.T) {
	c := newBootstrapped(t, 2, "a", "b", "c")
	c.isolate("c")
	c.addNode("d", Members{})
	c.join("d", "d", true)
	c.awaitVoters(3)
	c.heal()
	c.run(2 * time.Second)
	c.join("c", "c", true)
	c.awaitVoters(4)
	c.mustCommit(1)
}

// TestSeededSelfRepair loses replicas one after another, with and without their
// disks, while messages are lost and duplicated. The method apply of cluster
// checks that no replica disagrees about a committed entry.
func TestSeededSelfRepair(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 9))
		c := newBootstrapped(t, seed, "a", "b", "c")
		c.lossRate, c.duplicateRate = 0.02, 0.05
		alive := []string{"a", "b", "c"}
		for round := range 6 {
			c.mustCommit(100*seed + uint64(round))
			lost := random.IntN(len(alive))
			name := alive[lost]
			c.crash(name)
			c.run(time.Duration(random.Int64N(int64(2 * time.Second))))
			switch random.IntN(3) {
			case 0:
				c.start(name)
				c.run(2 * time.Second)
			case 1:
				next := fmt.Sprintf("%s-%d", name[:1], round)
				c.addNode(next, Members{})
				addr := name
				if m, ok := c.nodes[c.awaitLeader()].core.Members().Get(name); ok {
					addr = m.Addr
				}
				c.join(next, addr, true)
				alive[lost] = next
			case 2:
				next := fmt.Sprintf("n%d", round)
				c.addNode(next, Members{})
				c.join(next, next, true)
				alive[lost] = next
			}
			c.awaitVoters(3)
		}
	}
}

func TestSuspendedLeaderConfirmsNoRead(t *testing.T) {
	c := newBootstrapped(t, 3, "a", "b", "c")
	c.mustCommit(1)
	old := c.awaitLeader()
	core := c.nodes[old].core
	// Its clock stands still while it is suspended, so its lease looks valid.
	suspendedAt := c.now
	c.nodes[old].suspended = true
	c.run(5 * time.Second)
	c.mustCommit(2)
	require.True(t, core.HasLease(suspendedAt), "the lease must look valid to the suspended leader")
	index, at, ok := core.ReadIndex(suspendedAt)
	require.True(t, ok)
	require.Less(t, index, c.nodes[c.leader()].core.hard.Commit)
	// Replies to messages that it sent before it was suspended arrive late.
	for _, from := range c.names {
		if from != old {
			core.Step(suspendedAt, Message{
				Type: MessageAppendReply, From: from, To: old, Identity: c.nodes[from].disk.identity,
				Term: core.Term(), Index: index, SentAt: core.sinceEpoch(suspendedAt),
			})
		}
	}
	require.False(t, core.IsReadConfirmed(suspendedAt.Add(time.Millisecond), at, core.Term()))
}

// TestSeededReads checks that a confirmed read sees everything that was
// committed before it began, at any replica, despite partitions and suspended
// replicas.
func TestSeededReads(t *testing.T) {
	type read struct {
		node          string
		index, needed uint64
		at            time.Duration
		term          uint64
	}
	confirmed := 0
	for seed := range uint64(25) {
		random := rand.New(rand.NewPCG(seed, 4))
		c := newBootstrapped(t, seed, "a", "b", "c")
		c.lossRate = 0.05
		newest := uint64(0)
		var pending []read
		for range 400 {
			switch random.IntN(12) {
			case 0:
				c.isolate(c.names[random.IntN(3)])
			case 1:
				c.heal()
			case 2:
				n := c.nodes[c.names[random.IntN(3)]]
				n.suspended = !n.suspended
			default:
				if lead := c.leader(); lead != "" {
					c.propose(lead, random.Uint64())
				}
			}
			c.run(time.Duration(random.IntN(10)+1) * 30 * time.Millisecond)
			for index := range c.committed {
				newest = max(newest, index)
			}
			for _, name := range c.names {
				n := c.nodes[name]
				if index, at, ok := n.core.ReadIndex(c.now); ok && !n.suspended {
					pending = append(pending, read{name, index, newest, at, n.core.Term()})
				}
			}
			remaining := pending[:0]
			for _, r := range pending {
				core := c.nodes[r.node].core
				if !c.nodes[r.node].suspended && core.IsReadConfirmed(c.now, r.at, r.term) {
					confirmed++
					require.GreaterOrEqual(t, max(r.index, core.Applied()), r.needed, "seed %d, %s", seed, r.node)
					require.GreaterOrEqual(t, r.index, r.needed, "seed %d, %s: read index", seed, r.node)
				} else {
					remaining = append(remaining, r)
				}
			}
			pending = remaining
		}
	}
	require.Greater(t, confirmed, 500)
}
