package replica

// Ready returns the pending work. The driver must save it and then call
// Persisted.
func (c *Core) Ready() Ready {
	r := Ready{Messages: c.messages, Snapshot: c.receivedSnapshot}
	c.messages = nil
	c.receivedSnapshot = nil
	// A new commit index alone needs no sync: a restarted replica receives it
	// again from the leader.
	// That of a member list is an exception: until it is known, elections need the list before as well.
	membersCommitted := c.isMembersCommitted() && c.savedHard.Commit < c.membersIndex
	hardChanged := c.hard.Term != c.savedHard.Term || c.hard.Vote != c.savedHard.Vote || membersCommitted
	if hardChanged || c.log.unsaved > 0 {
		hard := c.hard
		r.HardState = &hard
		c.savedHard = hard
	}
	if c.log.unsaved > 0 {
		r.Entries = c.log.slice(c.log.unsaved-1, c.log.last(), len(c.log.entries))
		c.log.unsaved = 0
	}
	// Entries are returned for application only after this replica has saved
	// them, in an earlier Ready.
	upTo := min(c.hard.Commit, c.savedIndex)
	if upTo > c.applied {
		r.Committed = c.log.slice(c.applied, upTo, maxAppendEntries)
		c.applied += uint64(len(r.Committed))
	}
	return r
}

// Persisted records that the state in r has been synced to disk.
func (c *Core) Persisted(r Ready) {
	if n := len(r.Entries); n > 0 {
		last := r.Entries[n-1]
		if term, ok := c.log.term(last.Index); ok && term == last.Term {
			c.savedIndex = last.Index
		}
	}
	if r.Snapshot != nil {
		c.savedIndex = max(c.savedIndex, r.Snapshot.Index)
	}
	if c.role == leader {
		c.advanceCommit()
	}
}

// Compact truncates the log at a snapshot that the driver has saved.
func (c *Core) Compact(s Snapshot) {
	c.baseMembers = s.Members
	c.snapshot = &s
	c.log.compact(s.Index)
}

// MembersAt returns the member list in force at an applied index.
func (c *Core) MembersAt(index uint64) Members {
	members := c.baseMembers
	for _, e := range c.log.entries {
		if e.Index > index {
			break
		}
		if e.Type == EntryMembers {
			if m, err := decodeMembers(e.Data); err == nil {
				members = m
			}
		}
	}
	return members
}
