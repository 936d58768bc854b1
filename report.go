package bronzerill

import "time"

// Report is one numbered, immutable service report. Its two readings, the
// capacity that may be promised and the promises at risk, come from the same
// numbers.
type Report struct {
	// Number grows with every report, also over a change of leader.
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
	// Servers counts the servers that hold a lease and take new work.
	Servers int `json:"servers"`
	// Usable counts the slots of those servers.
	Usable int `json:"usable"`
	// Dependable is Usable without the zone that has most of it, or Usable
	// itself while a zone is out.
	Dependable int `json:"dependable"`
	// Promised counts the slots that the office has promised.
	Promised int `json:"promised"`
	// Free is what may still be promised, in slots.
	Free int `json:"free"`
	// AtRisk is what was promised beyond Dependable, in slots.
	AtRisk int `json:"at-risk"`
	// Running counts the requests on the pool's servers.
	Running int `json:"running"`
}

// WithBalance returns the report with Free and AtRisk worked out.
func (p PoolReport) WithBalance() PoolReport {
	p.Free = max(0, p.Dependable-p.Promised)
	p.AtRisk = max(0, p.Promised-p.Dependable)
	return p
}
