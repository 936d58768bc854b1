package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"bronzerill/internal/router/queueing"
)

// Limits are the configured bounds. Each decision reads them anew, because they can
// change while the process runs.
type Limits struct {
	// RetryRatio and RetrySlack limit the extra sends in any window to RetryRatio x
	// requests + RetrySlack.
	RetryRatio float64
	RetrySlack float64
	// LoadMultiple limits the load of a server relative to the mean of its service.
	LoadMultiple float64
}

// Service holds the properties of a service that affect the choice of a server.
type Service struct {
	Name          string
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is set for model engines, which cache prompts.
	Engine bool
}

// Config configures a Table.
type Config struct {
	// Name is the name of this router, unique among the routers.
	Name string
	Zone string
	Seed uint64
}

// Table holds the servers known to this router. It is safe for concurrent use.
type Table struct {
	cfg     Config
	mu      sync.Mutex
	random  *rand.Rand
	servers map[string]*record
	listAt  time.Time
	limits  Limits
	routers []string
	// routerCount is the number of routers that may be running. It exceeds the length of
	// routers while this router knows only some of them.
	routerCount int
	budgets     map[string]*RetryBudget
	// meanLatencies holds the mean latency of each route, in seconds.
	meanLatencies map[string]float64
	peers         map[string]peerReport
	// peersChanged is set when the peers' reports must be summed again.
	peersChanged bool
	// sumsExpireAt is when the oldest of these reports expires.
	sumsExpireAt time.Time
	// oldestReportAt is when the oldest of the summed reports arrived, zero without any.
	oldestReportAt time.Time
	locations      *PrefixDirectory
	suspects       *Suspects
	// trialAt is when this router last sent a request on probation.
	trialAt time.Time
	// queues holds the wait estimates of each service.
	queues map[string]*queueing.ServiceQueue
	// demands counts this router's requests for each service.
	demands map[string]*demand
	// versions holds one version of the servers of each service in the last list, and
	// mixedAt when servers of several versions were last seen.
	versions map[ServiceKey]VersionKey
	mixedAt  map[ServiceKey]time.Time
}

// peerReport is the latest report of a peer.
type peerReport struct {
	// receivedAt is when the report arrived.
	receivedAt   time.Time
	loads        map[ServerKey]RouterLoad
	observations map[ServerKey]Observation
	// backoffs holds the ends of the pauses that servers asked the peer for.
	backoffs map[ServerKey]time.Time
}

// peerTimeout is the age at which a peer's report expires, because the peer has
// stopped or is partitioned.
const peerTimeout = 2 * time.Second

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:           cfg,
		random:        rand.New(rand.NewPCG(cfg.Seed, 2)),
		servers:       make(map[string]*record),
		budgets:       make(map[string]*RetryBudget),
		meanLatencies: make(map[string]float64),
		peers:         make(map[string]peerReport),
		locations:     NewPrefixDirectory(),

		suspects: NewSuspects(),
		queues:   make(map[string]*queueing.ServiceQueue),
		mixedAt:  make(map[ServiceKey]time.Time),
		demands:  make(map[string]*demand),

		routers:     []string{cfg.Name},
		routerCount: 1,
	}
}

// SetLimits sets the configured bounds.
func (t *Table) SetLimits(l Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
}

// SetRouters sets the names of all known routers that may be running, including this one
// and those that are unreachable. The argument count is the number of all such routers,
// if that is more.
func (t *Table) SetRouters(names []string, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routers, t.routerCount = names, max(count, len(names))
}

// RouterCount returns the number of routers by which this router computes its shares.
func (t *Table) RouterCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routerCount
}

// StateChange is a change in the known state of a server.
type StateChange struct {
	Server Server
	State  string
}

// SetList applies a complete list of servers that was read at readAt. It ignores a
// list that is older than the current one.
func (t *Table) SetList(now, readAt time.Time, list []Server) []StateChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	if readAt.Before(t.listAt) {
		return nil
	}
	t.listAt = readAt
	list = t.withKnownVersions(list)
	t.noteVersions(now, list)
	var changes []StateChange
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		r, known := t.servers[s.ID]
		if known && r.isReplacedBy(now, s) {
			// A new process under the same ID has none of the previous state.
			known = false
		}
		if !known {
			r = &record{key: KeyOf(s.ID), confirmedUp: true, listedSince: now}
			if t.servers[s.ID] != nil {
				// Peers may still report the limit of the previous process.
				r.limit.statedAt = now
			}
			t.servers[s.ID] = r
			changes = append(changes, StateChange{s, "listed"})
		}
		if known && !r.unlistedAt.IsZero() {
			changes = append(changes, StateChange{s, "listed"})
		}
		if known && s.Leaving && !r.Leaving {
			r.leavingAt = readAt
			changes = append(changes, StateChange{s, "leaving"})
		}
		leaving := known && r.Leaving
		// Routers of earlier builds pass lists on without this.
		s.Noted = s.Noted || known && r.Noted && r.Version == s.Version
		r.Server, r.unlistedAt = s, time.Time{}
		// A leaving server doesn't come back under its ID.
		r.Leaving = s.Leaving || leaving
		if s.Cold > 0 {
			r.listedColdUntil = latest(r.listedColdUntil, readAt.Add(s.Cold))
			r.coldUntil = latest(r.coldUntil, r.listedColdUntil.Add(coldMargin))
		}
	}
	for id, r := range t.servers {
		switch {
		case listed[id]:
		case r.unlistedAt.IsZero():
			r.unlistedAt = now
			changes = append(changes, StateChange{r.Server, "unlisted"})
		case now.Sub(r.unlistedAt) >= unlistedMemory && r.ownInFlight == 0:
			delete(t.servers, id)
		}
	}
	return changes
}

