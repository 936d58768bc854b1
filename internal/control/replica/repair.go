package replica

import "time"

// advanceMembers proposes the next membership change that the group needs,
// unless a change is in progress.
func (c *Core) advanceMembers(now time.Time) {
	if c.membersIndex > c.hard.Commit {
		return
	}
	next, ok := c.withFolders()
	if !ok && c.selfRepair {
		next, ok = c.withFewerVoters(now)
	}
	if !ok {
		next, ok = c.withRepair()
	}
	if !ok && c.selfRepair {
		next, ok = c.withSelfRepair(now)
	}
	if ok {
		// An error means that a change is in progress. The next heartbeat tries
		// again.
		_ = c.ProposeMembers(now, next)
	}
}

// withFolders returns the list with the data folder of every voter, once each
// voter has sent a message.
func (c *Core) withFolders() (Members, bool) {
	if c.members.FoldersKnown() {
		return Members{}, false
	}
	next := c.members
	for _, m := range c.members.List {
		if !m.Voter || m.Folder != "" {
			continue
		}
		m.Folder = c.seenFolders[m.Name]
		if m.Folder == "" {
			return Members{}, false
		}
		next = next.With(m)
	}
	return next, true
}

// withRepair returns the next step of a replacement: a learner that has caught
// up becomes a voter, then the member that it replaces is removed.
func (c *Core) withRepair() (Members, bool) {
	for _, m := range c.members.List {
		if m.Replaces == "" {
			continue
		}
		_, lostIsMember := c.members.Get(m.Replaces)
		switch {
		case !m.Voter && c.caughtUp(m.Name) && c.folderOf(m) != "":
			m.Voter = true
			m.Folder = c.folderOf(m)
			return c.members.With(m), true
		case m.Voter && lostIsMember:
			return c.members.Without(m.Replaces), true
		case m.Voter:
			m.Replaces = ""
			return c.members.With(m), true
		}
	}
	return Members{}, false
}

// folderOf returns the data folder of a member, or an empty string if it isn't known.
func (c *Core) folderOf(m Member) string {
	if m.Folder != "" {
		return m.Folder
	}
	return c.seenFolders[m.Name]
}

func (c *Core) caughtUp(name string) bool {
	p := c.peers[name]
	return p != nil && p.match >= c.hard.Commit && c.hard.Commit >= c.noopIndex
}
