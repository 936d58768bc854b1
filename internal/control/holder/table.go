// Package holder serves the lease holders of the fleet, which are entries and
// agents. It maintains the tables of leases and backend servers, and generates
// the service reports.
package holder

import (
	"cmp"
	"slices"
	"time"

	"bronzerill"
	"bronzerill/internal/wire/control"
)

// Limits and timing of the tables.
const (
	// serversPerPage bounds a page of servers, so that renewals at one per second
	// stay within the budget for control traffic.
	serversPerPage = 48
	// settleTime is how long a new leader waits until it can rely on its table. By
	// then, every live holder must have renewed its lease with it.
	settleTime = 2 * control.LeaseTerm
	// rowRetention is how long the row of a server that is down is kept, so that
	// its chats return to it if it recovers.
	rowRetention = 10 * time.Minute
	maxHolders   = 100_000
	maxRemoved   = 4096
)

// lease is the leader's record of one holder.
type lease struct {
	// leaseUntil is the expiry of the lease. It is never before the expiry that the
	// holder itself assumes.
	leaseUntil time.Time
	// revision is the configuration revision that the holder last reported.
	revision uint64
	// generation is the generation of the process that renewed last.
	generation uint64
}

// row is the leader's record of one backend server.
type row struct {
	control.Server
	load control.Load
	// seq is the sequence number of the row's last change that entries must
	// receive.
	seq uint64
	// leaseUntil is the expiry of the agent's lease.
	leaseUntil time.Time
}

// removedServer records that the row of a server was removed.
type removedServer struct {
	name string
	seq  uint64
}

// Table holds the leases and servers that the current leader of the group knows.
// After a change of leader, renewals fill a new table. Table isn't safe for
// concurrent use.
type Table struct {
	term uint64
	// termStart is when the term started.
	termStart time.Time
	holders   map[string]lease
	rows      map[string]*row
	// seq is the sequence number of the last change or removal of a row.
	seq uint64
	// removed lists the removed servers, sorted by seq. It is complete for sequence
	// numbers above removedAfter.
	removed      []removedServer
	removedAfter uint64
	// leaving holds the names that the platform's list marks as leaving.
	leaving map[string]bool
	// means holds the mean load by pool at the last tick.
	means map[string]float64
}

// NewTable returns an empty table for a leader that starts its term now.
func NewTable(now time.Time, term uint64) *Table {
	return &Table{
		term:      term,
		termStart: now,
		holders:   make(map[string]lease),
		rows:      make(map[string]*row),
		leaving:   make(map[string]bool),
	}
}

// Term returns the leader's term.
func (t *Table) Term() uint64 { return t.term }

// IsSettled reports whether the leader has led for settleTime. Then every live
// holder must have renewed with it, and the leases that an earlier leader granted
// have expired.
func (t *Table) IsSettled(now time.Time) bool { return now.Sub(t.termStart) >= settleTime }

// SetLeaving sets the names of the servers that the platform's list marks as
// leaving.
func (t *Table) SetLeaving(leaving map[string]bool) {
	t.leaving = leaving
	for _, r := range t.rows {
		if leaving[r.Name] && r.State.AcceptsRequests() {
			t.setState(r, control.ServerLeaving)
		}
	}
}

// Renew grants or releases a lease. For a grant, the reply holds the changes that
// the holder is missing.
func (t *Table) Renew(now time.Time, c *bronzerill.Config, req *control.RenewRequest) control.RenewReply {
	if req.Released {
		t.release(req)
		return control.RenewReply{}
	}
	if _, ok := t.holders[req.Holder]; !ok && len(t.holders) >= maxHolders {
		return control.RenewReply{Failure: control.Failure{Kind: bronzerill.KindTableFull, Detail: "too many lease holders"}}
	}
	t.holders[req.Holder] = lease{leaseUntil: now.Add(control.LeaseTerm), revision: req.Revision, generation: req.Generation}
	var reply control.RenewReply
	if req.Revision < c.Revision() {
		d := c.DeltaSince(req.Revision)
		reply.Delta = &d
	}
	if req.Server != nil {
		t.renewServer(now, req)
		reply.Mean = t.means[req.Server.Pool]
		reply.Leaving = t.leaving[req.Server.Name]
	}
	if req.WantServers && t.IsSettled(now) {
		reply.Servers = t.serversSince(req.ServersTerm, req.ServersSeq)
	}
	return reply
}

func (t *Table) release(req *control.RenewRequest) {
	// A late release by an earlier process must not end the lease of its successor.
	if t.holders[req.Holder].generation == req.Generation {
		delete(t.holders, req.Holder)
	}
	if req.Server == nil {
		return
	}
	if r := t.rows[req.Server.Name]; r != nil && r.Generation == req.Generation {
		t.setState(r, control.ServerDown)
	}
}

