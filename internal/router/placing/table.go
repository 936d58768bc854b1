package placing

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill"
)

// Limits are the bounds that the deployment sets. They are given to each
// decision, since they may change while the process runs.
type Limits struct {
	// RetryRatio and RetrySlack bound extra sends: ratio x requests + slack in
	// any window.
	RetryRatio float64
	RetrySlack float64
	// LoadMultiple bounds a server's load relative to the mean of its service.
	LoadMultiple float64
}

// Service is what placing needs to know of a service.
type Service struct {
	Name          string
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is set for model engines, which keep prompts.
	Engine bool
}

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
}

// Choice is the outcome of a decision, with what decided it.
type Choice struct {
	Server
	// Load is the number of requests there, as far as it is known here.
	Load int
	// Mean is the mean load of the servers that take work.
	Mean float64
	// Rank is the server's place in the order of preference.
	Rank int
	// ListAge is the age of the list of servers.
	ListAge time.Duration
	Cold    bool
	// KeptAt is the address of a server that keeps the prompt, where this one is
	// not believed to; it may be fetched from there.
	KeptAt string
}

// Config configures a Table.
type Config struct {
	// Entry is this process's name, unique among the entries.
	Entry string
	Zone  string
	Seed  uint64
}

// Table holds the servers as this entry knows them. Its methods may be called
// from several goroutines.
type Table struct {
	cfg     Config
	mu      sync.Mutex
	random  *rand.Rand
	servers map[string]*record
	listAt  time.Time
	limits  Limits
	entries []string
	budgets map[string]*RetryBudget
	// means holds the mean latency of each route, in seconds.
	means map[string]float64
	peers map[string]peerView
	// peersChanged is set when the neighbours' views must be added up anew.
	peersChanged bool
	// sumsUntil is when the oldest of these views expires.
	sumsUntil time.Time
	homes     *Homes
	suspects  *Suspects
}

// peerView is what one neighbour has told last.
type peerView struct {
	// at is when the loads came.
	at    time.Time
	loads map[ServerKey]uint16
	seen  map[ServerKey]Observation
}

// peerTimeout is the age after which a neighbour's observations don't count: it
// has stopped, or is cut off.
const peerTimeout = 2 * time.Second

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, 2)),
		servers: make(map[string]*record),
		budgets: make(map[string]*RetryBudget),
		means:   make(map[string]float64),
		peers:   make(map[string]peerView),
		homes:   NewHomes(),

		suspects: NewSuspects(),
		entries:  []string{cfg.Entry},
	}
}

// SetLimits takes the deployment's bounds.
func (t *Table) SetLimits(l Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
}

// SetEntries takes the names of all entries that may be at work, this one
// included, whether or not they can be reached now.
func (t *Table) SetEntries(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = names
}

// Change is a change of what the table believes of a server.
type Change struct {
	Server Server
	What   string
}

// SetList takes a list of all servers that was read at the given time.
func (t *Table) SetList(now, readAt time.Time, list []Server) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if readAt.Before(t.listAt) {
		return nil
	}
	first := t.listAt.IsZero()
	t.listAt = readAt
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		r, known := t.servers[s.ID]
		if known && s.Born > r.Born && r.Born > 0 || known && s.Addr != r.Addr {
			// Another process under the same ID knows nothing of before.
			known = false
		}
		if !known {
			r = &record{key: KeyOf(s.ID), proven: first || s.Cold == 0}
			t.servers[s.ID] = r
			changes = append(changes, Change{s, "listed"})
		}
		if s.Leaving != r.Leaving && known {
			changes = append(changes, Change{s, "leaving"})
		}
		leaving := known && r.Leaving
		r.Server = s
		// A server that leaves doesn't come back under its ID.
		r.Leaving = s.Leaving || leaving
		if s.Cold > 0 {
			r.coldUntil = latest(r.coldUntil, readAt.Add(s.Cold))
		}
	}
	for id, r := range t.servers {
		if !listed[id] && r.own == 0 {
			delete(t.servers, id)
			changes = append(changes, Change{r.Server, "unlisted"})
		} else if !listed[id] {
			r.Leaving = true
		}
	}
	return changes
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ListAge returns the age of the list, and false before the first one.
func (t *Table) ListAge(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.listAt), !t.listAt.IsZero()
}

// ListAt returns when the list was read.
func (t *Table) ListAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listAt
}

// SetZoneCold marks the servers of a zone as unproven: they come back together
// after the zone was out, and may be cold.
func (t *Table) SetZoneCold(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.servers {
		if r.Zone == zone {
			r.proven = false
		}
	}
}

