package bronzerill

import "time"

// Report is a numbered, immutable service report. It contains the capacity that
// may still be promised and the promises at risk, both computed from the same
// numbers.
type Report struct {
	// Number increases with every report, also across changes of leader.
	Number uint64 `json:"number"`
	// Revision is the configuration that the report was made under.
	Revision uint64       `json:"revision"`
	MadeAt   time.Time    `json:"made-at"`
	Pools    []PoolReport `json:"pools"`
}

// PoolReport is the state of one pool. Free minus AtRisk always equals
// Dependable minus Promised, and one of the two is zero.
type PoolReport struct {
	Pool string `json:"pool"`
	// Servers is the number of servers that hold a lease and accept new
	// requests.
	Servers int `json:"servers"`
	// Usable is the number of slots of those servers.
	Usable int `json:"usable"`
	// Dependable is Usable minus the slots of the zone that has the most of
	// them. While a zone is out, Dependable equals Usable.
	Dependable int `json:"dependable"`
	// Promised is the number of slots in all promises that have not expired.
	Promised int `json:"promised"`
	// Free is the number of slots that may still be promised.
	Free int `json:"free"`
	// AtRisk is the number of slots promised beyond Dependable.
	AtRisk int `json:"at-risk"`
	// Running is the number of requests in flight on the pool's servers.
	Running int `json:"running"`
}

// WithBalance returns the report with Free and AtRisk computed.
func (p PoolReport) WithBalance() PoolReport {
	p.Free = max(0, p.Dependable-p.Promised)
	p.AtRisk = max(0, p.Promised-p.Dependable)
	return p
}
