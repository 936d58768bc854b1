package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
)

func TestCommitAfterLeaderCrash(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	c.mustCommit(1)
	first := c.awaitLeader()
	c.crash(first)
	c.mustCommit(2)
	assert.NotEqual(t, first, c.awaitLeader())
	c.start(first)
	c.run(3 * time.Second)
	assert.Equal(t, c.nodes[c.awaitLeader()].core.Applied(), c.nodes[first].core.Applied())
}

func TestPartitionedLeaderLosesLease(t *testing.T) {
	c := newCluster(t, 2, "a", "b", "c")
	c.mustCommit(1)
	first := c.awaitLeader()
	c.isolate(first)
	index := c.propose(first, 99)
	c.run(10 * time.Second)
	assert.NotEqual(t, first, c.awaitLeader())
	assert.False(t, c.nodes[first].core.HasLease(c.now))
	if e, ok := c.committed[index]; ok {
		assert.NotEqual(t, uint64(99), e.Data)
	}
	c.heal()
	c.mustCommit(2)
}

func TestOneWayPartitionDoesNotDisturbLeader(t *testing.T) {
	c := newCluster(t, 3, "a", "b", "c")
	c.mustCommit(1)
	lead := c.awaitLeader()
	term := c.nodes[lead].core.Term()
	other := "a"
	if lead == "a" {
		other = "b"
	}
	c.blocked[lead+">"+other] = true
	c.run(10 * time.Second)
	assert.Equal(t, lead, c.leader())
	assert.Equal(t, term, c.nodes[lead].core.Term())
}

func TestSuspendedLeaderHasNoLeaseAfterResume(t *testing.T) {
	c := newCluster(t, 4, "a", "b", "c")
	c.mustCommit(1)
	first := c.awaitLeader()
	c.nodes[first].suspended = true
	c.run(10 * time.Second)
	require.False(t, c.nodes[first].core.HasLease(c.now))
	c.nodes[first].suspended = false
	c.mustCommit(2)
}

func TestLostDiskDoesNotElectStaleLeader(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			c := newCluster(t, seed, "a", "b", "c")
			c.mustCommit(1)
			lead := c.awaitLeader()
			lost, lagging := others(lead)
			c.isolate(lagging)
			c.mustCommit(2)
			// The operator wrongly initialises the lost folder with the first member
			// list.
			members := c.nodes[lost].disk.members
			c.crash(lead)
			c.heal()
			c.addNode(lost, members)
			c.run(20 * time.Second)
			assert.Empty(t, c.leader(), "a replica that lost its log helped to elect a leader")
			c.start(lead)
			c.nodes[lost].down = true
			c.mustCommit(3)
		})
	}
}

func others(lead string) (first, second string) {
	var rest []string
	for _, name := range []string{"a", "b", "c"} {
		if name != lead {
			rest = append(rest, name)
		}
	}
	return rest[0], rest[1]
}

func repair(c *cluster, lost, replacement string) {
	c.addNode(replacement, Members{})
	for range 100 {
		lead := c.awaitLeader()
		core := c.nodes[lead].core
		next := core.Members().With(Member{Name: replacement, Addr: replacement, Replaces: lost})
		if core.ProposeMembers(c.now, next) == nil {
			return
		}
		c.run(100 * time.Millisecond)
	}
	require.Fail(c.t, "repair not accepted")
}

func TestRepairThenSecondLoss(t *testing.T) {
	c := newCluster(t, 5, "a", "b", "c")
	for v := range uint64(600) {
		c.propose(c.awaitLeader(), v+1)
		c.step()
	}
	lead := c.awaitLeader()
	lost, survivor := others(lead)
	c.crash(lost)
	repair(c, lost, "d")
	c.run(3 * time.Second)
	members := c.nodes[lead].core.Members()
	require.True(t, members.IsVoter("d"))
	_, present := members.Get(lost)
	require.False(t, present)
	// A second instance is lost right after the repair.
	c.crash(lead)
	c.mustCommit(1000)
	assert.Equal(t, c.nodes[survivor].core.Applied(), c.nodes["d"].core.Applied())
}

func TestLearnerDoesNotVoteBeforeItCaughtUp(t *testing.T) {
	c := newCluster(t, 6, "a", "b", "c")
	c.mustCommit(1)
	lead := c.awaitLeader()
	lost, _ := others(lead)
	c.crash(lost)
	c.addNode("d", Members{})
	c.isolate("d")
	core := c.nodes[lead].core
	require.NoError(t, core.ProposeMembers(c.now, core.Members().With(Member{Name: "d", Addr: "d", Replaces: lost})))
	c.run(3 * time.Second)
	assert.False(t, core.Members().IsVoter("d"))
	c.heal()
	c.run(3 * time.Second)
	assert.True(t, core.Members().IsVoter("d"))
}

