// Package agent speaks to agents from an entry: it chooses the server for a
// request, opens exchanges and keeps answers whole.
package agent

import (
	"time"

	"bronzerill"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/ring"
)

// maxChoicesPerHop bounds how far down the order of choices one round looks.
const maxChoicesPerHop = 8

// Plan is one round of candidates for a request: at most hops servers, the
// first choice first.
type Plan struct {
	// Servers are distinct, and may take new work as far as the entry knows.
	Servers []control.Server
	// RetryAt is when the first server that was left out for its backoff may be
	// asked again; zero when there was none.
	RetryAt time.Time
}

// Planner makes plans over one immutable view of the servers.
type Planner struct {
	Ring     *ring.Ring
	Config   *bronzerill.Config
	Backoffs *Backoffs
}

// Plan returns the candidates for a key. preferred names a server that is asked
// first if it may take work; it may be empty.
func (p Planner) Plan(now time.Time, key uint64, preferred string, hops int) Plan {
	var plan Plan
	if p.Ring.Len() == 0 {
		return plan
	}
	if index, ok := p.Ring.Find(preferred); ok {
		p.addCandidate(now, &plan, p.Ring.Server(index))
	}
	hops = min(hops, p.Ring.Len())
	for nth := 0; nth < hops*maxChoicesPerHop && len(plan.Servers) < hops; nth++ {
		p.addCandidate(now, &plan, p.Ring.Server(p.Ring.Choose(key, nth)))
	}
	return plan
}

func (p Planner) addCandidate(now time.Time, plan *Plan, s control.Server) {
	zone, _ := p.Config.Zone(s.Zone)
	if !s.State.TakesWork() || zone.Out {
		return
	}
	for _, chosen := range plan.Servers {
		if chosen.Name == s.Name {
			return
		}
	}
	if until := p.Backoffs.Until(s.Name); now.Before(until) {
		if plan.RetryAt.IsZero() || until.Before(plan.RetryAt) {
			plan.RetryAt = until
		}
		return
	}
	plan.Servers = append(plan.Servers, s)
}
