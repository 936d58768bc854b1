// Package agent sends requests from an entry to agents. It chooses the server for
// each request, retries on other servers, and resumes responses after a lost
// connection.
package agent

import (
	"time"

	"bronzerill"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/ring"
)

// maxChoicesPerHop bounds the ring choices that Plan examines per hop.
const maxChoicesPerHop = 8

// Plan holds the candidate servers of one round for a request, in order of
// preference.
type Plan struct {
	// Servers are distinct and, as far as the entry knows, accept new requests.
	Servers []control.Server
	// RetryAt is the earliest end of a skipped server's backoff. It is zero if no
	// server was skipped for its backoff.
	RetryAt time.Time
}

// Planner makes plans from one immutable view of the servers.
type Planner struct {
	Ring     *ring.Ring
	Config   *bronzerill.Config
	Backoffs *Backoffs
}

// Plan returns at most hops candidates for a key. The server named preferred comes
// first if it accepts requests; preferred may be empty.
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
	if !s.State.AcceptsRequests() || zone.Out {
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
