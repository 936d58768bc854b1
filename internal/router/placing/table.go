package placing

import (
	"math/rand/v2"
	"sync"
	"time"

	"bronzerill/internal/router/queueing"
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

// Config configures a Table.
type Config struct {
	// Name is this process's name, unique among the entries.
	Name string
	Zone string
	Seed uint64
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
	homes     *PrefixDirectory
	suspects  *Suspects
	// queues holds what is known of the waits at each service.
	queues map[string]*queueing.ServiceQueue
}

// peerView is what one neighbour has told last.
type peerView struct {
	// at is when the loads came.
	at    time.Time
	loads map[ServerKey]RouterLoad
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
		homes:   NewPrefixDirectory(),

		suspects: NewSuspects(),
		queues:   make(map[string]*queueing.ServiceQueue),
		entries:  []string{cfg.Name},
	}
}

// SetLimits takes the deployment's bounds.
func (t *Table) SetLimits(l Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
}

// SetRouters takes the names of all entries that may be at work, this one
// included, whether or not they can be reached now.
func (t *Table) SetRouters(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = names
}

// StateChange is a change of what the table believes of a server.
type StateChange struct {
	Server Server
	State  string
}

// SetList takes a list of all servers that was read at the given time.
func (t *Table) SetList(now, readAt time.Time, list []Server) []StateChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	if readAt.Before(t.listAt) {
		return nil
	}
	first := t.listAt.IsZero()
	t.listAt = readAt
	var changes []StateChange
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
			changes = append(changes, StateChange{s, "listed"})
		}
		if s.Leaving != r.Leaving && known {
			changes = append(changes, StateChange{s, "leaving"})
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
			changes = append(changes, StateChange{r.Server, "unlisted"})
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

// SetPeerObservations takes a neighbour's observations, but for the loads.
func (t *Table) SetPeerObservations(now time.Time, peer string, seen map[ServerKey]Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := t.peers[peer]
	view.at = now
	view.seen = seen
	t.peers[peer] = view
	t.peersChanged = true
}

// SetPeerLoads takes the requests that a neighbour has under way.
func (t *Table) SetPeerLoads(now time.Time, peer string, loads map[ServerKey]RouterLoad) {
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
			s.InFlight += int(n.InFlight)
			s.Waiting += int(n.Waiting)
			sums[key] = s
		}
		for key, o := range view.seen {
			s := sums[key]
			s.Done += o.Done
			s.Failed += o.Failed
			s.RelativeLatency += o.RelativeLatency
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
		o := Observation{InFlight: r.own, Waiting: r.waiting, Done: r.seen.done, Failed: r.seen.failed, RelativeLatency: r.seen.pace}
		if o.InFlight > 0 || o.Done+o.Failed > 0.05 {
			seen[r.key] = o
		}
	}
	return seen
}

// AddPeerLocations takes the homes of prompts that a neighbour tells.
func (t *Table) AddPeerLocations(now time.Time, told []CacheLocation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.homes.AddFromPeer(now, told)
}

// LocationsToGossip returns homes of prompts for neighbours.
func (t *Table) LocationsToGossip(now time.Time) []CacheLocation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.homes.ToGossip(now)
}
