package placement

import (
	"cmp"
	"time"
)

// loadMean is the mean load of some servers. Servers with a rate limit or in a pause that
// they asked for can't take their part of the load, so they count only if there are no
// others.
type loadMean struct {
	sum, n               int
	limitedSum, limitedN int
}

func (m *loadMean) add(now time.Time, r *record) {
	if !r.takesItsPart(now) {
		m.limitedSum += r.inFlight()
		m.limitedN++
		return
	}
	m.sum += r.inFlight()
	m.n++
}

func (m *loadMean) value() float64 {
	if m.n == 0 {
		return float64(m.limitedSum) / float64(max(1, m.limitedN))
	}
	return float64(m.sum) / float64(m.n)
}

// all returns the mean load of all servers.
func (m *loadMean) all() float64 {
	return float64(m.sum+m.limitedSum) / float64(max(1, m.n+m.limitedN))
}

// meanLoad returns the mean load of the candidates.
func meanLoad(now time.Time, candidates []*record) float64 {
	var mean loadMean
	for _, r := range candidates {
		mean.add(now, r)
	}
	return mean.value()
}

// serviceMean returns the mean load of all running servers of a service, including
// those that take no requests. The configured bound is relative to it. A server that
// isn't listed has ended: nobody holds its requests in flight. A server counts as
// down only until the next connection attempt is due: it may be back by then, with
// little load.
func (t *Table) serviceMean(now time.Time, service string) float64 {
	var mean loadMean
	for _, r := range t.servers {
		if r.Service == service && r.unlistedAt.IsZero() && !now.Before(r.downUntil) {
			mean.add(now, r)
		}
	}
	return mean.value()
}

// hardBound is the load above which an engine gets no requests, even if the others are
// cold and at their rate limit. Callers retry once another engine has warmed up.
type hardBound struct {
	// all is relative to the mean load of all engines, and unlimited to that of the
	// engines that take their part.
	all, unlimited float64
	// allGain and unlimitedGain are how much these rise with each request in flight.
	allGain, unlimitedGain float64
}

// withRequests returns the bound with some more requests in flight.
func (b hardBound) withRequests(n float64) hardBound {
	b.all += b.allGain * n
	b.unlimited += b.unlimitedGain * n
	return b
}

// of returns the bound of one engine. Engines take over the requests that others can't
// take because of their rate limits, up to a share of their own slots.
func (b hardBound) of(r *record) float64 {
	return max(b.all, min(b.unlimited, takeoverShare*float64(r.Slots)))
}

// newHardBound returns the bound of a service. It is relative to the servers that are
// known to run, so that callers aren't refused while most of a service is down.
func (t *Table) newHardBound(now time.Time, service string) hardBound {
	var mean loadMean
	for _, r := range t.servers {
		if r.Service == service && r.unlistedAt.IsZero() && (r.confirmedUp || now.Before(r.coldUntil)) && !now.Before(r.downUntil) {
			mean.add(now, r)
		}
	}
	return hardBound{
		all:           t.loadMultiple()*mean.all() + boundSlack,
		unlimited:     t.loadMultiple()*mean.value() + boundSlack,
		allGain:       t.loadMultiple() / float64(max(1, mean.n+mean.limitedN)),
		unlimitedGain: t.loadMultiple() / float64(max(1, cmp.Or(mean.n, mean.limitedN))),
	}
}

// loadMultiple returns the configured multiple of the mean load.
func (t *Table) loadMultiple() float64 {
	if t.limits.LoadMultiple == 0 {
		return defaultLoadMultiple
	}
	return t.limits.LoadMultiple
}

// Parameters of the bound on a server's load relative to the mean of its service.
const (
	// defaultLoadMultiple applies if none is configured.
	defaultLoadMultiple = 2.0
	// minBoundMargin is the minimum margin above the mean. It keeps prompts where
	// they are cached while a large part of the servers takes no requests.
	minBoundMargin = 1.5
	// boundSlack lets servers take requests while the mean is low.
	boundSlack = 3.0
	// takeoverShare is the share of its slots up to which an engine takes over requests
	// of engines with a rate limit.
	takeoverShare = 0.5
	// boundUse is the fraction of the bound that is used while every router receives
	// the digests of all others in each gossip round.
	boundUse = 0.95
	// roundPenalty lowers the bound for each further round that is needed to
	// receive the digests of all routers.
	roundPenalty = 0.1
	// hotRoundPenalty replaces roundPenalty for a prompt that can flood a server.
	// Routers that don't know of each other's requests send them to the same
	// servers.
	hotRoundPenalty = 0.3
	// routersPerRound is the number of routers for which a single gossip round
	// suffices.
	routersPerRound = 10.0
)

// loadBound returns the load above which other servers are preferred. It lies
// between the mean of the candidates and the configured bound. The configured bound
// applies to actual loads. With more routers, the known loads are older, so the result is
// lower.
func (t *Table) loadBound(candidateMean, serviceMean, burst float64) float64 {
	rounds := max(1, float64(t.routerCount)/routersPerRound)
	penalty := roundPenalty
	if burst > floodThreshold {
		penalty = hotRoundPenalty
	}
	use := boundUse / (1 + penalty*(rounds-1))
	margin := t.loadMultiple()*serviceMean + boundSlack - candidateMean
	return candidateMean + use*max(minBoundMargin, margin)
}
