package replica

import (
	"math/rand/v2"
	"time"

	"bronzerill"
)

// Timing of heartbeats, elections and leases.
const (
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the shortest silence after which a follower campaigns. A
	// follower also refuses to vote for this time after contact with a leader.
	ElectionTimeout = time.Second
	// LeaderLease is how long a leader may act after it sent the newest message
	// that a quorum has answered. It is shorter than ElectionTimeout by the
	// tolerated clock drift.
	LeaderLease = 800 * time.Millisecond
)

// Bounds of replication.
const (
	// maxAppendEntries bounds the entries of one append message, and the
	// committed entries that one Ready returns.
	maxAppendEntries = 256
	// maxInflightEntries bounds the entries that are sent to a member without an
	// acknowledgement. It also bounds the uncommitted entries with which the leader
	// still accepts proposals.
	maxInflightEntries = 1024
	// maxAppendBytes bounds the entries of one append message, and maxInflightBytes those that
	// are sent to a member without an acknowledgement. One entry may exceed them.
	maxAppendBytes   = 128 << 10
	maxInflightBytes = 1 << 20
	// maxReplayBytes bounds the entries that a learner gets, or replayFactor times a snapshot if that is more. Beyond
	// it, the learner gets a new snapshot.
	maxReplayBytes = 256 << 10
	replayFactor   = 3
	// maxUncommittedBytes bounds the uncommitted entries with which the leader still accepts
	// proposals. They are in memory while no quorum saves them.
	maxUncommittedBytes = 16 << 20
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// progress is the leader's view of one member's log.
type progress struct {
	next  uint64
	match uint64
	// resetTo is the index before next when next was last set otherwise than by sending.
	resetTo uint64
	// ackedSentAt is the leader's clock when it sent the newest message that the
	// member has answered.
	ackedSentAt time.Duration
	// trackedSince is the leader's clock when it began to track the member.
	trackedSince time.Duration
	// snapshotSentAt is when a snapshot was last sent. It limits how often the
	// snapshot is resent.
	snapshotSentAt time.Time
	// paused stops further appends until the next reply or heartbeat.
	paused bool
}

// CoreConfig configures a Core.
type CoreConfig struct {
	Name     string
	Identity string
	// Seed seeds the jitter of election timeouts.
	Seed uint64
	// Now is the start time.
	Now time.Time
	// LastContact is when the replica last heard from a leader. It refuses to vote for one
	// ElectionTimeout after it. It is zero if that is unknown, which counts as Now.
	LastContact time.Time
	HardState   HardState
	Members     Members
	Snapshot    *Snapshot
	Entries     []Entry
	// SelfRepair lets the leader promote learners and replace lost voters
	// without an operator.
	SelfRepair bool
	// Losses is the number of disks that may be lost at once without a loss of committed entries.
	// Self-repair keeps quorums larger than that.
	Losses int
}

// Core is the Raft state machine of one replica. It does no I/O: Tick, Step and
// Propose process events, and Ready returns the work that results. It
// isn't safe for concurrent use.
type Core struct {
	name     string
	identity string
	random   *rand.Rand
	// epoch is the start time. The replica's clock counts from it.
	epoch     time.Time
	hard      HardState
	savedHard HardState
	log       entryLog
	// members is the newest member list in the log, committed or not.
	members Members
	// membersIndex is the index of that list. The list can't change again until
	// this index is committed.
	membersIndex uint64
	// before is the member list before members.
	before Members
	// baseMembers is the member list at the base of the log.
	baseMembers Members
	// lostFolders are the data folders that are known to be lost.
	lostFolders map[string]bool
	role        role
	leader      string
	lastContact time.Time
	electionAt  time.Time
	heartbeatAt time.Time
	votes       map[string]bool
	peers       map[string]*progress
	// noopIndex is the first index of the leader's own term.
	noopIndex        uint64
	savedIndex       uint64
	applied          uint64
	snapshot         *Snapshot
	receivedSnapshot *Snapshot
	messages         []Message
	// seenFolders maps a sender to the first data folder that it reported. It
	// applies until the member list contains the sender's folder.
	seenFolders map[string]string
	// transferTo is the target of a leadership transfer until transferUntil, or empty.
	transferTo    string
	transferUntil time.Time
	selfRepair    bool
	losses        int
	// leaving maps the members that asked to leave to the end of their requests.
	leaving map[string]time.Time
}

// NewCore returns a follower that starts from its saved state.
func NewCore(cfg CoreConfig) *Core {
	c := &Core{
		name:        cfg.Name,
		identity:    cfg.Identity,
		random:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		epoch:       cfg.Now,
		hard:        cfg.HardState,
		savedHard:   cfg.HardState,
		members:     cfg.Members,
		snapshot:    cfg.Snapshot,
		seenFolders: map[string]string{cfg.Name: cfg.Identity},

		selfRepair: cfg.SelfRepair,
		losses:     cfg.Losses,
		leaving:    make(map[string]time.Time),

		lostFolders: make(map[string]bool),
	}
	if cfg.Snapshot != nil {
		c.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
		c.members = cfg.Snapshot.Members
		c.membersIndex = cfg.Snapshot.Index
		c.applied = cfg.Snapshot.Index
	}
	c.baseMembers = c.members
	c.log.entries = cfg.Entries
	c.savedIndex = c.log.last()
	c.hard.Commit = max(c.hard.Commit, c.applied)
	c.savedHard.Commit = c.hard.Commit
	c.reloadMembers(cfg.Now)
	// Before the restart, the replica may have acknowledged a heartbeat on which
	// a leader's lease still rests.
	c.lastContact = cfg.Now
	if !cfg.LastContact.IsZero() {
		c.lastContact = cfg.LastContact
	}
	c.resetElectionTimer(cfg.Now)
	return c
}

// IsLeader reports whether the replica is the leader of its term.
func (c *Core) IsLeader() bool { return c.role == leader }

// Leader returns the name of the leader, or an empty string if none is known.
func (c *Core) Leader() string { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// Members returns the newest member list, committed or not.
func (c *Core) Members() Members { return c.members }

// Applied returns the index up to which Ready has returned committed entries.
func (c *Core) Applied() uint64 { return c.applied }

// LastContact returns when the replica last heard from a leader. It is now for a leader.
func (c *Core) LastContact(now time.Time) time.Time {
	if c.role == leader {
		return now
	}
	return c.lastContact
}

// HasLease reports whether no other replica can lead at now, and this one has
// applied everything that was committed before its term. It is false during a
// leadership transfer.
func (c *Core) HasLease(now time.Time) bool {
	if c.role != leader || c.applied < c.noopIndex || c.transferTo != "" {
		return false
	}
	if !c.members.FoldersKnown() {
		return false
	}
	return c.sinceEpoch(now)-c.quorumAck(now) < LeaderLease
}

// sinceEpoch returns the time on the replica's clock.
func (c *Core) sinceEpoch(now time.Time) time.Duration { return now.Sub(c.epoch) }

// quorumAck returns the latest time on the leader's clock at which it sent
// messages that a quorum has answered.
func (c *Core) quorumAck(now time.Time) time.Duration {
	return agreed(c, func(name string) time.Duration {
		if name == c.name {
			return c.sinceEpoch(now)
		}
		if p := c.peers[name]; p != nil {
			return p.ackedSentAt
		}
		return 0
	})
}

func (c *Core) trackPeers(now time.Time) {
	for _, m := range c.members.List {
		if m.Name != c.name && c.peers[m.Name] == nil {
			c.peers[m.Name] = &progress{next: c.log.last() + 1, resetTo: c.log.last(), trackedSince: c.sinceEpoch(now)}
		}
	}
	for name := range c.peers {
		if _, ok := c.members.Get(name); !ok {
			delete(c.peers, name)
		}
	}
}

func (c *Core) appendEntry(kind EntryType, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Type: kind, Data: data}
	c.log.append([]Entry{e})
	return e.Index
}

// Propose appends a command to the leader's log. The command takes effect only
// if an entry with the returned index and term is committed.
func (c *Core) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if c.role != leader || c.transferTo != "" {
		return 0, 0, bronzerill.Errorf(bronzerill.KindNotLeader, "%s", c.leader)
	}
	if c.log.last()-c.hard.Commit > maxInflightEntries {
		return 0, 0, bronzerill.Errorf(bronzerill.KindTableFull, "%d entries wait for a quorum", maxInflightEntries)
	}
	if entryBytes(c.log.slice(c.hard.Commit, c.log.last(), maxInflightEntries)) > maxUncommittedBytes {
		return 0, 0, bronzerill.Errorf(bronzerill.KindTableFull, "%d bytes wait for a quorum", maxUncommittedBytes)
	}
	index = c.appendEntry(EntryCommand, data)
	c.broadcast(now)
	return index, c.hard.Term, nil
}

