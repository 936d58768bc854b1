package holder

import (
	"time"

	"bronzerill"
)

// termShift is the number of bits for the sequence number of a report. They
// suffice for the reports of one term, at one per second.
const termShift = 32

// ReportNumber returns a report number that increases with the term and, within a
// term, with the sequence number.
func ReportNumber(term uint64, seq uint32) uint64 { return term<<termShift | uint64(seq) }

// Report returns a service report. ok is false until the table is settled. The
// servers of silent agents aren't counted.
func (t *Table) Report(now time.Time, number uint64, c *bronzerill.Config, promised map[string]int) (report bronzerill.Report, ok bool) {
	if !t.IsSettled(now) {
		return bronzerill.Report{}, false
	}
	report = bronzerill.Report{Number: number, Revision: c.Revision(), MadeAt: now.UTC()}
	for _, pool := range c.Pools() {
		p := t.poolReport(now, c, pool)
		p.Promised = promised[pool.Name]
		report.Pools = append(report.Pools, p.WithBalance())
	}
	return report, true
}

func (t *Table) poolReport(now time.Time, c *bronzerill.Config, pool bronzerill.Pool) bronzerill.PoolReport {
	p := bronzerill.PoolReport{Pool: pool.Name}
	byZone := make(map[string]int)
	for _, r := range t.rows {
		if r.Pool != pool.Name {
			continue
		}
		if now.Before(r.leaseUntil) {
			p.Running += r.load.Running
		}
		if !t.isAvailable(now, c, r) {
			continue
		}
		slots := min(r.load.Limit, pool.Slots)
		p.Servers++
		p.Usable += slots
		byZone[r.Zone] += slots
	}
	p.Dependable = p.Usable - largestZoneLoss(c, byZone)
	return p
}

// largestZoneLoss returns the number of slots that would be lost if the largest
// zone went out. It is 0 while a zone is out, because that loss has already
// occurred.
func largestZoneLoss(c *bronzerill.Config, byZone map[string]int) int {
	for _, zone := range c.Zones() {
		if zone.Out {
			return 0
		}
	}
	largest := 0
	for _, slots := range byZone {
		largest = max(largest, slots)
	}
	return largest
}
