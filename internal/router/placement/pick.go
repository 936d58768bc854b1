package placement

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
	// Affinity is the hash of the deepest shared part of the prompt, or 0 for none.
	Affinity uint64
	// Version restricts the request to servers of one version, unless it is 0.
	Version VersionKey
	// OnlyNoted restricts the request to servers whose version is noted.
	OnlyNoted bool
	// Excluded holds the IDs of the servers that were already tried.
	Excluded []string
	// MayRepeat is set for requests that can safely run twice. They may go to a
	// server that seems to be down.
	MayRepeat bool
	// ZoneOut reports whether a zone is out and receives no requests.
	ZoneOut func(zone string) bool
	// Request holds the properties that determine admission in an overload.
	Request queueing.Request
}

// Choice is the result of a decision, with the values that led to it.
type Choice struct {
	Server
	// Load is the known number of requests in flight at the server.
	Load int
	// Mean is the mean load of the candidates. Bound is the load above which other
	// servers are preferred.
	Mean, Bound float64
	// HardBound is the load above which an engine gets no requests, and Level that to which the
	// routers together fill the engines at most until the next digests. Both are 0 for other servers.
	HardBound, Level float64
	// LoadAge is the age of the oldest of the peers' loads behind Load, and LoadPeers the
	// number of peers that have reported theirs.
	LoadAge   time.Duration
	LoadPeers int
	// Rank is the position of the server in the order of preference.
	Rank int
	// ListAge is the age of the list of servers.
	ListAge time.Duration
	Cold    bool
	// SentAt is when the server was picked. Queue is the number of requests that
	// waited there for a response, and Wait the estimated wait of this request.
	SentAt time.Time
	Queue  float64
	Wait   time.Duration
	// RetryAfter is the pause before a refused caller may retry, or 0 if unknown.
	// WaitLimit is the longest wait with which the request would have been admitted.
	RetryAfter, WaitLimit time.Duration
	// responseStarted is set once the response or its first event has arrived.
	responseStarted bool
	// record is the row of the picked process. Another process under its ID has another row.
	record *record
	// CacheLocations is the number of candidates that are believed to have the
	// prompt cached.
	CacheLocations int
	// Warm is set if the server is believed to have the prompt cached, and for
	// servers that cache no prompts.
	Warm bool
	// FetchFrom is the address of a server from which the prompt can be fetched. It
	// is empty if the picked server is believed to have the prompt cached.
	FetchFrom string
}

// Pick picks a server and counts the request as in flight there. It returns an error
// of kind no-server if no server may take the request, of kind version-gone if none of
// the version is left, of kind server-backoff if those that could take it have asked for
// pauses, of kind cold if all candidates are cold, of kind rate-limited if the servers' own
// limits leave nothing, and of kind overloaded if the wait would be too long at each. With
// the kinds server-backoff, rate-limited and overloaded, RetryAfter of the choice is set.
func (t *Table) Pick(now time.Time, q Query) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sumPeers(now)
	candidates := t.candidates(now, q)
	if len(candidates) == 0 && q.Version != 0 && t.isVersionGone(now, q) {
		return Choice{}, bronzerill.Errorf(bronzerill.KindVersionGone, "no server of %s has the version of the stream", q.Service.Name)
	}
	if len(candidates) == 0 {
		return t.refuseUnavailable(now, q)
	}
	mean, bound := meanLoad(now, candidates), 0.0
	admission := t.newAdmission(now, q, candidates)
	if q.Service.Engine {
		burst := t.burst(now, q.Affinity)
		bound = t.loadBound(mean, t.serviceMean(now, q.Service.Name), burst)
		if admission.spread.pressure >= evenFillShare*bound {
			t.orderByRoom(now, candidates, q.Affinity, admission.spread)
		} else {
			t.orderByAffinity(now, candidates, q.Affinity, bound, burst)
		}
	} else {
		t.orderByWait(candidates)
	}
	candidates = t.withAvoidedLast(now, candidates)
	limiter := limiter{routers: t.routerCount}
	for rank, r := range candidates {
		if !admission.admits(now, r) || !limiter.admits(now, t, r) || !t.coldStartAllows(now, r, q.Service) {
			continue
		}
		r.limit.countSent()
		r.backoff.countSent(now)
		choice := Choice{
			record: r, Server: r.Server, Load: r.inFlight(), Mean: mean, Bound: bound, Rank: rank, ListAge: now.Sub(t.listAt), Cold: r.isCold(now),
			Warm: !q.Service.Engine || q.Affinity == 0, SentAt: now, Queue: r.queueLength(), Wait: admission.queue.Wait(now, r.queueLength()),
		}
		choice.LoadAge, choice.LoadPeers = t.loadAge(now)
		if q.Service.Engine {
			choice.HardBound, choice.Level = admission.spread.of(r), admission.spread.level
		}
		r.ownInFlight++
		r.ownWaiting++
		admission.queue.Send(now)
		if q.Service.Engine && q.Affinity != 0 {
			locations := t.locations.Get(now, q.Affinity)
			choice.CacheLocations = countLocations(candidates, locations)
			choice.Warm = slices.Contains(locations, r.key)
			choice.FetchFrom = t.fetchSource(now, locations, r)
			t.locations.AddSent(now, CacheLocation{Prompt: q.Affinity, Server: r.key})
		}
		return choice, nil
	}
	if admission.refused > 0 {
		return Choice{RetryAfter: queueing.RetryAfter(admission.minWait, q.Request, t.random.Float64()), Wait: admission.minWait, WaitLimit: admission.limit},
			bronzerill.Errorf(bronzerill.KindOverloaded, "estimated wait is at least %v, limit is %v", admission.minWait, admission.limit)
	}
	if limiter.refused > 0 {
		return Choice{RetryAfter: queueing.RetryAfter(limiter.minWait, q.Request, t.random.Float64()), Wait: limiter.minWait},
			bronzerill.Errorf(bronzerill.KindRateLimited, "%d servers have reached their limits, the next request may be sent in %v", limiter.refused, limiter.minWait)
	}
	return Choice{}, bronzerill.Errorf(bronzerill.KindCold, "all available servers of %s are cold", q.Service.Name)
}