func (t *Table) renewServer(now time.Time, req *control.RenewRequest) {
	server := *req.Server
	server.Generation = req.Generation
	if t.leaving[server.Name] && server.State.AcceptsRequests() {
		server.State = control.ServerLeaving
	}
	r := t.rows[server.Name]
	if r == nil {
		r = &row{}
		t.rows[server.Name] = r
	}
	if r.Generation > server.Generation {
		// The process was suspended and resumed after a newer one had replaced it.
		return
	}
	if r.Server != server {
		t.seq++
		r.seq = t.seq
		r.Server = server
	}
	r.load = req.Load
	r.leaseUntil = now.Add(control.LeaseTerm)
}

func (t *Table) setState(r *row, state control.ServerState) {
	if r.State == state {
		return
	}
	t.seq++
	r.seq = t.seq
	r.State = state
}

// Tick computes the mean loads, marks the servers of silent agents as down, and
// drops old rows and expired leases.
func (t *Table) Tick(now time.Time, c *bronzerill.Config) {
	t.means = t.poolMeans(now, c)
	for name, r := range t.rows {
		if now.Before(r.leaseUntil) {
			continue
		}
		t.setState(r, control.ServerDown)
		if now.Sub(r.leaseUntil) > rowRetention {
			delete(t.rows, name)
			t.seq++
			t.removed = append(t.removed, removedServer{name, t.seq})
		}
	}
	if excess := len(t.removed) - maxRemoved; excess > 0 {
		t.removedAfter = t.removed[excess-1].seq
		t.removed = t.removed[excess:]
	}
	for name, l := range t.holders {
		if now.After(l.leaseUntil) {
			delete(t.holders, name)
		}
	}
}

// IsLive reports whether the agent holds a lease and its server isn't down.
func (t *Table) IsLive(now time.Time, agent string) bool {
	r := t.rows[agent]
	return r != nil && now.Before(r.leaseUntil) && r.State != control.ServerDown
}

// IsInForce reports whether every holder with a lease has the revision. It is
// false until the table is settled.
func (t *Table) IsInForce(now time.Time, revision uint64) bool {
	if !t.IsSettled(now) {
		return false
	}
	for _, l := range t.holders {
		if l.revision < revision && now.Before(l.leaseUntil) {
			return false
		}
	}
	return true
}

// poolMeans returns the mean number of running requests by pool, over the
// available servers.
func (t *Table) poolMeans(now time.Time, c *bronzerill.Config) map[string]float64 {
	servers := make(map[string]int)
	means := make(map[string]float64)
	for _, r := range t.rows {
		if t.isAvailable(now, c, r) {
			servers[r.Pool]++
			means[r.Pool] += float64(r.load.Running)
		}
	}
	for pool, n := range servers {
		means[pool] /= float64(n)
	}
	return means
}

// isAvailable reports whether the server accepts new requests, the lease of its
// agent is valid and its zone is in service.
func (t *Table) isAvailable(now time.Time, c *bronzerill.Config, r *row) bool {
	zone, _ := c.Zone(r.Zone)
	return r.State.AcceptsRequests() && now.Before(r.leaseUntil) && !zone.Out
}

// serversSince returns the next page of changes after seq, or nil if there are
// none. If seq is of another term or older than the recorded removals, it
// starts over with the first page of the whole table.
func (t *Table) serversSince(term, seq uint64) *control.ServersDelta {
	d := &control.ServersDelta{Term: t.term, Seq: seq}
	if term != t.term || seq < t.removedAfter {
		d.Full = true
		d.Seq = 0
		seq = 0
	}
	if seq >= t.seq && !d.Full {
		return nil
	}
	changed := t.changedSince(seq)
	if len(changed) > serversPerPage {
		changed = changed[:serversPerPage]
		d.More = true
	}
	for _, r := range changed {
		d.Servers = append(d.Servers, r.Server)
		d.Seq = r.seq
	}
	if d.More {
		d.Gone = t.removedBetween(seq, d.Seq)
		return d
	}
	d.Gone = t.removedBetween(seq, t.seq)
	d.Seq = t.seq
	return d
}

// changedSince returns the rows that changed after seq, sorted by sequence number.
func (t *Table) changedSince(seq uint64) []*row {
	var changed []*row
	for _, r := range t.rows {
		if r.seq > seq {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *row) int { return cmp.Compare(a.seq, b.seq) })
	return changed
}

// removedBetween returns the servers removed after the sequence number after, up
// to and including upTo, that haven't returned.
func (t *Table) removedBetween(after, upTo uint64) []string {
	var names []string
	for _, g := range t.removed {
		if _, back := t.rows[g.name]; g.seq > after && g.seq <= upTo && !back {
			names = append(names, g.name)
		}
	}
	return names
}

// Servers returns all servers, sorted by name.
func (t *Table) Servers() []control.Server {
	list := make([]control.Server, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, r.Server)
	}
	slices.SortFunc(list, func(a, b control.Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// HolderCount returns the number of leases in the table.
func (t *Table) HolderCount() int { return len(t.holders) }
