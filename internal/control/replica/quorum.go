package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// agreed returns the highest value that a quorum of the voters has reached, or the zero value. value returns what a voter
// has reached.
//
// While the newest member list isn't committed, a quorum of the list before is needed too if that one has smaller quorums
// once a disk is lost. Otherwise a quorum of voters that don't know the newest list might not overlap with one that does.
// With a quorum of the list before, the newest one has smaller quorums as well.
func agreed[T cmp.Ordered](c *Core, value func(name string) T) T {
	committed := c.areVotersCommitted()
	reached := agreedBy(c, c.members, committed, value)
	if committed {
		return reached
	}
	both := min(agreedBy(c, c.members, true, value), agreedBy(c, c.before, true, value))
	if c.needsListBefore() {
		return both
	}
	return max(reached, both)
}

// agreedBy is agreed for one member list.
func agreedBy[T cmp.Ordered](c *Core, m Members, committed bool, value func(name string) T) T {
	var none T
	var values []T
	for _, member := range m.List {
		if member.Voter && !c.isLost(member) {
			values = append(values, value(member.Name))
		}
	}
	needed := m.Quorum()
	if lost := m.Voters() - len(values); lost > 0 && committed {
		needed = c.quorumAfterLoss(m)
	}
	if len(values) < needed {
		return none
	}
	slices.Sort(values)
	return values[len(values)-needed]
}

// isMembersCommitted reports whether the newest member list is committed.
func (c *Core) isMembersCommitted() bool { return c.membersIndex <= c.hard.Commit }

// areVotersCommitted reports whether the voters of the newest member list are those of a committed one. The list before
// the newest one is committed, since there is one change at a time.
func (c *Core) areVotersCommitted() bool {
	return c.isMembersCommitted() || slices.Equal(c.members.voters(), c.before.voters())
}

// isLost reports whether the disk of a member is known to be lost.
func (c *Core) isLost(m Member) bool { return m.Folder != "" && c.lostFolders[m.Folder] }

// MarkLost records that a data folder is lost: its machine has another one. The member with that folder never votes
// again, and has nothing of what it acknowledged. It returns false if that was known.
func (c *Core) MarkLost(folder string) bool {
	known := c.lostFolders[folder]
	c.lostFolders[folder] = true
	return !known
}

// Unheard returns the members whose disks may be lost for all that this replica knows: those that don't answer the leader,
// or while there is no leader, all others. It leaves out those whose folder isn't known.
func (c *Core) Unheard(now time.Time) []Member {
	if c.role != leader && c.leader != "" {
		return nil
	}
	unheard := make(map[string]Member)
	for _, m := range slices.Concat(c.before.List, c.members.List) {
		if m.Name != c.name && m.Folder != "" && (c.role != leader || c.isSilent(now, m.Name, briefSilence)) {
			unheard[m.Folder] = m
		}
	}
	return slices.Collect(maps.Values(unheard))
}

// quorumAfterLoss returns the number of voters needed among those that have kept their disks, once one or more are known
// to have lost them. Any such quorum overlaps with what each earlier one has left. Of an even number of voters it
// is one less than a majority, unless entries would be on too few disks.
func (c *Core) quorumAfterLoss(m Members) int {
	if c.losses == 0 {
		return m.Quorum()
	}
	return min(m.Quorum(), max(m.Voters()-m.Voters()/2, c.losses+1))
}

// voters returns the voters without what doesn't matter for quorums, in the order of their names.
func (m Members) voters() []Member {
	var voters []Member
	for _, member := range m.List {
		if member.Voter {
			voters = append(voters, Member{Name: member.Name, Folder: member.Folder})
		}
	}
	slices.SortFunc(voters, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return voters
}

// needsListBefore reports whether decisions need a quorum of the member list before the newest one, too.
func (c *Core) needsListBefore() bool {
	return !c.areVotersCommitted() && c.before.FoldersKnown() && c.quorumAfterLoss(c.before) < c.before.Quorum()
}

// electorate returns the names of the voters whose votes may be needed.
func (c *Core) electorate() []string {
	names := c.members.names(true)
	if c.areVotersCommitted() {
		return names
	}
	for _, name := range c.before.names(true) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
