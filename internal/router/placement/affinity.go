package placement

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// spillCandidates is the number of servers among which load may move the requests
// of a prompt. All routers see the same stale loads and would flood the least loaded
// server of the service, so each prompt has its own candidates.
const spillCandidates = 4

// orderByAffinity sorts the candidates. Servers that have the prompt cached come
// first, in random order weighted by free capacity. The others follow by rendezvous
// hash, so that all routers pick the same one. If the first few are above the load
// bound, the rest follow in random order.
func (t *Table) orderByAffinity(now time.Time, candidates []*record, affinity uint64, bound, burst float64) {
	if affinity == 0 {
		t.orderByWait(candidates)
		sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].isWithin(bound) && !candidates[j].isWithin(bound) })
		return
	}
	locations := t.locations.Get(now, affinity)
	load := make(map[*record]float64, len(candidates))
	score := make(map[*record]float64, len(candidates))
	capacity := 0.0
	for _, r := range candidates {
		// The bound limits the number of requests, so the load of a fast server isn't
		// scaled down.
		load[r] = (float64(r.inFlight()+1) + r.unreported()) * max(1, r.relativeLatency())
		score[r] = Rendezvous(affinity, r.ID)
		if slices.Contains(locations, r.key) {
			score[r] = 1 + t.weightedDraw(bound-load[r])
			capacity += max(0, bound-load[r])
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return score[candidates[i]] > score[candidates[j]] })
	preferred := min(spillCandidates, len(candidates))
	if t.overflows(burst, len(locations), capacity) {
		preferred = 0
	}
	others := candidates[preferred:]
	t.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	// The preferred servers come before the others, and servers within the bound
	// before those above it. The latter are sorted by load.
	position := make(map[*record]float64, len(candidates))
	for i, r := range candidates {
		position[r] = float64(i) / float64(len(candidates))
		if i >= preferred {
			position[r]++
		}
		if load[r] > bound {
			position[r] = 2 + load[r]/(load[r]+bound)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return position[candidates[i]] < position[candidates[j]] })
}

// burst counts a request for a prompt. It returns how many requests for it all
// routers are expected to send before they learn of each other's requests.
func (t *Table) burst(now time.Time, prompt uint64) float64 {
	if prompt == 0 {
		return 0
	}
	return t.locations.CountRequest(now, prompt) * float64(t.routerCount) * maxLoadAge.Seconds()
}

// overflows decides at random whether a request goes to a server that doesn't have
// its prompt cached. This happens if the servers with the prompt have less free
// capacity than the expected burst from all routers.
func (t *Table) overflows(burst float64, locations int, capacity float64) bool {
	return locations > 0 && burst > floodThreshold && t.random.Float64() > capacity/burst
}

// floodThreshold is the number of requests between two digests up to which a prompt
// can't flood a server.
const floodThreshold = 3.0

// minDrawWeight is the minimum weight of a server in a draw.
const minDrawWeight = 0.05

// weightedDraw returns a random number from 0 to 1. The highest of several draws
// wins with a probability proportional to its weight. Routers that see the same
// stale loads thus spread their requests over the servers with free capacity.
func (t *Table) weightedDraw(weight float64) float64 {
	return math.Pow(t.random.Float64(), 1/max(minDrawWeight, weight))
}

// Rendezvous returns the rendezvous hash of a key and an ID. It is greater than 0
// and uniform over the pairs.
func Rendezvous(key uint64, id string) float64 {
	h := xxhash.Sum64String(id) ^ key
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return float64(h>>11)/float64(1<<53) + math.SmallestNonzeroFloat64
}
