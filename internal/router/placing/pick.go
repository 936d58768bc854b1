package placing

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill"
	"bronzerill/internal/router/queueing"
)

// Query describes a request that needs a server.
type Query struct {
	Service Service
	// Affinity is the hash of the prompt's deepest shared part, 0 for none.
	Affinity uint64
	// Excluded servers have been tried already.
	Excluded []string
	// MayRepeat is set for requests that can be given to a doubtful server.
	MayRepeat bool
	// ZoneOut reports whether a zone gets nothing.
	ZoneOut func(zone string) bool
	// Request is what decides whether the request is still taken when servers are
	// busy.
	Request queueing.Request
}

// Choice is the outcome of a decision, with what decided it.
type Choice struct {
	Server
	// Load is the number of requests there, as far as it is known here.
	Load int
	// Mean is the mean load of the servers that take work, and Bound the load above
	// which others are preferred.
	Mean, Bound float64
	// Rank is the server's place in the order of preference.
	Rank int
	// ListAge is the age of the list of servers.
	ListAge time.Duration
	Cold    bool
	// SentAt is when the server was chosen, Queue the number of requests that
	// waited there for an answer, and Wait how long the request is likely to wait.
	SentAt time.Time
	Queue  float64
	Wait   time.Duration
	// RetryAfter is when a refused caller may come back, 0 where no time is known, and
	// WaitLimit the wait that it would have been given.
	RetryAfter, WaitLimit time.Duration
	// begun is set once the request has an answer, or the first event of it.
	begun bool
	// CacheLocations is the number of servers that take work and are believed to keep the
	// prompt.
	CacheLocations int
	// Warm is set where the server is believed to keep the prompt, and at servers
	// that keep none.
	Warm bool
	// FetchFrom is the address of a server that keeps the prompt, where this one is
	// not believed to; it may be fetched from there.
	FetchFrom string
}

// Pick chooses a server and counts the request as under way there. An error of
// kind no-server means that none may take the request now, and one of kind
// overloaded that the wait would be too long at each; the choice then says when to
// come back.
func (t *Table) Pick(now time.Time, q Query) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sumPeers(now)
	able := t.able(now, q)
	if len(able) == 0 {
		return Choice{}, bronzerill.Errorf(bronzerill.KindNoServer, "no server of %s takes work", q.Service.Name)
	}
	mean, bound := meanLoad(able), 0.0
	if q.Service.Engine {
		flow := t.flow(now, q.Affinity)
		bound = t.loadBound(mean, t.serviceMean(now, q.Service.Name), flow)
		t.orderByAffinity(now, able, q.Affinity, bound, flow)
	} else {
		t.orderByWait(able)
	}
	room := t.newAdmission(now, q)
	for rank, r := range able {
		if !room.hasRoom(now, r) || !t.mayTake(now, r, q.Service) {
			continue
		}
		choice := Choice{
			Server: r.Server, Load: r.inFlight(), Mean: mean, Bound: bound, Rank: rank, ListAge: now.Sub(t.listAt), Cold: r.isCold(now),
			Warm: !q.Service.Engine || q.Affinity == 0, SentAt: now, Queue: r.queue(), Wait: room.service.Wait(now, r.queue()),
		}
		r.own++
		r.waiting++
		room.service.Send(now)
		if q.Service.Engine && q.Affinity != 0 {
			homes := t.homes.Get(now, q.Affinity)
			choice.CacheLocations = countKeepers(able, homes)
			choice.Warm = slices.Contains(homes, r.key)
			choice.FetchFrom = t.keptAt(now, homes, r)
			t.homes.Add(now, CacheLocation{Prompt: q.Affinity, Server: r.key})
		}
		return choice, nil
	}
	if room.refused > 0 {
		return Choice{RetryAfter: queueing.RetryAfter(room.least, q.Request, t.random.Float64()), Wait: room.least, WaitLimit: room.limit},
			bronzerill.Errorf(bronzerill.KindOverloaded, "the wait would be %v at the least, above %v", room.least, room.limit)
	}
	return Choice{}, bronzerill.Errorf(bronzerill.KindCold, "every server of %s that takes work is cold", q.Service.Name)
}

func countKeepers(able []*record, homes []ServerKey) int {
	n := 0
	for _, r := range able {
		if slices.Contains(homes, r.key) {
			n++
		}
	}
	return n
}

// keptAt returns the address of a sound server that keeps the prompt, if the
// chosen one doesn't. Servers that leave count: their prompts would be lost.
func (t *Table) keptAt(now time.Time, homes []ServerKey, chosen *record) string {
	if slices.Contains(homes, chosen.key) {
		return ""
	}
	best := (*record)(nil)
	for _, r := range t.servers {
		if r.Service != chosen.Service || !r.proven || now.Before(r.downUntil) || !slices.Contains(homes, r.key) {
			continue
		}
		if best == nil || r.Zone == chosen.Zone && best.Zone != chosen.Zone || r.Zone == best.Zone && r.inFlight() < best.inFlight() {
			best = r
		}
	}
	if best == nil {
		return ""
	}
	return best.Addr
}

// able returns the servers that may take a request, but for their cold start.
func (t *Table) able(now time.Time, q Query) []*record {
	var able, down, ejected []*record
	for _, r := range t.servers {
		r.seen.advance(now)
		if r.Service != q.Service.Name || r.Leaving || q.ZoneOut(r.Zone) || slices.Contains(q.Excluded, r.ID) {
			continue
		}
		if now.Before(r.downUntil) {
			down = append(down, r)
			continue
		}
		able = append(able, r)
	}
	able, ejected = splitEjected(able)
	if len(able) == 0 {
		able = ejected
	}
	if len(able) == 0 && q.MayRepeat {
		able = down
	}
	// The map's order is random; a decision shouldn't be.
	sort.Slice(able, func(i, j int) bool { return able[i].ID < able[j].ID })
	return able
}

// orderByWait sorts servers by the wait that a request meets there. Entries see
// the same digests, so near equals are told apart by lot.
func (t *Table) orderByWait(able []*record) {
	wait := make(map[*record]float64, len(able))
	for _, r := range able {
		slots := float64(max(1, r.Slots))
		jitter := 1 + 0.2*t.random.Float64()
		wait[r] = r.paceRatio() * (1 + 2*float64(r.inFlight())/slots) * jitter
		if r.Zone != t.cfg.Zone {
			wait[r] *= zonePenalty
		}
	}
	sort.SliceStable(able, func(i, j int) bool { return wait[able[i]] < wait[able[j]] })
}

// zonePenalty prefers the entry's own zone among near equals.
const zonePenalty = 1.1

// mayTake applies the cold start of a server.
func (t *Table) mayTake(now time.Time, r *record, s Service) bool {
	if s.ColdPerSecond <= 0 || !r.isCold(now) {
		return true
	}
	senders, perSecond := coldShare(s.ColdPerSecond, len(t.entries))
	if !t.isSender(r.ID, senders) {
		return false
	}
	return r.cold.take(now, perSecond, 1)
}

// isSender reports whether this entry is among those that may send to a cold
// server, by rendezvous hash over all entries.
func (t *Table) isSender(id string, senders int) bool {
	if senders >= len(t.entries) {
		return true
	}
	key := xxhash.Sum64String(id)
	own := rendezvous(key, t.cfg.Name)
	above := 0
	for _, name := range t.entries {
		if rendezvous(key, name) > own {
			above++
		}
	}
	return above < senders
}
