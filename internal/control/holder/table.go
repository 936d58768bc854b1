// Package holder serves the lease holders of the fleet: entries and agents. It
// keeps the tables of leases and of backend servers, and makes the service
// report.
package holder

import (
	"cmp"
	"slices"
	"time"

	"bronzerill"
	"bronzerill/internal/wire/control"
)

// Bounds and timing of the tables.
const (
	// serversPerPage bounds a page of servers, which keeps a renewal of one second
	// inside the control budget.
	serversPerPage = 48
	// settleTime is how long a new leader waits until every live holder must
	// have renewed with it.
	settleTime = 2 * control.LeaseTerm
	// rowRetention is how long a server that is down keeps its row, so that its
	// chats find it again.
	rowRetention = 10 * time.Minute
	maxHolders   = 100_000
	maxRemoved      = 4096
)

// lease is the leader's record of one holder.
type lease struct {
	// until is never before the holder's own end of the lease.
	until time.Time
	// revision is what the holder said it has.
	revision uint64
	// generation is the process that renewed last.
	generation uint64
}

// row is one backend server as the leader knows it.
type row struct {
	control.Server
	load control.Load
	// seq is the table's sequence at the row's last change for entries.
	seq   uint64
	until time.Time
}

type removedServer struct {
	name string
	seq  uint64
}

// Table holds the leases and servers of the group's present leader. It is
// rebuilt by renewals when the lead changes.
type Table struct {
	term    uint64
	since   time.Time
	holders map[string]lease
	rows    map[string]*row
	seq     uint64
	// removed is sorted by seq; goneFrom is the oldest seq it is complete from.
	removed []removedServer
	removedAfter uint64
	leaving  map[string]bool
	// means holds the mean load by pool, as of the last tick.
	means map[string]float64
}

// NewTable returns the table of a leader that starts its term now.
func NewTable(now time.Time, term uint64) *Table {
	return &Table{
		term:    term,
		since:   now,
		holders: make(map[string]lease),
		rows:    make(map[string]*row),
		leaving: make(map[string]bool),
	}
}

// Term returns the leader's term.
func (t *Table) Term() uint64 { return t.term }

// IsSettled reports whether every live holder must have renewed with this
// leader, and every lease of an earlier one has lapsed.
func (t *Table) IsSettled(now time.Time) bool { return now.Sub(t.since) >= settleTime }

// SetLeaving takes the names that the platform's list calls leaving.
func (t *Table) SetLeaving(leaving map[string]bool) {
	t.leaving = leaving
	for _, r := range t.rows {
		if leaving[r.Name] && r.State.TakesWork() {
			t.setState(r, control.ServerLeaving)
		}
	}
}

// Renew grants a lease and returns what the holder lacks.
func (t *Table) Renew(now time.Time, c *bronzerill.Config, req *control.RenewRequest) control.RenewReply {
	if req.Released {
		t.release(req)
		return control.RenewReply{}
	}
	if _, ok := t.holders[req.Holder]; !ok && len(t.holders) >= maxHolders {
		return control.RenewReply{Failure: control.Failure{Kind: bronzerill.KindTableFull, Detail: "lease holders"}}
	}
	t.holders[req.Holder] = lease{until: now.Add(control.LeaseTerm), revision: req.Revision, generation: req.Generation}
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
	// The last word of an earlier process must not end its successor's lease.
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
	if t.leaving[server.Name] && server.State.TakesWork() {
		server.State = control.ServerLeaving
	}
	r := t.rows[server.Name]
	if r == nil {
		r = &row{}
		t.rows[server.Name] = r
	}
	if r.Generation > server.Generation {
		// A process that was replaced, thawed again.
		return
	}
	if r.Server != server {
		t.seq++
		r.seq = t.seq
		r.Server = server
	}
	r.load = req.Load
	r.until = now.Add(control.LeaseTerm)
}

func (t *Table) setState(r *row, state control.ServerState) {
	if r.State == state {
		return
	}
	t.seq++
	r.seq = t.seq
	r.State = state
}

// Tick marks servers whose agents fell silent, drops old rows and leases, and
// works out the mean loads.
func (t *Table) Tick(now time.Time, c *bronzerill.Config) {
	t.means = t.poolMeans(now, c)
	for name, r := range t.rows {
		if now.Before(r.until) {
			continue
		}
		t.setState(r, control.ServerDown)
		if now.Sub(r.until) > rowRetention {
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
		if now.After(l.until) {
			delete(t.holders, name)
		}
	}
}

// IsLive reports whether the agent of that name holds a lease.
func (t *Table) IsLive(now time.Time, agent string) bool {
	r := t.rows[agent]
	return r != nil && now.Before(r.until) && r.State != control.ServerDown
}

// IsInForce reports whether every holder has the revision, or no lease.
func (t *Table) IsInForce(now time.Time, revision uint64) bool {
	if !t.IsSettled(now) {
		return false
	}
	for _, l := range t.holders {
		if l.revision < revision && now.Before(l.until) {
			return false
		}
	}
	return true
}

// poolMeans returns the mean load by pool over the servers that take new work.
func (t *Table) poolMeans(now time.Time, c *bronzerill.Config) map[string]float64 {
	servers := make(map[string]int)
	means := make(map[string]float64)
	for _, r := range t.rows {
		if t.takesWork(now, c, r) {
			servers[r.Pool]++
			means[r.Pool] += float64(r.load.Running)
		}
	}
	for pool, n := range servers {
		means[pool] /= float64(n)
	}
	return means
}

func (t *Table) takesWork(now time.Time, c *bronzerill.Config, r *row) bool {
	zone, _ := c.Zone(r.Zone)
	return r.State.TakesWork() && now.Before(r.until) && !zone.Out
}

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

func (t *Table) removedBetween(after, upTo uint64) []string {
	var names []string
	for _, g := range t.removed {
		if _, back := t.rows[g.name]; g.seq > after && g.seq <= upTo && !back {
			names = append(names, g.name)
		}
	}
	return names
}

// Servers returns every row in order of name.
func (t *Table) Servers() []control.Server {
	list := make([]control.Server, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, r.Server)
	}
	slices.SortFunc(list, func(a, b control.Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// HolderCount returns the number of leases.
func (t *Table) HolderCount() int { return len(t.holders) }
