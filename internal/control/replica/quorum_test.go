package replica

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxTestVoters bounds the voters of the lists that are tried.
const maxTestVoters = 6

// votersOf returns the voters of a set of indexes.
func votersOf(set uint) Members {
	members := Members{}
	for i := range maxTestVoters + 1 {
		if set&(1<<i) != 0 {
			name := fmt.Sprint(i)
			members = members.With(Member{Name: name, Addr: name, Folder: "folder-" + name, Voter: true})
		}
	}
	return members
}

// decides reports whether a set of voters is a quorum for a replica.
func decides(c *Core, set uint) bool {
	return agreed(c, func(name string) int {
		var i int
		_, _ = fmt.Sscan(name, &i)
		return int(set >> i & 1)
	}) == 1
}

// newVoterCore returns a replica that knows two successive lists, the newest one committed or not, and lost disks.
func newVoterCore(before, members, lost uint, committed bool, losses int) *Core {
	c := NewCore(CoreConfig{Members: votersOf(members), Losses: losses})
	c.before, c.membersIndex = votersOf(before), 1
	if committed {
		c.hard.Commit = 1
	}
	for _, m := range votersOf(lost).List {
		c.MarkLost(m.Folder)
	}
	return c
}

// Guards against changes that are acknowledged although they are on no more disks than may be lost.
func TestQuorumAfterALossOutnumbersTheLosses(t *testing.T) {
	for voters := 1; voters <= maxTestVoters; voters++ {
		for losses := 1; losses < 4; losses++ {
			c := &Core{losses: losses}
			m := votersOf(uint(1)<<voters - 1)
			require.GreaterOrEqual(t, c.quorumAfterLoss(m), min(m.Quorum(), losses+1), "%d voters, %d losses", voters, losses)
		}
	}
}

// Guards against two quorums without a common voter: what one has decided before disks were lost, the other must know of,
// although it doesn't know the list of members that the first one goes by.
func TestQuorumsOverlapInWhatIsLeft(t *testing.T) {
	for voters := 1; voters <= maxTestVoters; voters++ {
		old := uint(1)<<voters - 1
		lists := []uint{old, old | 1<<voters}
		if voters > 1 {
			lists = append(lists, old&^1)
		}
		for losses := range 3 {
			for lost := range old + 1 {
				if bits.OnesCount(lost) > losses {
					continue
				}
				behind := newVoterCore(old, old, lost, true, losses)
				for _, newest := range lists {
					for _, known := range []uint{0, lost} {
						ahead := newVoterCore(old, newest, known, newest == old, losses)
						for first := range uint(1) << (voters + 1) {
							if !decides(ahead, first) {
								continue
							}
							// The largest set without a voter of the first one that is left.
							others := old &^ lost &^ first
							require.False(t, decides(behind, others), "%d voters, %d losses, %b lost: %b decides for list %b, then %b", voters, losses, lost, first, newest, others)
						}
					}
				}
			}
		}
	}
}

// The same for two replicas of which the first doesn't know whether the newest list is committed, and the second may know it.
func TestQuorumsOfTheNewestListOverlapInWhatIsLeft(t *testing.T) {
	for voters := 1; voters <= maxTestVoters; voters++ {
		old := uint(1)<<voters - 1
		lists := []uint{old | 1<<voters}
		if voters > 1 {
			lists = append(lists, old&^1)
		}
		for losses := range 3 {
			for lost := range old<<1 | 1 + 1 {
				if bits.OnesCount(lost) > losses {
					continue
				}
				for _, newest := range lists {
					for _, known := range []uint{0, lost} {
						first := newVoterCore(old, newest, known, false, losses)
						for _, committed := range []bool{false, true} {
							second := newVoterCore(old, newest, lost, committed, losses)
							for set := range uint(1) << (voters + 1) {
								others := (old | newest) &^ lost &^ set
								if decides(first, set) {
									require.False(t, decides(second, others), "%d voters, %d losses, %b lost: %b decides for list %b, then %b", voters, losses, lost, set, newest, others)
								}
								if decides(second, set) {
									require.False(t, decides(first, others), "%d voters, %d losses, %b lost: %b decides for list %b, then %b, which doesn't know it is committed", voters, losses, lost, set, newest, others)
								}
							}
						}
					}
				}
			}
		}
	}
}
