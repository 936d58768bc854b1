package placement

import (
	"slices"
	"sort"
)

// Parameters of outlier ejection.
const (
	// minEjectWeight is the minimum weight of observations that can eject a server.
	minEjectWeight = 4.0
	// ejectMargin is how far the failure rate must exceed that of the other
	// servers.
	ejectMargin = 0.2
)

// splitEjected separates the servers that fail far more often than the rest of
// their service. At least half of the servers remain.
func splitEjected(all []*record) (remaining, ejected []*record) {
	for _, r := range all {
		rate, weight := r.failureRate()
		if weight < minEjectWeight {
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
		if rate > failed/max(1, done+failed)+ejectMargin {
			ejected = append(ejected, r)
		}
	}
	sort.Slice(ejected, func(i, j int) bool {
		a, _ := ejected[i].failureRate()
		b, _ := ejected[j].failureRate()
		return a > b
	})
	ejected = ejected[:min(len(ejected), len(all)/2)]
	for _, r := range all {
		if !slices.Contains(ejected, r) {
			remaining = append(remaining, r)
		}
	}
	return remaining, ejected
}
