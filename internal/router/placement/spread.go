package placement

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Parameters of the spread of requests over engines near their bounds.
const (
	// demandHalfLife is the half-life of the count of requests for a service.
	demandHalfLife = 500 * time.Millisecond
	// cachedRoomFactor is the weight of an engine that has the prompt cached, relative to
	// another engine with the same room.
	cachedRoomFactor = 3.0
	// evenFillShare is the share of the load bound from which engines are filled evenly.
	// Nearer to the bound, the few engines that are below it would get everything.
	evenFillShare = 0.8
)

// demand counts this router's requests for a service.
type demand struct {
	// recent is a count with a half-life of demandHalfLife.
	recent    float64
	updatedAt time.Time
}

func (d *demand) add(now time.Time) {
	d.advance(now)
	d.recent++
}

// perSecond returns the recent rate of requests.
func (d *demand) perSecond(now time.Time) float64 {
	d.advance(now)
	return d.recent * math.Ln2 / demandHalfLife.Seconds()
}

func (d *demand) advance(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.recent *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
		d.updatedAt = now
	}
}

// spread limits what all routers together send to an engine between two digests to what it has
// room for within its hard bound. Until the next digests all of them see the same loads, and each
// would send to the engine that seems least loaded. An engine is open if it takes its part of the load
// and isn't cold; what others get is limited otherwise.
type spread struct {
	// hardBound is that at the next digests. Until then peers send requests, which are unseen, and
	// requests of peers end.
	hardBound
	// remaining is the share of the known requests that don't end until then. As many end as did
	// recently, in proportion to the loads.
	remaining float64
	// share is the share of the unseen requests for which the open engines have room.
	share float64
	// level is the load of the open engines at the next digests if this share is spread evenly.
	level float64
	// pressure is the mean load of the open engines if no request ended until then.
	pressure float64
	// draw is uniform in [0, 1). It is the same for all engines, so that a request for which one
	// has no room isn't sent to the next one.
	draw float64
}

// newSpread returns the spread of one request to engines, and counts the request. The peers' requests
// go to all engines that take some, also if this one may not.
func (t *Table) newSpread(now time.Time, q Query, candidates []*record) spread {
	if q.isRestricted() {
		candidates = t.candidates(now, q.withoutRestrictions())
	}
	unseen := t.countDemand(now, q.Service.Name) * float64(t.routerCount-1) * maxLoadAge.Seconds()
	ending, sum := 0.0, 0.0
	for _, r := range candidates {
		ending += r.unreported()
		sum += float64(r.inFlight())
	}
	s := spread{
		hardBound: t.newHardBound(now, q.Service.Name).withRequests(max(0, unseen-ending)), share: 1,
		remaining: 1 - min(1, ending/max(1, sum)), draw: t.random.Float64(),
	}
	var loads []float64
	openSum, room := 0.0, 0.0
	for _, r := range candidates {
		if r.isOpen(now) {
			load := s.remainingLoad(r)
			loads = append(loads, load)
			openSum += float64(r.inFlight())
			room += max(0, s.of(r)-load)
		}
	}
	if len(loads) == 0 {
		return s
	}
	if unseen > 0 {
		s.share = min(1, room/unseen)
	}
	s.level = levelWith(loads, s.share*unseen)
	s.pressure = (openSum + s.share*unseen) / float64(len(loads))
	return s
}

// remainingLoad returns how many of the known requests at an engine are expected to be in flight at the
// next digests.
func (s spread) remainingLoad(r *record) float64 { return s.remaining * float64(r.inFlight()) }

// countDemand counts a request for a service. It returns this router's requests per second.
func (t *Table) countDemand(now time.Time, service string) float64 {
	d, ok := t.demands[service]
	if !ok {
		d = &demand{}
		t.demands[service] = d
	}
	d.add(now)
	return d.perSecond(now)
}

// levelWith returns the highest load after some requests are spread so that it is as low as
// possible. It sorts the loads.
func levelWith(loads []float64, requests float64) float64 {
	sort.Float64s(loads)
	sum := requests
	for i, load := range loads {
		sum += load
		if level := sum / float64(i+1); i+1 == len(loads) || level <= loads[i+1] {
			return level
		}
	}
	return 0
}

// admits reports whether an engine may get the request.
func (s spread) admits(now time.Time, r *record) bool {
	return float64(r.inFlight()) <= s.of(r) && (s.draw < s.share || !r.isOpen(now))
}

// orderByRoom sorts engines while the open ones are near their bounds. Each router draws one of
// them by its room below the common level, so that together they fill all up to it. The
// others come first, since their own limits decide what they get.
func (t *Table) orderByRoom(now time.Time, candidates []*record, affinity uint64, s spread) {
	var locations []ServerKey
	if affinity != 0 {
		locations = t.locations.Get(now, affinity)
	}
	score := make(map[*record]float64, len(candidates))
	for _, r := range candidates {
		room := s.level - s.remainingLoad(r)
		switch {
		case !r.isOpen(now):
			score[r] = 1 + t.random.Float64()
		case slices.Contains(locations, r.key):
			score[r] = t.weightedDraw(cachedRoomFactor * room)
		default:
			score[r] = t.weightedDraw(room)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return score[candidates[i]] > score[candidates[j]] })
}
