package replica

import (
	"maps"
	"slices"
	"time"
)

func (c *Core) resetElectionTimer(now time.Time) {
	jitter := time.Duration(c.random.Int64N(int64(ElectionTimeout)))
	c.electionAt = now.Add(ElectionTimeout + jitter)
}

// Tick runs the timers: the heartbeats of a leader and the election timeout of
// other voters.
func (c *Core) Tick(now time.Time) {
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionAt) || !c.members.IsVoter(c.name) {
		return
	}
	c.campaign(now, preCandidate, false)
}

func (c *Core) tickLeader(now time.Time) {
	if c.sinceEpoch(now)-c.quorumAck(now) > 2*ElectionTimeout {
		c.becomeFollower(now, c.hard.Term, "")
		return
	}
	if !c.members.IsVoter(c.name) && c.membersIndex <= c.hard.Commit {
		c.becomeFollower(now, c.hard.Term, "")
		return
	}
	if c.transferTo != "" && !now.Before(c.transferUntil) {
		c.transferTo = ""
	}
	if now.Before(c.heartbeatAt) {
		return
	}
	c.heartbeatAt = now.Add(HeartbeatInterval)
	for _, name := range c.peerNames() {
		c.peers[name].paused = false
		c.sendAppend(now, name, true)
	}
	c.advanceMembers(now)
}

func (c *Core) campaign(now time.Time, as role, transfer bool) {
	c.role = as
	c.leader = ""
	c.votes = map[string]bool{c.name: true}
	c.resetElectionTimer(now)
	term := c.hard.Term + 1
	kind := MessagePreVote
	if as == candidate {
		kind = MessageVote
		c.hard = HardState{Term: term, Vote: c.name, Commit: c.hard.Commit}
	}
	if c.countVotes(now) {
		return
	}
	for _, name := range c.electorate() {
		if name != c.name {
			c.send(Message{Type: kind, To: name, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: transfer})
		}
	}
}

// countVotes starts the next stage of the election and returns true if a quorum
// has granted its votes.
func (c *Core) countVotes(now time.Time) bool {
	granted := agreed(c, func(name string) int {
		if c.votes[name] {
			return 1
		}
		return 0
	})
	if granted == 0 {
		return false
	}
	if c.role == preCandidate {
		c.campaign(now, candidate, false)
	} else {
		c.becomeLeader(now)
	}
	return true
}

// votesSeen returns the answers to the present campaign, and whether there is one.
func (c *Core) votesSeen() (granted, rejected []string, campaigns bool) {
	if c.role != preCandidate && c.role != candidate {
		return nil, nil, false
	}
	for _, name := range slices.Sorted(maps.Keys(c.votes)) {
		if c.votes[name] {
			granted = append(granted, name)
		} else {
			rejected = append(rejected, name)
		}
	}
	return granted, rejected, true
}

func (c *Core) becomeFollower(now time.Time, term uint64, leaderName string) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term, Commit: c.hard.Commit}
	}
	c.role = follower
	c.leader = leaderName
	c.transferTo = ""
	c.peers = nil
	c.resetElectionTimer(now)
}

func (c *Core) becomeLeader(now time.Time) {
	c.role = leader
	c.leader = c.name
	c.transferTo = ""
	c.heartbeatAt = now
	c.peers = make(map[string]*progress)
	c.trackPeers(now)
	c.noopIndex = c.log.last() + 1
	c.appendEntry(EntryNone, nil)
	// A granted vote doesn't say when its request was sent, so votes don't count
	// for the lease. The lease starts with the first answered heartbeat.
	for _, name := range c.peerNames() {
		c.peers[name].ackedSentAt = c.sinceEpoch(now) - LeaderLease
		c.sendAppend(now, name, true)
	}
}

// transferTimeout is the time in which the target of a transfer must have campaigned. Meanwhile the
// leader accepts nothing.
const transferTimeout = ElectionTimeout

// TransferLeadership chooses the voter with the longest matching log and asks it to campaign as soon
// as its log is complete. It prefers voters that have answered a short time ago, since the leader accepts
// nothing during a transfer.
func (c *Core) TransferLeadership(now time.Time) {
	if c.role != leader || c.transferTo != "" {
		return
	}
	best := ""
	for _, name := range c.peerNames() {
		if c.members.IsVoter(name) && !c.isLeaving(now, name) && (best == "" || c.isBetterTarget(now, name, best)) {
			best = name
		}
	}
	if best == "" {
		return
	}
	c.transferTo, c.transferUntil = best, now.Add(transferTimeout)
	c.sendTimeoutNow()
}

// isBetterTarget reports whether a voter is a better target of a transfer than another one.
func (c *Core) isBetterTarget(now time.Time, name, other string) bool {
	silent, otherSilent := c.isSilent(now, name, briefSilence), c.isSilent(now, other, briefSilence)
	if silent != otherSilent {
		return otherSilent
	}
	return c.peers[name].match > c.peers[other].match
}

func (c *Core) sendTimeoutNow() {
	if p := c.peers[c.transferTo]; p != nil && p.match == c.log.last() {
		c.send(Message{Type: MessageTimeoutNow, To: c.transferTo, Term: c.hard.Term})
	}
}
