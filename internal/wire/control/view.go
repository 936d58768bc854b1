package control

import (
	"cmp"
	"slices"
	"time"
	"unique"

	"bronzerill"
)

// View is the immutable state of a lease holder.
type View struct {
	Config *bronzerill.Config
	// Servers is the table of backend servers, sorted by pool and name; entries
	// only.
	Servers []Server
	// ServersVersion differs whenever Servers does.
	ServersVersion uint64
	// Mean is the mean load of the agent's pool at MeanAt.
	Mean    float64
	MeanAt  time.Time
	Leaving bool
	// LeaseUntil counts from the sending of the last renewal, on the
	// monotonic clock.
	LeaseUntil time.Time
}

// HasLease reports whether the holder may take new work.
func (v *View) HasLease(now time.Time) bool { return now.Before(v.LeaseUntil) }

// WithReply returns the view after a renewal that was sent at the given time.
func (v *View) WithReply(sentAt time.Time, r *RenewReply) *View {
	next := *v
	if r.Delta != nil {
		next.Config, _ = v.Config.WithDelta(*r.Delta)
	}
	next.Mean = r.Mean
	next.MeanAt = sentAt
	next.Leaving = r.Leaving
	if until := sentAt.Add(LeaseTerm); until.After(v.LeaseUntil) {
		next.LeaseUntil = until
	}
	return &next
}

// WithServers returns the view with another table of servers.
func (v *View) WithServers(servers []Server) *View {
	next := *v
	next.Servers = servers
	next.ServersVersion++
	return &next
}

// sortServers returns the table as a sorted list. Names that many rows share
// are held once.
func sortServers(table map[string]Server) []Server {
	list := make([]Server, 0, len(table))
	for _, s := range table {
		s.Pool = unique.Make(s.Pool).Value()
		s.Zone = unique.Make(s.Zone).Value()
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func serversByName(list []Server) map[string]Server {
	table := make(map[string]Server, len(list))
	for _, s := range list {
		table[s.Name] = s
	}
	return table
}