// ProposeMembers appends a member list that differs from the current one by at
// most one voter.
func (c *Core) ProposeMembers(now time.Time, next Members) error {
	if c.role != leader {
		return bronzerill.Errorf(bronzerill.KindNotLeader, "%s", c.leader)
	}
	if c.membersIndex > c.hard.Commit || c.hard.Commit < c.noopIndex {
		return bronzerill.Errorf(bronzerill.KindInProgress, "membership can't change yet: an earlier entry is not committed")
	}
	if voterDistance(c.members, next) > 1 || next.Voters() == 0 {
		return bronzerill.Errorf(bronzerill.KindBadRequest, "a membership change may add or remove one voter, but not the last one")
	}
	data, err := encodeMembers(next)
	if err != nil {
		return bronzerill.Errorf(bronzerill.KindInternal, "encode members: %v", err)
	}
	c.membersIndex = c.appendEntry(EntryMembers, data)
	c.before, c.members = c.members, next
	c.trackPeers(now)
	c.broadcast(now)
	return nil
}

func voterDistance(a, b Members) int {
	distance := 0
	for _, m := range a.List {
		if m.Voter && !b.IsVoter(m.Name) {
			distance++
		}
	}
	for _, m := range b.List {
		if m.Voter && !a.IsVoter(m.Name) {
			distance++
		}
	}
	return distance
}

func (c *Core) broadcast(now time.Time) {
	for _, name := range c.peerNames() {
		c.sendAppend(now, name, false)
	}
}

// peerNames returns the names of the tracked members in the order of the member list, so that the same events
// always have the same result.
func (c *Core) peerNames() []string {
	names := make([]string, 0, len(c.peers))
	for _, m := range c.members.List {
		if c.peers[m.Name] != nil {
			names = append(names, m.Name)
		}
	}
	return names
}

func (c *Core) send(m Message) {
	m.From = c.name
	m.Identity = c.identity
	c.messages = append(c.messages, m)
}

// reloadMembers finds the newest member list after the log has changed.
func (c *Core) reloadMembers(now time.Time) {
	c.members, c.before = c.baseMembers, c.baseMembers
	c.membersIndex = c.log.base
	for _, e := range c.log.entries {
		if e.Type != EntryMembers {
			continue
		}
		if m, err := decodeMembers(e.Data); err == nil {
			c.before, c.members = c.members, m
			c.membersIndex = e.Index
		}
	}
	if c.role == leader {
		c.trackPeers(now)
	}
}