func TestCatchUpBySnapshot(t *testing.T) {
	c := newCluster(t, 7, "a", "b", "c")
	c.mustCommit(1)
	lead := c.awaitLeader()
	lagging, _ := others(lead)
	c.crash(lagging)
	for v := range uint64(500) {
		c.propose(lead, v)
		c.step()
	}
	c.run(time.Second)
	core := c.nodes[lead].core
	at := core.Applied()
	term, _ := core.log.term(at)
	core.Compact(Snapshot{Index: at, Term: term, Members: core.MembersAt(at)})
	c.start(lagging)
	c.run(3 * time.Second)
	assert.Equal(t, at, c.nodes[lagging].core.Applied())
	c.mustCommit(2)
}

func TestLeadershipTransfer(t *testing.T) {
	c := newCluster(t, 8, "a", "b", "c")
	c.mustCommit(1)
	lead := c.awaitLeader()
	c.nodes[lead].core.TransferLeadership(c.now)
	c.processReady(lead)
	c.run(200 * time.Millisecond)
	next := c.leader()
	assert.NotEmpty(t, next, "the group has no leader 200 ms after the transfer")
	assert.NotEqual(t, lead, next)
}

func TestMembersChangeByOneVoter(t *testing.T) {
	c := newCluster(t, 9, "a", "b", "c")
	c.mustCommit(1)
	core := c.nodes[c.awaitLeader()].core
	next := core.Members().With(Member{Name: "d", Voter: true}).With(Member{Name: "e", Voter: true})
	assert.Error(t, core.ProposeMembers(c.now, next))
}

// TestSeededFaults injects faults of the network and the processes at random
// steps. The methods apply, processReady and checkLease of cluster check the
// invariants.
func TestSeededFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runFaults(t, seed) })
	}
}

func runFaults(t *testing.T, seed uint64) {
	c := newCluster(t, seed, "a", "b", "c", "d", "e")
	c.lossRate = 0.1
	c.duplicateRate = 0.1
	c.maxDelay = 60 * time.Millisecond
	accepted := make(map[uint64]uint64)
	for value := range uint64(1500) {
		if lead := c.leader(); lead != "" && value%3 == 0 {
			accepted[c.propose(lead, value)] = value
		}
		injectFault(c)
		c.step()
	}
	c.heal()
	c.lossRate = 0
	c.duplicateRate = 0
	for _, name := range c.names {
		n := c.nodes[name]
		n.suspended = false
		if n.down {
			c.start(name)
		}
	}
	c.mustCommit(1_000_000)
	c.run(5 * time.Second)
	lead := c.awaitLeader()
	for _, name := range c.names {
		assert.Equal(t, c.nodes[lead].core.Applied(), c.nodes[name].core.Applied(), name)
	}
}

func injectFault(c *cluster) {
	name := c.names[c.random.IntN(len(c.names))]
	other := c.names[c.random.IntN(len(c.names))]
	n := c.nodes[name]
	down := 0
	for _, each := range c.nodes {
		if each.down {
			down++
		}
	}
	switch c.random.IntN(60) {
	case 0:
		if down < 2 {
			c.crash(name)
		}
	case 1, 2:
		if n.down {
			c.start(name)
		}
	case 3:
		c.blocked[name+">"+other] = true
	case 4:
		c.isolate(name)
	case 5, 6:
		c.heal()
	case 7:
		n.suspended = true
	case 8, 9, 10:
		n.suspended = false
	case 11:
		compactNode(n)
	}
}

func compactNode(n *simNode) {
	at := n.core.Applied()
	term, ok := n.core.log.term(at)
	if n.down || !ok || at <= n.core.log.base {
		return
	}
	s := Snapshot{Index: at, Term: term, Members: n.core.MembersAt(at)}
	n.core.Compact(s)
	n.disk.snapshot = &s
	for len(n.disk.entries) > 0 && n.disk.entries[0].Index <= at {
		n.disk.entries = n.disk.entries[1:]
	}
}

// TestBootstrapNeedsEveryReplica blocks all messages to one replica, so that it
// doesn't learn the data folders of the others. Such a replica could later
// accept one that has lost its disk, so the group must not serve until every
// replica is reachable.
func TestBootstrapNeedsEveryReplica(t *testing.T) {
	c := newCluster(t, 10, "a", "b", "c")
	c.blocked["a>c"] = true
	c.blocked["b>c"] = true
	c.run(10 * time.Second)
	assert.Empty(t, c.leader())
	c.heal()
	c.mustCommit(1)
	c.isolate("c")
	c.mustCommit(2)
}

