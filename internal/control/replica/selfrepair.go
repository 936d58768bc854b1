package replica

import "time"

// Bounds of self-repair.
const (
	// silenceTimeout is the silence after which a member counts as lost, and a
	// spare replaces it if it is a voter. It is longer than a restart, and short
	// enough for the replacement to become a voter within the required 4 s.
	silenceTimeout = 2500 * time.Millisecond
	// learnerSilence is the silence after which a learner is removed that has never voted. It costs little, and
	// over a link that loses packets it answers late.
	learnerSilence = 10 * time.Second
	// maxVoters is the number of voters at which the promotion of learners stops.
	maxVoters = 7
)

// withSelfRepair returns the next step of a self-repair: a learner that has
// caught up becomes a voter, and a spare replaces a voter that is lost.
func (c *Core) withSelfRepair(now time.Time) (Members, bool) {
	for _, m := range c.members.List {
		if m.Voter || m.Replaces != "" || c.folderOf(m) == "" || !c.caughtUp(m.Name) || c.isSilent(now, m.Name, briefSilence) || c.isLeaving(now, m.Name) {
			continue
		}
		if lost := c.lostVoter(now); lost != "" && m.Spare {
			m.Replaces = lost
			m.Spare = false
			return c.members.With(m), true
		}
		if c.members.Voters() < maxVoters {
			m.Voter = true
			m.Folder = c.folderOf(m)
			return c.members.With(m), true
		}
	}
	return c.withLostVoterReplaced(now)
}

// withLostVoterReplaced lets a spare voter replace a lost one, or else removes a silent learner.
func (c *Core) withLostVoterReplaced(now time.Time) (Members, bool) {
	lost := c.lostVoter(now)
	if lost != "" && c.maySpareVoter() {
		for _, m := range c.members.List {
			if m.Voter && m.Spare && m.Name != lost && !c.isSilent(now, m.Name, silenceTimeout) {
				m.Spare = false
				m.Replaces = lost
				return c.members.With(m), true
			}
		}
	}
	return c.withoutSilentLearner(now)
}

// withoutSilentLearner removes a learner that has been silent for too long.
func (c *Core) withoutSilentLearner(now time.Time) (Members, bool) {
	for _, m := range c.members.List {
		timeout := learnerSilence
		if m.Folder != "" {
			// It was a voter, and asks to join when it is back.
			timeout = silenceTimeout
		}
		if !m.Voter && c.isSilent(now, m.Name, timeout) {
			return c.members.Without(m.Name), true
		}
	}
	return Members{}, false
}

// lostVoter returns the voter that has been silent for the longest time, or an
// empty string if none is lost.
func (c *Core) lostVoter(now time.Time) string { return c.mostSilentVoter(now, silenceTimeout) }

// mostSilentVoter returns a voter that asked to leave, or else the one that has been silent for the longest
// time, if that is longer than the timeout. It returns an empty string if there is none.
func (c *Core) mostSilentVoter(now time.Time, timeout time.Duration) string {
	most := ""
	for _, m := range c.members.List {
		switch {
		case !m.Voter || m.Name == c.name:
		case c.isLeaving(now, m.Name):
			return m.Name
		case c.isSilent(now, m.Name, timeout) && (most == "" || c.peers[m.Name].ackedSentAt < c.peers[most].ackedSentAt):
			most = m.Name
		}
	}
	return most
}

// isSilent reports whether a member other than the leader has answered nothing for longer than the timeout.
func (c *Core) isSilent(now time.Time, name string, timeout time.Duration) bool {
	p := c.peers[name]
	return p != nil && c.sinceEpoch(now)-max(p.ackedSentAt, p.trackedSince) > timeout
}

// WithJoined returns the list with a replica that asks to join, or with its new
// address if it is already a member. changed is false if the list stays the
// same. A member at the same address under another name has lost its disk, and
// the replica replaces it.
func (m Members) WithJoined(name, addr string, spare bool) (next Members, changed bool) {
	if known, ok := m.Get(name); ok {
		if known.Addr == addr {
			return m, false
		}
		known.Addr = addr
		return m.With(known), true
	}
	joined := Member{Name: name, Addr: addr, Spare: spare}
	for _, other := range m.List {
		if other.Addr != addr {
			continue
		}
		if !other.Voter {
			m = m.Without(other.Name)
			continue
		}
		joined.Replaces = other.Name
		joined.Spare = other.Spare
	}
	return m.With(joined), true
}
