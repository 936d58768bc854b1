package replica

import (
	"slices"
	"time"
)

// Step handles one message.
func (c *Core) Step(now time.Time, m Message) {
	if m.To != c.name || !c.isGenuine(m) {
		return
	}
	if c.isVoteDuringLease(now, m) {
		return
	}
	if m.Term > c.hard.Term && !m.isTentative() {
		leaderName := ""
		if m.Type == MessageAppend || m.Type == MessageSnapshot {
			leaderName = m.From
		}
		c.becomeFollower(now, m.Term, leaderName)
	}
	switch m.Type {
	case MessagePreVote, MessageVote:
		c.stepVote(now, m)
	case MessagePreVoteReply, MessageVoteReply:
		c.stepVoteReply(now, m)
	case MessageAppend:
		c.stepAppend(now, m)
	case MessageAppendReply:
		c.stepAppendReply(now, m)
	case MessageSnapshot:
		c.stepSnapshot(now, m)
	case MessageTimeoutNow:
		if m.Term == c.hard.Term && c.members.IsVoter(c.name) {
			c.campaign(now, candidate, true)
		}
	}
}

// isGenuine reports whether the sender's data folder is the one known for its
// name. A sender with another folder has lost its disk, and with it its votes.
func (c *Core) isGenuine(m Message) bool {
	known := c.seenFolders[m.From]
	if member, ok := c.members.Get(m.From); ok && member.Folder != "" {
		known = member.Folder
	}
	if known == "" {
		c.seenFolders[m.From] = m.Identity
		return true
	}
	return known == m.Identity
}

// isVoteDuringLease reports whether the message requests a vote while a leader
// may hold a lease.
func (c *Core) isVoteDuringLease(now time.Time, m Message) bool {
	if m.Type != MessagePreVote && m.Type != MessageVote || m.Transfer {
		return false
	}
	if c.role == leader {
		return c.sinceEpoch(now)-c.quorumAck(now) < ElectionTimeout
	}
	return now.Sub(c.lastContact) < ElectionTimeout
}

func (c *Core) stepVote(now time.Time, m Message) {
	reply := Message{Type: MessageVoteReply, To: m.From, Term: c.hard.Term, Reject: true}
	if m.Type == MessagePreVote {
		reply.Type = MessagePreVoteReply
		if m.Term > c.hard.Term && c.log.upToDate(m.Index, m.LogTerm) {
			reply.Term = m.Term
			reply.Reject = false
		}
		c.send(reply)
		return
	}
	canVote := c.hard.Vote == "" || c.hard.Vote == m.From
	if m.Term == c.hard.Term && canVote && c.log.upToDate(m.Index, m.LogTerm) {
		c.hard.Vote = m.From
		c.resetElectionTimer(now)
		reply.Reject = false
	}
	c.send(reply)
}

func (c *Core) stepVoteReply(now time.Time, m Message) {
	expected := c.role == candidate && m.Type == MessageVoteReply && m.Term == c.hard.Term
	if c.role == preCandidate && m.Type == MessagePreVoteReply {
		expected = m.Term == c.hard.Term+1 || m.Reject
	}
	if !expected {
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes(now)
}

func (c *Core) stepAppend(now time.Time, m Message) {
	if m.Term < c.hard.Term {
		// The reply reports the newer term to a deposed leader.
		c.send(Message{Type: MessageAppendReply, To: m.From, Term: c.hard.Term, Reject: true})
		return
	}
	c.follow(now, m.From)
	reply := Message{Type: MessageAppendReply, To: m.From, Term: c.hard.Term, SentAt: m.SentAt}
	if m.Index < c.log.base {
		reply.Index = c.hard.Commit
		c.send(reply)
		return
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject = true
		reply.Index = min(c.log.last(), m.Index-1)
		c.send(reply)
		return
	}
	if first := c.log.append(m.Entries); first > 0 {
		c.savedIndex = min(c.savedIndex, first-1)
		c.reloadMembers(now)
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, reply.Index))
	c.send(reply)
}

func (c *Core) follow(now time.Time, leaderName string) {
	c.role = follower
	c.leader = leaderName
	c.peers = nil
	c.lastContact = now
	c.resetElectionTimer(now)
}

