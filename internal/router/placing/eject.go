package placing

import (
	"slices"
	"sort"
)

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
