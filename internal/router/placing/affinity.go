package placing

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

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
	return t.homes.CountRequest(now, prompt) * float64(len(t.entries)) * loadAge.Seconds()
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