// unlistedMemory is how long a server that is missing in the list counts as the same one if it
// is listed again. Its entry may have been unreadable.
const unlistedMemory = 2 * time.Second

// coldMargin is added to a cold start that the list states: the list is written some time after
// its read began.
const coldMargin = 50 * time.Millisecond

// isReplacedBy reports whether an entry of the list describes another process than the known
// one under the same ID.
func (r *record) isReplacedBy(now time.Time, s Server) bool {
	if s.Born > r.Born && r.Born > 0 || s.Addr != r.Addr {
		return true
	}
	return !r.unlistedAt.IsZero() && (s.Cold > 0 || now.Sub(r.unlistedAt) >= unlistedMemory)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ListAge returns the age of the list, and false if there is no list yet.
func (t *Table) ListAge(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.listAt), !t.listAt.IsZero()
}

// ListAt returns the time at which the list was read.
func (t *Table) ListAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listAt
}

// SetZoneCold marks the servers of a zone as not confirmed up. They come back
// together after the zone was out, and may be cold.
func (t *Table) SetZoneCold(now time.Time, zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.servers {
		if r.Zone == zone {
			r.setUnconfirmed(now)
		}
	}
}

// SetPeerObservations stores a peer's observations, except for its loads, which
// SetPeerLoads stores.
func (t *Table) SetPeerObservations(now time.Time, peer string, observations map[ServerKey]Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.peers[peer]
	report.receivedAt = now
	report.observations = observations
	t.peers[peer] = report
	t.peersChanged = true
}

// SetPeerLoads stores a peer's requests in flight.
func (t *Table) SetPeerLoads(now time.Time, peer string, loads map[ServerKey]RouterLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.peers[peer]
	report.receivedAt = now
	report.loads = loads
	t.peers[peer] = report
	t.peersChanged = true
}

// sumPeers sums the peers' reports if one of them has changed or expired.
func (t *Table) sumPeers(now time.Time) {
	if !t.peersChanged && now.Before(t.sumsExpireAt) {
		return
	}
	t.peersChanged = false
	t.sumsExpireAt, t.oldestReportAt = now.Add(peerTimeout), time.Time{}
	sums := make(map[ServerKey]Observation, len(t.servers))
	pauses := make(map[ServerKey]peerPauses)
	for name, report := range t.peers {
		if now.Sub(report.receivedAt) > peerTimeout {
			delete(t.peers, name)
			continue
		}
		if until := report.receivedAt.Add(peerTimeout); until.Before(t.sumsExpireAt) {
			t.sumsExpireAt = until
		}
		if t.oldestReportAt.IsZero() || report.receivedAt.Before(t.oldestReportAt) {
			t.oldestReportAt = report.receivedAt
		}
		for key, n := range report.loads {
			s := sums[key]
			s.InFlight += int(n.InFlight)
			s.Waiting += int(n.Waiting)
			sums[key] = s
		}
		for key, o := range report.observations {
			s := sums[key]
			s.Done += o.Done
			s.Failed += o.Failed
			s.RelativeLatency += o.RelativeLatency
			sums[key] = s
		}
		for key, until := range report.backoffs {
			pauses[key] = pauses[key].with(until)
		}
	}
	for _, r := range t.servers {
		r.peers = sums[r.key]
		r.avoidUntil = pauses[r.key].second
	}
}

// loadAge returns the age of the oldest load that counts, and the number of peers whose loads
// count. The age is 0 without peers.
func (t *Table) loadAge(now time.Time) (age time.Duration, peers int) {
	if t.oldestReportAt.IsZero() {
		return 0, 0
	}
	return now.Sub(t.oldestReportAt), len(t.peers)
}

// Observations returns what this router has observed, for its peers.
func (t *Table) Observations(now time.Time) map[ServerKey]Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	observations := make(map[ServerKey]Observation, len(t.servers))
	for _, r := range t.servers {
		r.observations.advance(now)
		o := Observation{InFlight: r.ownInFlight, Waiting: r.ownWaiting, Done: r.observations.done, Failed: r.observations.failed, RelativeLatency: r.observations.relativeLatency}
		if o.InFlight > 0 || o.Done+o.Failed > 0.05 {
			observations[r.key] = o
		}
	}
	return observations
}

// AddPeerLocations adds the cache locations that a peer reported.
func (t *Table) AddPeerLocations(now time.Time, reported []CacheLocation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.locations.AddPeerLocations(now, reported)
}

// LocationsToGossip returns the cache locations for the next digest.
func (t *Table) LocationsToGossip(now time.Time) []CacheLocation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.locations.LocationsToGossip(now)
}