// SetPeer takes a neighbour's observations, but for the loads.
func (t *Table) SetPeer(now time.Time, peer string, seen map[ServerKey]Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := t.peers[peer]
	view.at = now
	view.seen = seen
	t.peers[peer] = view
	t.peersChanged = true
}

// SetPeerLoads takes the requests that a neighbour has under way.
func (t *Table) SetPeerLoads(now time.Time, peer string, loads map[ServerKey]uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := t.peers[peer]
	view.at = now
	view.loads = loads
	t.peers[peer] = view
	t.peersChanged = true
}

// sumPeers adds up the neighbours' views, if one has changed.
func (t *Table) sumPeers(now time.Time) {
	if !t.peersChanged && now.Before(t.sumsUntil) {
		return
	}
	t.peersChanged = false
	t.sumsUntil = now.Add(peerTimeout)
	sums := make(map[ServerKey]Observation, len(t.servers))
	for name, view := range t.peers {
		if now.Sub(view.at) > peerTimeout {
			delete(t.peers, name)
			continue
		}
		if until := view.at.Add(peerTimeout); until.Before(t.sumsUntil) {
			t.sumsUntil = until
		}
		for key, n := range view.loads {
			s := sums[key]
			s.InFlight += int(n)
			sums[key] = s
		}
		for key, o := range view.seen {
			s := sums[key]
			s.Done += o.Done
			s.Failed += o.Failed
			s.Pace += o.Pace
			sums[key] = s
		}
	}
	for _, r := range t.servers {
		r.peers = sums[r.key]
	}
}

// Observations returns what this entry has seen, for its neighbours.
func (t *Table) Observations(now time.Time) map[ServerKey]Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[ServerKey]Observation, len(t.servers))
	for _, r := range t.servers {
		r.seen.advance(now)
		o := Observation{InFlight: r.own, Done: r.seen.done, Failed: r.seen.failed, Pace: r.seen.pace}
		if o.InFlight > 0 || o.Done+o.Failed > 0.05 {
			seen[r.key] = o
		}
	}
	return seen
}

// Pick chooses a server and counts the request as under way there. An error of
// kind no-server means that none may take the request now.
func (t *Table) Pick(now time.Time, q Query) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sumPeers(now)
	able := t.able(now, q)
	if len(able) == 0 {
		return Choice{}, bronzerill.Errorf(bronzerill.KindNoServer, "no server of %s takes work", q.Service.Name)
	}
	mean := meanLoad(able)
	if q.Service.Engine {
		t.orderByAffinity(now, able, q.Affinity, t.loadBound(mean, t.serviceMean(q.Service.Name)))
	} else {
		t.orderByWait(able)
	}
	for rank, r := range able {
		if !t.mayTake(now, r, q.Service) {
			continue
		}
		choice := Choice{Server: r.Server, Load: r.inFlight(), Mean: mean, Rank: rank, ListAge: now.Sub(t.listAt), Cold: r.isCold(now)}
		r.own++
		if q.Service.Engine && q.Affinity != 0 {
			choice.KeptAt = t.keptAt(now, q, r)
			t.homes.Place(now, Placement{q.Affinity, r.key})
		}
		return choice, nil
	}
	return Choice{}, bronzerill.Errorf(bronzerill.KindCold, "every server of %s that takes work is cold", q.Service.Name)
}

