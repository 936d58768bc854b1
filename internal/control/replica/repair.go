package replica

import "time"

// advanceMembers proposes the next step that the list of replicas needs, if no
// other step is under way.
func (c *Core) advanceMembers(now time.Time) {
	if c.membersIndex > c.hard.Commit {
		return
	}
	next, ok := c.withFolders()
	if !ok {
		next, ok = c.withRepair()
	}
	if !ok && c.selfRepair {
		next, ok = c.withSelfRepair(now)
	}
	if ok {
		// An error means that a step is under way; the next heartbeat tries again.
		_ = c.ProposeMembers(now, next)
	}
}

// withFolders fills in the folders once every voter has been heard.
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

// withRepair moves a replacement on by one step: a learner that has caught up
// becomes a voter, then the member that it replaces leaves.
func (c *Core) withRepair() (Members, bool) {
	for _, m := range c.members.List {
		if m.Replaces == "" {
			continue
		}
		_, lostIsMember := c.members.Get(m.Replaces)
		switch {
		case !m.Voter && c.caughtUp(m.Name) && c.seenFolders[m.Name] != "":
			m.Voter = true
			m.Folder = c.seenFolders[m.Name]
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

func (c *Core) caughtUp(name string) bool {
	p := c.peers[name]
	return p != nil && p.match >= c.hard.Commit && c.hard.Commit >= c.noopIndex
}
