package router

import (
	"slices"
	"time"

	"bronzerill/internal/control/replica"
	"bronzerill/internal/router/peer"
)

// foundingWait is how long the router that chooses the founders waits for the other seeds after its start. All
// instances are started within a few hundred milliseconds.
const foundingWait = time.Second

// founding is what a router knows of the founders of the control group. All founders get the same list, with
// their data folders, so that a majority of them is the group even if the others lose their disks at once.
//
// The seed with the lowest address chooses the founders. If it knows none and never will, since it has lost its
// disk or memory, the next seed does, once no seed knows any.
type founding struct {
	startedAt time.Time
	state     peer.BootstrapState
	founders  replica.Members
	// hasDisk is set if the router may be a founder itself.
	hasDisk bool
	// candidates are the replicas that have asked this router, by address.
	candidates map[string]peer.BootstrapRequest
}

func newFounding(now time.Time, hasDisk, first bool) founding {
	f := founding{startedAt: now, hasDisk: hasDisk, candidates: make(map[string]peer.BootstrapRequest)}
	if !hasDisk && !first {
		f.state = peer.BootstrapBlank
	}
	return f
}

// setEmpty records that the data folder is empty. Only at the first start of the fleet its replica may be a founder.
func (f *founding) setEmpty(first bool) {
	f.state = peer.BootstrapBlank
	if first {
		f.state = peer.BootstrapCandidate
	}
}

// setOpened records the founders for which the data folder was initialised, none if its replica joins a group.
func (f *founding) setOpened(founders replica.Members) {
	f.state, f.founders = peer.BootstrapBlank, founders
	if len(founders.List) > 0 {
		f.state = peer.BootstrapFounded
	}
}

// answer records a candidate and returns what is known of the founders.
func (f *founding) answer(now time.Time, self string, seeds []string, r peer.BootstrapRequest) peer.BootstrapReply {
	f.candidates[r.Addr] = r
	if !f.hasDisk && f.state == peer.BootstrapUnknown {
		f.answerWithoutDisk(now, self, seeds)
	}
	return peer.BootstrapReply{State: f.state, Founders: f.founders}
}

// answerWithoutDisk lets a router without a disk choose the founders if it is the lowest seed.
func (f *founding) answerWithoutDisk(now time.Time, self string, seeds []string) {
	if slices.Min(seeds) != self {
		f.state = peer.BootstrapBlank
		return
	}
	if founders, chosen := f.choose(now, nil, seeds, nil); chosen {
		f.state, f.founders = peer.BootstrapFounded, founders
	}
}

// choose returns the founders: own, which may be nil, and the seeds that are candidates, or else the first other
// candidate. It waits for the required ones, or if there are none, for all seeds until foundingWait.
func (f *founding) choose(now time.Time, own *peer.BootstrapRequest, seeds, required []string) (founders replica.Members, chosen bool) {
	if own != nil {
		f.candidates[own.Addr] = *own
	}
	isCandidate := func(addr string) bool { _, found := f.candidates[addr]; return found }
	switch {
	case required != nil && !containsAll(required, isCandidate):
		return founders, false
	case required == nil && !containsAll(seeds, isCandidate) && now.Sub(f.startedAt) < foundingWait:
		return founders, false
	}
	chosenAddrs := slices.DeleteFunc(slices.Sorted(slices.Values(seeds)), func(addr string) bool { return !isCandidate(addr) })
	if len(chosenAddrs) == 0 {
		for addr := range f.candidates {
			chosenAddrs = append(chosenAddrs, addr)
			break
		}
	}
	for _, addr := range chosenAddrs {
		c := f.candidates[addr]
		founders = founders.With(replica.Member{Name: c.Name, Addr: c.Addr, Folder: c.Folder, Voter: true})
	}
	return founders, len(founders.List) > 0
}

func containsAll(list []string, contains func(string) bool) bool {
	return !slices.ContainsFunc(list, func(item string) bool { return !contains(item) })
}

// foundersFor returns the founders for a candidate: the list if it is one of them, or an empty list if it joins.
func foundersFor(r peer.BootstrapRequest, founders replica.Members) replica.Members {
	if m, found := founders.Get(r.Name); found && m.Addr == r.Addr && m.Folder == r.Folder {
		return founders
	}
	return replica.Members{}
}