func (c *Core) stepSnapshot(now time.Time, m Message) {
	if m.Term < c.hard.Term || m.Snapshot == nil {
		return
	}
	c.follow(now, m.From)
	s := m.Snapshot
	if s.Index > c.hard.Commit {
		c.log.reset(s.Index, s.Term)
		c.savedIndex = s.Index
		c.applied = s.Index
		c.hard.Commit = s.Index
		c.baseMembers = s.Members
		c.snapshot = s
		c.receivedSnapshot = s
		c.reloadMembers(now)
	}
	c.send(Message{Type: MessageAppendReply, To: m.From, Term: c.hard.Term, Index: c.hard.Commit, SentAt: m.SentAt})
}

func (c *Core) commitTo(index uint64) {
	if index > c.hard.Commit {
		c.hard.Commit = index
	}
}

func (c *Core) stepAppendReply(now time.Time, m Message) {
	p := c.peers[m.From]
	if c.role != leader || m.Term != c.hard.Term || p == nil {
		return
	}
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	p.paused = false
	if m.Reject {
		// A late rejection must not lower next below the known match.
		p.setNext(max(p.match+1, min(p.next-1, m.Index+1)))
		c.sendAppend(now, m.From, true)
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if c.transferTo == m.From {
		c.sendTimeoutNow()
	}
	if p.next <= c.log.last() {
		c.sendAppend(now, m.From, false)
	}
}

// advanceCommit commits the entries that a quorum has saved, if the last of
// them is of the current term.
func (c *Core) advanceCommit() {
	index := agreed(c, func(name string) uint64 {
		if name == c.name {
			return c.savedIndex
		}
		if p := c.peers[name]; p != nil {
			return p.match
		}
		return 0
	})
	if term, ok := c.log.term(index); ok && term == c.hard.Term {
		c.commitTo(index)
	}
}

func (c *Core) sendAppend(now time.Time, to string, heartbeat bool) {
	p := c.peers[to]
	if p == nil || (p.paused && !heartbeat) {
		return
	}
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(now, to, p)
		return
	}
	window := min(maxAppendBytes, maxInflightBytes-c.inflightBytes(p))
	if c.needsSnapshot(to) {
		if !heartbeat {
			return
		}
		window = 0
	}
	m := Message{
		Type:    MessageAppend,
		To:      to,
		Term:    c.hard.Term,
		Index:   prev,
		LogTerm: prevTerm,
		Entries: c.log.sliceBytes(prev, c.log.last(), maxAppendEntries, window),
		Commit:  c.hard.Commit,
		SentAt:  c.sinceEpoch(now),
	}
	if len(m.Entries) > 0 {
		// Pipelining: the next message starts after these entries. A lost message
		// is detected by a rejection, or at the next heartbeat.
		p.next += uint64(len(m.Entries))
		p.paused = p.next-p.match > maxInflightEntries || c.inflightBytes(p) >= maxInflightBytes
	}
	c.send(m)
}

// needsSnapshot reports whether a learner would get too much of the log. The next snapshot of this replica truncates the
// log, so that the learner gets that.
func (c *Core) needsSnapshot(to string) bool {
	p := c.peers[to]
	if c.members.IsVoter(to) || p.next > c.log.last() {
		return false
	}
	limit := maxReplayBytes
	if c.snapshot != nil {
		limit = max(limit, replayFactor*len(c.snapshot.Data))
	}
	return entryBytes(c.log.slice(max(p.next-1, c.log.base), c.log.last(), len(c.log.entries))) > limit
}

// awaitsSnapshot reports whether a learner of this leader needs a snapshot.
func (c *Core) awaitsSnapshot() bool {
	return c.role == leader && slices.ContainsFunc(c.peerNames(), c.needsSnapshot)
}

// inflightBytes returns the size of the entries that were sent to a member without an
// acknowledgement.
func (c *Core) inflightBytes(p *progress) int {
	return entryBytes(c.log.slice(max(p.match, p.resetTo), p.next-1, maxInflightEntries))
}

// setNext sets the next entry to be sent, since the ones before it are known, or lost.
func (p *progress) setNext(next uint64) {
	p.next = next
	p.resetTo = next - 1
}

func (c *Core) sendSnapshot(now time.Time, to string, p *progress) {
	if c.snapshot == nil || now.Sub(p.snapshotSentAt) < ElectionTimeout+c.snapshot.transferTimeout() {
		return
	}
	p.snapshotSentAt = now
	p.setNext(c.snapshot.Index + 1)
	c.send(Message{Type: MessageSnapshot, To: to, Term: c.hard.Term, Snapshot: c.snapshot, SentAt: c.sinceEpoch(now)})
}