// newCore returns one core of a group of three. The test acts as its peers.
func newCore(now time.Time, hard HardState, entries []Entry) *Core {
	members := Members{List: []Member{
		{Name: "a", Folder: "fa", Voter: true}, {Name: "b", Folder: "fb", Voter: true}, {Name: "c", Folder: "fc", Voter: true},
	}}
	return NewCore(CoreConfig{Name: "a", Identity: "fa", Now: now, HardState: hard, Members: members, Entries: entries})
}

// drain does the work of the core as a driver would, and returns it.
func drain(c *Core) Ready {
	r := c.Ready()
	c.Persisted(r)
	return r
}

// TestVoteIsSavedBeforeReply restarts a replica after it has voted. It must not
// vote for another candidate of the same term.
func TestVoteIsSavedBeforeReply(t *testing.T) {
	now := time.Now()
	c := newCore(now, HardState{Term: 1}, nil)
	later := now.Add(2 * ElectionTimeout)
	c.Step(later, Message{Type: MessageVote, From: "b", To: "a", Identity: "fb", Term: 2})
	r := drain(c)
	require.NotNil(t, r.HardState)
	assert.Equal(t, HardState{Term: 2, Vote: "b"}, *r.HardState)
	require.Len(t, r.Messages, 1)
	assert.False(t, r.Messages[0].Reject)

	restarted := newCore(later, *r.HardState, nil)
	restarted.Step(later.Add(2*ElectionTimeout), Message{Type: MessageVote, From: "c", To: "a", Identity: "fc", Term: 2})
	r = drain(restarted)
	require.Len(t, r.Messages, 1)
	assert.True(t, r.Messages[0].Reject)
}

// TestOlderTermsCommitOnlyWithCurrentTerm replicates an entry of an older term
// to a majority. The entry is committed only together with one of the current
// term.
func TestOlderTermsCommitOnlyWithCurrentTerm(t *testing.T) {
	now := time.Now()
	c := newCore(now, HardState{Term: 2}, []Entry{{Index: 1, Term: 1, Type: EntryCommand}})
	now = now.Add(3 * ElectionTimeout)
	c.Tick(now)
	c.Step(now, Message{Type: MessagePreVoteReply, From: "b", To: "a", Identity: "fb", Term: 3})
	c.Step(now, Message{Type: MessageVoteReply, From: "b", To: "a", Identity: "fb", Term: 3})
	require.True(t, c.IsLeader())
	drain(c)
	c.Step(now, Message{Type: MessageAppendReply, From: "b", To: "a", Identity: "fb", Term: 3, Index: 1})
	assert.Zero(t, c.hard.Commit)
	c.Step(now, Message{Type: MessageAppendReply, From: "b", To: "a", Identity: "fb", Term: 3, Index: 2})
	assert.Equal(t, uint64(2), c.hard.Commit)
}

// TestReplicaVotesOnceItsLastContactIsOld covers a replica that starts again in the same process.
func TestReplicaVotesOnceItsLastContactIsOld(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	members := Members{List: []Member{{Name: "a", Voter: true}, {Name: "b", Voter: true}, {Name: "c", Voter: true}}}
	for _, test := range []struct {
		name        string
		lastContact time.Time
		votes       bool
	}{
		{"unknown", time.Time{}, false},
		{"recent", now.Add(-ElectionTimeout + time.Millisecond), false},
		{"old", now.Add(-ElectionTimeout), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewCore(CoreConfig{Name: "a", Identity: "folder", Now: now, LastContact: test.lastContact, Members: members})
			c.Step(now, Message{Type: MessageVote, From: "b", To: "a", Term: 1, Identity: "other"})
			messages := c.Ready().Messages
			require.Equal(t, test.votes, len(messages) == 1 && !messages[0].Reject)
		})
	}
}

// TestLeaderBoundsTheBytesThatWaitForAQuorum covers large changes while a quorum doesn't answer.
func TestLeaderBoundsTheBytesThatWaitForAQuorum(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	lead := c.nodes[c.awaitLeader()].core
	const size = 4 << 20
	accepted := 0
	for range 20 {
		if _, _, err := lead.Propose(c.now, make([]byte, size)); err != nil {
			require.Equal(t, bronzerill.KindTableFull, bronzerill.KindOf(err))
			break
		}
		accepted++
	}
	require.LessOrEqual(t, accepted, maxUncommittedBytes/size+1)
	require.Positive(t, accepted)
}
