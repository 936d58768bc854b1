package replica

import (
	"time"

	"bronzerill"
)

// Bounds of the removal of voters.
const (
	// briefSilence is the silence of a running member that lost messages don't explain.
	briefSilence = 5 * HeartbeatInterval
	// surplusSilence is the silence after which a voter that the group can spare becomes a learner. It
	// becomes a voter again as soon as it answers.
	surplusSilence = ElectionTimeout
	// leaveTimeout is how long a request to leave holds. A member repeats it until it stops.
	leaveTimeout = time.Second
)

// Leave records that a member is about to stop. The group removes its vote once the other voters can
// spare it. It returns an error unless this replica leads.
func (c *Core) Leave(now time.Time, name string) error {
	if c.role != leader {
		return bronzerill.Errorf(bronzerill.KindNotLeader, "%s", c.leader)
	}
	c.leaving[name] = now.Add(leaveTimeout)
	return nil
}

func (c *Core) isLeaving(now time.Time, name string) bool {
	until, found := c.leaving[name]
	if found && !now.Before(until) {
		delete(c.leaving, name)
		return false
	}
	return found
}

// withFewerVoters removes the vote of a member that can't use it any more, or soon can't, while the others
// can spare it. Until then it counts for the quorum, so that the loss of one more member could stop
// the group for good.
func (c *Core) withFewerVoters(now time.Time) (Members, bool) {
	if gone := c.goneVoter(now); gone != "" {
		return c.members.Without(gone), true
	}
	if !c.maySpareVoter() {
		return Members{}, false
	}
	name := c.leavingVoter(now)
	if c.members.Voters()%2 == 0 {
		// Of an even number of voters, the others need one less without a silent one than with it.
		name = c.mostSilentVoter(now, surplusSilence)
	}
	if name == "" {
		return Members{}, false
	}
	m, _ := c.members.Get(name)
	m.Voter = false
	return c.members.With(m), true
}

// maySpareVoter reports whether the group with one voter less still bears the configured losses.
func (c *Core) maySpareVoter() bool { return c.members.Voters()-1 >= 2*c.losses+1 }

// leavingVoter returns a voter other than the leader that asked to leave, or an empty string.
func (c *Core) leavingVoter(now time.Time) string {
	for _, m := range c.members.List {
		if m.Voter && m.Name != c.name && c.isLeaving(now, m.Name) {
			return m.Name
		}
	}
	return ""
}

// goneVoter returns a voter whose disk is lost for certain, since another replica has joined at its address,
// or an empty string. Without it, a quorum must still outnumber the losses, because entries are only
// on the disks of a quorum.
func (c *Core) goneVoter(now time.Time) string {
	if c.members.Voters()-1 < max(1, 2*c.losses) {
		return ""
	}
	for _, m := range c.members.List {
		gone, found := c.members.Get(m.Replaces)
		// A request to join that was delayed may name the address of a replica that runs.
		if found && gone.Voter && gone.Addr == m.Addr && gone.Name != c.name && c.isSilent(now, gone.Name, briefSilence) {
			return gone.Name
		}
	}
	return ""
}
