package replica

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// disk is the state that a replica has saved. It survives a crash. Nothing else
// has to, because the driver saves before it acts.
type disk struct {
	identity string
	members  Members
	hard     HardState
	snapshot *Snapshot
	entries  []Entry
}

func (d *disk) save(r Ready) {
	if r.HardState != nil {
		d.hard = *r.HardState
	}
	if r.Snapshot != nil {
		d.snapshot = r.Snapshot
		d.entries = nil
	}
	if len(r.Entries) == 0 {
		return
	}
	first := r.Entries[0].Index
	for i, e := range d.entries {
		if e.Index >= first {
			d.entries = d.entries[:i:i]
			break
		}
	}
	d.entries = append(d.entries, r.Entries...)
}

type simNode struct {
	core      *Core
	disk      *disk
	applied   []Entry
	down      bool
	suspended bool
}

type inFlightMessage struct {
	deliverAt time.Time
	message   Message
}

// cluster runs cores on a simulated clock, over a network with seeded faults.
type cluster struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	nodes    map[string]*simNode
	names    []string
	inFlight []inFlightMessage
	// blocked holds "from>to" links that drop every message.
	blocked map[string]bool
	// lossRate, duplicateRate and maxDelay are the faults of every link.
	lossRate, duplicateRate float64
	maxDelay                time.Duration
	// committed is the one history that every replica must agree with.
	committed   map[uint64]Entry
	leaders     map[uint64]string
	folderCount int
	// selfRepair enables SelfRepair on every replica.
	selfRepair bool
	// losses is the setting Losses of every replica.
	losses int
}

func newCluster(t *testing.T, seed uint64, names ...string) *cluster {
	c := &cluster{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 2)),
		now:       time.Unix(1_000_000, 0),
		nodes:     make(map[string]*simNode),
		blocked:   make(map[string]bool),
		committed: make(map[uint64]Entry),
		leaders:   make(map[uint64]string),
		maxDelay:  2 * time.Millisecond,
	}
	var members Members
	for _, name := range names {
		members = members.With(Member{Name: name, Addr: name, Voter: true})
	}
	for _, name := range names {
		c.addNode(name, members)
	}
	return c
}

func (c *cluster) addNode(name string, members Members) {
	c.folderCount++
	if c.nodes[name] == nil {
		c.names = append(c.names, name)
	}
	c.nodes[name] = &simNode{disk: &disk{
		identity: fmt.Sprintf("folder-%d", c.folderCount),
		members:  members,
	}}
	c.start(name)
}

func (c *cluster) start(name string) {
	n := c.nodes[name]
	n.down = false
	n.applied = nil
	n.core = NewCore(CoreConfig{
		Name:      name,
		Identity:  n.disk.identity,
		Seed:      c.random.Uint64(),
		Now:       c.now,
		HardState: n.disk.hard,
		Members:   n.disk.members,
		Snapshot:  n.disk.snapshot,
		Entries:   append([]Entry(nil), n.disk.entries...),

		SelfRepair: c.selfRepair,
		Losses:     c.losses,
	})
}

func (c *cluster) crash(name string) { c.nodes[name].down = true }

func (c *cluster) processReady(name string) {
	n := c.nodes[name]
	for !n.down && !n.suspended {
		r := n.core.Ready()
		if r.Empty() {
			break
		}
		n.disk.save(r)
		n.core.Persisted(r)
		for _, m := range r.Messages {
			c.send(m)
		}
		for _, e := range r.Committed {
			c.apply(name, n, e)
		}
	}
	if n.core.IsLeader() {
		lead, ok := c.leaders[n.core.Term()]
		require.True(c.t, !ok || lead == name, "two leaders in term %d: %s and %s", n.core.Term(), lead, name)
		c.leaders[n.core.Term()] = name
	}
}

func (c *cluster) apply(name string, n *simNode, e Entry) {
	known, ok := c.committed[e.Index]
	if ok {
		require.Equal(c.t, known, e, "%s applied a different entry at index %d", name, e.Index)
	}
	c.committed[e.Index] = e
	n.applied = append(n.applied, e)
}

func (c *cluster) send(m Message) {
	if c.blocked[m.From+">"+m.To] || c.random.Float64() < c.lossRate {
		return
	}
	copies := 1
	if c.random.Float64() < c.duplicateRate {
		copies = 2
	}
	for range copies {
		delay := time.Duration(c.random.Int64N(int64(c.maxDelay) + 1))
		c.inFlight = append(c.inFlight, inFlightMessage{c.now.Add(delay), m})
	}
}

// step advances the clock by one tick and runs everything that is due.
func (c *cluster) step() {
	c.now = c.now.Add(10 * time.Millisecond)
	var later, due []inFlightMessage
	for _, f := range c.inFlight {
		if f.deliverAt.After(c.now) {
			later = append(later, f)
		} else {
			due = append(due, f)
		}
	}
	c.inFlight = later
	for _, f := range due {
		n := c.nodes[f.message.To]
		if n == nil || n.down || n.suspended || c.blocked[f.message.From+">"+f.message.To] {
			continue
		}
		n.core.Step(c.now, f.message)
	}
	for _, name := range c.names {
		n := c.nodes[name]
		if n.down || n.suspended {
			continue
		}
		n.core.Tick(c.now)
		c.processReady(name)
	}
	c.checkLease()
}

// checkLease checks that no two replicas hold the leader lease at the same
// time. Configuration leases depend on this invariant.
func (c *cluster) checkLease() {
	holder := ""
	for _, name := range c.names {
		n := c.nodes[name]
		if n.down || !n.core.HasLease(c.now) {
			continue
		}
		require.Empty(c.t, holder, "%s and %s both hold the lease", holder, name)
		holder = name
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

func (c *cluster) leader() string {
	for _, name := range c.names {
		n := c.nodes[name]
		if !n.down && !n.suspended && n.core.HasLease(c.now) {
			return name
		}
	}
	return ""
}

func (c *cluster) awaitLeader() string {
	for range 2000 {
		if lead := c.leader(); lead != "" {
			return lead
		}
		c.step()
	}
	require.Fail(c.t, "no leader within 20 s")
	return ""
}

// propose returns the index of an accepted proposal, or 0.
func (c *cluster) propose(name string, value uint64) uint64 {
	n := c.nodes[name]
	index, _, err := n.core.Propose(c.now, binary.BigEndian.AppendUint64(nil, value))
	if err != nil {
		return 0
	}
	c.processReady(name)
	return index
}

// mustCommit proposes until the value is committed.
func (c *cluster) mustCommit(value uint64) {
	for range 50 {
		lead := c.awaitLeader()
		index := c.propose(lead, value)
		c.run(300 * time.Millisecond)
		if e, ok := c.committed[index]; ok && binary.BigEndian.Uint64(e.Data) == value {
			return
		}
	}
	require.Fail(c.t, "value not committed", "%d", value)
}

func (c *cluster) blockBoth(a, b string) { c.blocked[a+">"+b] = true; c.blocked[b+">"+a] = true }

func (c *cluster) isolate(name string) {
	for _, other := range c.names {
		c.blockBoth(name, other)
	}
}

func (c *cluster) heal() { clear(c.blocked) }