// refuseUnavailable returns the error of a request without candidates.
func (t *Table) refuseUnavailable(now time.Time, q Query) (Choice, error) {
	wait, found := t.shortestBackoff(now, q)
	if !found {
		return Choice{}, bronzerill.Errorf(bronzerill.KindNoServer, "no server of %s is available", q.Service.Name)
	}
	return Choice{RetryAfter: queueing.RetryAfterBackoff(wait, q.Request, t.random.Float64()), Wait: wait},
		bronzerill.Errorf(bronzerill.KindServerBackoff, "the available servers of %s asked for pauses, the next request may be sent in %v", q.Service.Name, wait)
}

func countLocations(candidates []*record, locations []ServerKey) int {
	n := 0
	for _, r := range candidates {
		if slices.Contains(locations, r.key) {
			n++
		}
	}
	return n
}

// fetchSource returns the address of a healthy server that has the prompt cached,
// or an empty string if the picked one has it. Leaving servers are included,
// because their prompts would be lost otherwise.
func (t *Table) fetchSource(now time.Time, locations []ServerKey, chosen *record) string {
	if slices.Contains(locations, chosen.key) {
		return ""
	}
	best := (*record)(nil)
	for _, r := range t.servers {
		if r.Service != chosen.Service || r.isGone() || !r.confirmedUp || now.Before(r.downUntil) || !slices.Contains(locations, r.key) {
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

// matches reports whether a server could take the request if it were up, idle and not leaving.
func (q Query) matches(r *record) bool {
	if q.Version != 0 && r.VersionKey() != q.Version {
		return false
	}
	return r.Service == q.Service.Name && !q.ZoneOut(r.Zone) && !slices.Contains(q.Excluded, r.ID)
}

// isRestricted reports whether the request may not go to all servers of its service.
func (q Query) isRestricted() bool { return q.Version != 0 || q.OnlyNoted || len(q.Excluded) > 0 }

// withoutRestrictions returns the query of a request that may go to all servers of the service.
func (q Query) withoutRestrictions() Query {
	q.Version, q.OnlyNoted, q.Excluded = 0, false, nil
	return q
}

// candidates returns the servers that may take a request, regardless of cold
// starts.
func (t *Table) candidates(now time.Time, q Query) []*record {
	var candidates, down, ejected, leaving []*record
	for _, r := range t.servers {
		r.observations.advance(now)
		if !q.matches(r) || r.backoff.wait(now) > 0 || q.OnlyNoted && !r.isNoted(now) {
			continue
		}
		switch {
		case r.acceptsRequests() && now.Before(r.downUntil):
			down = append(down, r)
		case r.acceptsRequests():
			candidates = append(candidates, r)
		case r.acceptsLastRequests(now) && !now.Before(r.downUntil):
			leaving = append(leaving, r)
		}
	}
	candidates, ejected = splitEjected(candidates)
	if len(candidates) == 0 {
		candidates = ejected
	}
	if len(candidates) == 0 {
		candidates = leaving
	}
	if len(candidates) == 0 && q.MayRepeat {
		candidates = down
	}
	// Maps iterate in random order. Sorting keeps decisions deterministic.
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
	return candidates
}

// orderByWait sorts servers by estimated wait. All routers see the same digests. A
// random jitter breaks near ties, so that they don't all pick the same server.
func (t *Table) orderByWait(candidates []*record) {
	wait := make(map[*record]float64, len(candidates))
	for _, r := range candidates {
		slots := float64(max(1, r.Slots))
		jitter := 1 + 0.2*t.random.Float64()
		wait[r] = r.relativeLatency() * (1 + 2*float64(r.inFlight())/slots) * jitter
		if r.Zone != t.cfg.Zone {
			wait[r] *= zonePenalty
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return wait[candidates[i]] < wait[candidates[j]] })
}

// zonePenalty makes servers of the router's own zone win near ties.
const zonePenalty = 1.1

// coldStartAllows reports whether this router may send a request to a server now. Only
// some routers may send to a cold server, at a limited rate. If it returns true for a
// cold server, the request is counted.
func (t *Table) coldStartAllows(now time.Time, r *record, s Service) bool {
	if s.ColdPerSecond <= 0 || !r.isCold(now) {
		return true
	}
	senders, perSecond := coldSendRate(s.ColdPerSecond, t.routerCount)
	if !t.isChosenRouter(xxhash.Sum64String(r.ID), senders) {
		return false
	}
	return r.coldBucket.take(now, perSecond, 1)
}

// isChosenRouter reports whether this router is one of count routers that are chosen for a
// key by rendezvous hash over all routers. If it knows only some of the routers, its rank
// among these must be as much higher.
func (t *Table) isChosenRouter(key uint64, count int) bool {
	if count >= t.routerCount {
		return true
	}
	own := Rendezvous(key, t.cfg.Name)
	above := 0
	for _, name := range t.routers {
		if Rendezvous(key, name) > own {
			above++
		}
	}
	known := float64(len(t.routers)) / float64(t.routerCount)
	return above < int(math.Round(float64(count)*known))
}
