package control

import (
	"cmp"
	"slices"
	"time"
	"unique"

	"bronzerill"
)

// View is an immutable snapshot of what a lease holder knows.
type View struct {
	Config *bronzerill.Config
	// Servers is the server table, sorted by pool and name. It is set at entries
	// only.
	Servers []Server
	// ServersVersion changes whenever Servers changes.
	ServersVersion uint64
	// MeanLoad is the mean load of the agent's pool at MeanLoadAt.
	MeanLoad   float64
	MeanLoadAt time.Time
	Leaving    bool
	// LeaseUntil is the end of the lease on the monotonic clock. The lease starts
	// when the holder sends the renewal.
	LeaseUntil time.Time
}

// HasLease reports whether the lease is valid. Without a lease the holder must not
// accept new requests.
func (v *View) HasLease(now time.Time) bool { return now.Before(v.LeaseUntil) }

// WithReply returns the view updated by the reply to a renewal sent at sentAt.
func (v *View) WithReply(sentAt time.Time, r *RenewReply) *View {
	next := *v
	if r.Delta != nil {
		next.Config, _ = v.Config.WithDelta(*r.Delta)
	}
	next.MeanLoad = r.Mean
	next.MeanLoadAt = sentAt
	next.Leaving = r.Leaving
	if until := sentAt.Add(LeaseTerm); until.After(v.LeaseUntil) {
		next.LeaseUntil = until
	}
	return &next
}

// WithServers returns the view with a new server table.
func (v *View) WithServers(servers []Server) *View {
	next := *v
	next.Servers = servers
	next.ServersVersion++
	return &next
}

// sortServers returns the table as a list sorted by pool and name. It interns the
// names of pools and zones, since many rows share them.
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
