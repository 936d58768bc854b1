package replica

// Tail is where the log on a replica's disk ends.
type Tail struct {
	// Term is the term of the replica. It hasn't voted in a later one.
	Term uint64
	// Index and LogTerm are those of the last entry.
	Index, LogTerm uint64
}

// Tail returns where the log on the disk ends.
func (c *Core) Tail() Tail {
	term, _ := c.log.term(c.savedIndex)
	return Tail{Term: c.hard.Term, Index: c.savedIndex, LogTerm: term}
}

// CommitFromDisks commits the whole log if it is certain that a quorum has saved it in the present term, and reports
// whether it is. Later leaders need a vote of that quorum, so all of them have these entries, and nothing was
// acknowledged that isn't among them. tails are those of other voters, by name.
//
// After a restart of all replicas this tells what was committed before there is a leader.
func (c *Core) CommitFromDisks(tails map[string]Tail) bool {
	own := c.Tail()
	if c.role == leader || own.LogTerm != own.Term || own.Index != c.log.last() {
		return false
	}
	same := agreed(c, func(name string) int {
		if name == c.name || tails[name] == own {
			return 1
		}
		return 0
	})
	if same == 0 {
		return false
	}
	c.commitTo(own.Index)
	return true
}