// keptAt returns the address of a sound server that keeps the prompt, if the
// chosen one doesn't. Servers that leave count: their prompts would be lost.
func (t *Table) keptAt(now time.Time, q Query, chosen *record) string {
	homes := t.homes.Get(now, q.Affinity)
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

// serviceMean returns the mean load of all servers of a service, also of those
// that take no work: the deployment's bound is relative to it.
func (t *Table) serviceMean(service string) float64 {
	sum, n := 0, 0
	for _, r := range t.servers {
		if r.Service == service {
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
	boundRound = 0.3
	// heardAtOnce is the number of routers of which one round tells enough.
	heardAtOnce = 10.0
)

// loadBound returns the load above which a server is passed over, between the
// mean of the servers that take work and the deployment's bound. Loads are known
// later the more routers there are, and the bound holds for what a server really
// carries, so it is drawn in by as much.
func (t *Table) loadBound(ableMean, serviceMean float64) float64 {
	multiple := t.limits.LoadMultiple
	if multiple == 0 {
		multiple = defaultMultiple
	}
	rounds := max(1, float64(len(t.entries))/heardAtOnce)
	use := boundUse / (1 + boundRound*(rounds-1))
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
func (t *Table) orderByAffinity(now time.Time, able []*record, affinity uint64, bound float64) {
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
	if t.isFlooded(now, affinity, len(homes), room) {
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

// isFlooded decides by lot whether a request for a prompt goes beyond the servers
// that keep it, since they have less room than all routers together are likely to
// send there before they hear of each other's requests.
func (t *Table) isFlooded(now time.Time, prompt uint64, homes int, room float64) bool {
	flow := t.homes.Count(now, prompt) * float64(len(t.entries)) * loadAge.Seconds()
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

// Outcome is how a request at a server ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeAnswered is a whole answer, whatever its status.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed is a lost, broken or failed answer.
	OutcomeFailed
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
	// OutcomeRefused means that the server was full or is another one.
	OutcomeRefused
	// OutcomeNone says nothing of the server: the caller left.
	OutcomeNone
)

// Backoff after failed connections.
const (
	firstDown = 300 * time.Millisecond
	maxDown   = 1500 * time.Millisecond
)

// Finish counts the end of a request that Pick counted. Latency is the time to
// the first event or the whole answer.
func (t *Table) Finish(now time.Time, c Choice, route string, outcome Outcome, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[c.ID]
	if !ok {
		return
	}
	r.own = max(0, r.own-1)
	switch outcome {
	case OutcomeAnswered:
		r.seen.add(now, false, t.pace(route, latency))
		r.refusals = 0
	case OutcomeFailed, OutcomeRefused:
		r.seen.add(now, true, 0)
	case OutcomeUnreachable:
		r.refusals++
		pause := min(maxDown, firstDown<<min(r.refusals-1, 4))
		r.downUntil = now.Add(pause)
		r.proven = false
		t.homes.Forget(r.key)
		t.suspects.Gone(now, r.ID)
	case OutcomeNone:
	}
}

// Hear takes the homes of prompts that a neighbour tells.
func (t *Table) Hear(now time.Time, told []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.homes.Hear(now, told)
}

// Tell returns homes of prompts for neighbours.
func (t *Table) Tell(now time.Time) []Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.homes.Tell(now)
}

// Lost notes that the connection to a server broke while it ran a request.
func (t *Table) Lost(now time.Time, print Fingerprint, c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.Lost(now, print, c.ID)
}

// IsQuarantined reports whether a request has crashed too many servers.
func (t *Table) IsQuarantined(now time.Time, print Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.IsQuarantined(now, print)
}

// HearSuspects takes a neighbour's counts of crashed servers.
func (t *Table) HearSuspects(now time.Time, peer string, told []Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.Hear(now, peer, told)
}

// TellSuspects returns this router's counts of crashed servers.
func (t *Table) TellSuspects(now time.Time) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Tell(now)
}

// Proven marks a server that has answered: after a failure to connect its cold
// start is counted from its first answer.
func (t *Table) Proven(now time.Time, c Choice, coldStart time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[c.ID]
	if !ok || r.proven {
		return
	}
	r.proven = true
	r.coldUntil = latest(r.coldUntil, now.Add(coldStart))
}

// SetLeaving marks a server that said itself that it leaves.
func (t *Table) SetLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.servers[id]; ok {
		r.Leaving = true
	}
}

// SetCold takes a server's own word on its cold start.
func (t *Table) SetCold(now time.Time, id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.servers[id]; ok {
		r.coldUntil = latest(r.coldUntil, now.Add(left))
	}
}

// meanWeight is the weight of one request in the mean latency of its route.
const meanWeight = 0.02

// pace returns the latency relative to the route's mean, and moves the mean on.
func (t *Table) pace(route string, latency time.Duration) float64 {
	seconds := latency.Seconds()
	mean, ok := t.means[route]
	if !ok {
		t.means[route] = seconds
		return 1
	}
	t.means[route] = mean + meanWeight*(min(seconds, paceBound*mean)-mean)
	return seconds / max(mean, 1e-4)
}

// Earn counts a caller's request for the retry budget of a service.
func (t *Table) Earn(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(service).Earn(t.limits.RetryRatio, t.limits.RetrySlack, len(t.entries))
}

// SpendRetry takes one extra send to a service, if the budget has room.
func (t *Table) SpendRetry(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(service).Spend(t.limits.RetrySlack, len(t.entries))
}

func (t *Table) budget(service string) *RetryBudget {
	b, ok := t.budgets[service]
	if !ok {
		b = &RetryBudget{}
		t.budgets[service] = b
	}
	return b
}
