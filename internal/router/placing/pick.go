package placing

import (
	"math"
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
	// Limit the wait that it would have been given.
	RetryAfter, Limit time.Duration
	// begun is set once the request has an answer, or the first event of it.
	begun bool
	// Keepers is the number of servers that take work and are believed to keep the
	// prompt.
	Keepers int
	// Warm is set where the server is believed to keep the prompt, and at servers
	// that keep none.
	Warm bool
	// KeptAt is the address of a server that keeps the prompt, where this one is
	// not believed to; it may be fetched from there.
	KeptAt string
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
		bound = t.loadBound(mean, t.serviceMean(q.Service.Name), flow)
		t.orderByAffinity(now, able, q.Affinity, bound, flow)
	} else {
		t.orderByWait(able)
	}
	crowd := t.newCrowd(now, q)
	for rank, r := range able {
		if !crowd.hasRoom(now, r) || !t.mayTake(now, r, q.Service) {
			continue
		}
		choice := Choice{
			Server: r.Server, Load: r.inFlight(), Mean: mean, Bound: bound, Rank: rank, ListAge: now.Sub(t.listAt), Cold: r.isCold(now),
			Warm: !q.Service.Engine || q.Affinity == 0, SentAt: now, Queue: r.queue(), Wait: crowd.service.Wait(now, r.queue()),
		}
		r.own++
		r.waiting++
		crowd.service.Send(now)
		if q.Service.Engine && q.Affinity != 0 {
			homes := t.homes.Get(now, q.Affinity)
			choice.Keepers = countKeepers(able, homes)
			choice.Warm = slices.Contains(homes, r.key)
			choice.KeptAt = t.keptAt(now, homes, r)
			t.homes.Place(now, Placement{Prompt: q.Affinity, Server: r.key})
		}
		return choice, nil
	}
	if crowd.refused > 0 {
		return Choice{RetryAfter: queueing.RetryAfter(crowd.least, q.Request, t.random.Float64()), Wait: crowd.least, Limit: crowd.limit},
			bronzerill.Errorf(bronzerill.KindOverloaded, "the wait would be %v at the least, above %v", crowd.least, crowd.limit)
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

// Parameters of ejection.
const (
	// ejectWeight is the least weight of observations that can eject a server.
	ejectWeight = 4.0
	// ejectShare is the share of failures above that of the other servers.
	ejectShare = 0.2
)

// splitEjected parts the servers that fail far more often than the rest of
// their service. At least half of them stay.
func splitEjected(all []*record) (kept, ejected []*record) {
	for _, r := range all {
		share, weight := r.failureShare()
		if weight < ejectWeight {
			continue
		}
		done, failed := 0.0, 0.0
		for _, other := range all {
			if other != r {
				d, f, _ := other.observed()
				done += d
				failed += f
			}
		}
		if share > failed/max(1, done+failed)+ejectShare {
			ejected = append(ejected, r)
		}
	}
	sort.Slice(ejected, func(i, j int) bool {
		a, _ := ejected[i].failureShare()
		b, _ := ejected[j].failureShare()
		return a > b
	})
	ejected = ejected[:min(len(ejected), len(all)/2)]
	for _, r := range all {
		if !slices.Contains(ejected, r) {
			kept = append(kept, r)
		}
	}
	return kept, ejected
}

// meanLoad returns the mean load of servers that take work.
func meanLoad(able []*record) float64 {
	sum := 0
	for _, r := range able {
		sum += r.inFlight()
	}
	return float64(sum) / float64(len(able))
}

// serviceMean returns the mean load of all servers of a service that run, also of
// those that take no work: the deployment's bound is relative to it.
func (t *Table) serviceMean(service string) float64 {
	sum, n := 0, 0
	for _, r := range t.servers {
		if r.Service == service && r.refusals == 0 {
			sum += r.inFlight()
			n++
		}
	}
	return float64(sum) / float64(max(1, n))
}

// Parameters of the bound on a server's load relative to its service's mean.
const (
	// defaultMultiple stands where the deployment sets none.
	defaultMultiple = 2.0
	// minRoom above the mean keeps prompts where they are warm when a large part
	// of the servers takes no work.
	minRoom = 1.5
	// boundSlack lets servers take work while the mean is low.
	boundSlack = 3.0
	// boundUse is the part of the bound that is used while every router hears
	// every other one in each round of digests.
	boundUse = 0.95
	// boundRound is what each further round costs that it takes to hear all.
	boundRound = 0.1
	// boundRoundHot is the same for a prompt that can flood a server: routers that
	// don't know of each other's requests send them to the same ones.
	boundRoundHot = 0.3
	// heardAtOnce is the number of routers of which one round tells enough.
	heardAtOnce = 10.0
)

// loadBound returns the load above which a server is passed over, between the
// mean of the servers that take work and the deployment's bound. Loads are known
// later the more routers there are, and the bound holds for what a server really
// carries, so it is drawn in by as much.
func (t *Table) loadBound(ableMean, serviceMean, flow float64) float64 {
	multiple := t.limits.LoadMultiple
	if multiple == 0 {
		multiple = defaultMultiple
	}
	rounds := max(1, float64(len(t.entries))/heardAtOnce)
	perRound := boundRound
	if flow > floodLeast {
		perRound = boundRoundHot
	}
	use := boundUse / (1 + perRound*(rounds-1))
	room := multiple*serviceMean + boundSlack - ableMean
	return ableMean + use*max(minRoom, room)
}

// spillChoices is the number of servers among which a request may be moved by
// load. Every router sees the same stale loads, so the least loaded of all would
// be flooded; each prompt has other choices.
const spillChoices = 4

// orderByAffinity sorts servers: first those that keep the prompt, drawn by their
// room, then the others by rendezvous hash, so that all routers pick the
// same one. When the first few are above the load bound, others come by lot.
func (t *Table) orderByAffinity(now time.Time, able []*record, affinity uint64, bound, flow float64) {
	if affinity == 0 {
		t.orderByWait(able)
		return
	}
	homes := t.homes.Get(now, affinity)
	load := make(map[*record]float64, len(able))
	order := make(map[*record]float64, len(able))
	room := 0.0
	for _, r := range able {
		// A fast server may not carry more: the bound is on requests.
		load[r] = (float64(r.inFlight()+1) + r.unseen()) * max(1, r.paceRatio())
		order[r] = rendezvous(affinity, r.ID)
		if slices.Contains(homes, r.key) {
			order[r] = 1 + t.draw(bound-load[r])
			room += max(0, bound-load[r])
		}
	}
	sort.SliceStable(able, func(i, j int) bool { return order[able[i]] > order[able[j]] })
	few := min(spillChoices, len(able))
	if t.isFlooded(flow, len(homes), room) {
		few = 0
	}
	others := able[few:]
	t.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	// The place of a server: the few before the others, and within the bound
	// before above it, there by load.
	place := make(map[*record]float64, len(able))
	for i, r := range able {
		place[r] = float64(i) / float64(len(able))
		if i >= few {
			place[r]++
		}
		if load[r] > bound {
			place[r] = 2 + load[r]/(load[r]+bound)
		}
	}
	sort.SliceStable(able, func(i, j int) bool { return place[able[i]] < place[able[j]] })
}

// flow counts a request for a prompt and returns how many all routers together are
// likely to send before they hear of each other's.
func (t *Table) flow(now time.Time, prompt uint64) float64 {
	if prompt == 0 {
		return 0
	}
	return t.homes.Count(now, prompt) * float64(len(t.entries)) * loadAge.Seconds()
}

// isFlooded decides by lot whether a request for a prompt goes beyond the servers
// that keep it, since they have less room than all routers together are likely to
// send there before they hear of each other's requests.
func (t *Table) isFlooded(flow float64, homes int, room float64) bool {
	return homes > 0 && flow > floodLeast && t.random.Float64() > room/flow
}

// floodLeast is the number of requests between two digests below which a prompt
// can't flood a server.
const floodLeast = 3.0

// minDraw is the least weight of a server in a draw.
const minDraw = 0.05

// draw returns a number from 0 to 1; the highest of several wins with a
// probability that is proportional to its weight. Routers that see the same stale
// loads so spread over the servers that have room.
func (t *Table) draw(weight float64) float64 {
	return math.Pow(t.random.Float64(), 1/max(minDraw, weight))
}

// rendezvous returns a number above 0 that is uniform over pairs.
func rendezvous(key uint64, id string) float64 {
	h := xxhash.Sum64String(id) ^ key
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return float64(h>>11)/float64(1<<53) + math.SmallestNonzeroFloat64
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
	own := rendezvous(key, t.cfg.Entry)
	above := 0
	for _, name := range t.entries {
		if rendezvous(key, name) > own {
			above++
		}
	}
	return above < senders
}
