package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/wire/control"
)

const step = 50 * time.Millisecond

// message is a renewal or a reply in transit.
type message struct {
	deliverAt time.Time
	holder    int
	sentAt    time.Time
	request   *control.RenewRequest
	reply     *control.RenewReply
}

// simulation runs a leader, its successors and several lease holders on a
// simulated clock. Messages are lost, duplicated and delayed, holders are
// suspended, and the leader changes.
type simulation struct {
	t              *testing.T
	random         *rand.Rand
	now            time.Time
	config         *bronzerill.Config
	table          *Table
	term           uint64
	views          []*control.View
	suspendedUntil []time.Time
	renewAt        []time.Time
	messages       []message
	// committedAt holds the time at which each revision was committed.
	committedAt map[uint64]time.Time
	inForce     uint64
}

func newSimulation(t *testing.T, seed uint64, count int) *simulation {
	h := &simulation{
		t:              t,
		random:         rand.New(rand.NewPCG(seed, 7)),
		now:            time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC),
		config:         &bronzerill.Config{},
		term:           1,
		committedAt:    make(map[uint64]time.Time),
		suspendedUntil: make([]time.Time, count),
		renewAt:        make([]time.Time, count),
	}
	h.table = NewTable(h.now, h.term)
	for range count {
		h.views = append(h.views, &control.View{Config: &bronzerill.Config{}})
	}
	return h
}

func (s *simulation) send(m message) {
	for s.random.IntN(10) < 9 {
		m.deliverAt = s.now.Add(time.Duration(s.random.Int64N(int64(400 * time.Millisecond))))
		if s.random.IntN(30) == 0 {
			m.deliverAt = m.deliverAt.Add(4 * time.Second)
		}
		s.messages = append(s.messages, m)
		if s.random.IntN(10) > 0 {
			return
		}
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(step)
	s.maybeCommit()
	s.maybeChangeLeader()
	s.table.Tick(s.now, s.config)
	for n := range s.views {
		if s.random.IntN(200) == 0 {
			s.suspendedUntil[n] = s.now.Add(time.Duration(s.random.IntN(8000)) * time.Millisecond)
		}
		if s.isSuspended(n) || s.now.Before(s.renewAt[n]) {
			continue
		}
		s.renewAt[n] = s.now.Add(control.EntryRenewalInterval)
		s.send(message{holder: n, sentAt: s.now, request: &control.RenewRequest{
			Holder: fmt.Sprintf("entry-%d", n), Revision: s.views[n].Config.Revision(), WantServers: true,
		}})
	}
	s.deliver()
	s.check()
}

func (s *simulation) isSuspended(n int) bool { return s.now.Before(s.suspendedUntil[n]) }

func (s *simulation) maybeCommit() {
	if s.random.IntN(20) > 0 {
		return
	}
	s.config = s.config.WithChanges(bronzerill.Changes{Zones: []bronzerill.Zone{{Name: "canela", Out: s.random.IntN(2) == 0}}})
	s.committedAt[s.config.Revision()] = s.now
}

// maybeChangeLeader sometimes starts a new leader with an empty table. Package
// replica ensures that a new leader doesn't lead before the lease of its
// predecessor has expired.
func (s *simulation) maybeChangeLeader() {
	if s.random.IntN(300) > 0 {
		return
	}
	s.term++
	s.table = NewTable(s.now, s.term)
}

func (s *simulation) deliver() {
	var later []message
	due := s.messages
	s.messages = nil
	for _, m := range due {
		switch {
		case m.deliverAt.After(s.now), m.reply != nil && s.isSuspended(m.holder):
			later = append(later, m)
		case m.request != nil:
			reply := s.table.Renew(s.now, s.config, m.request)
			s.send(message{holder: m.holder, sentAt: m.sentAt, reply: &reply})
		default:
			s.receive(m)
		}
	}
	s.messages = append(s.messages, later...)
}

func (s *simulation) receive(m message) {
	before := s.views[m.holder]
	after := before.WithReply(m.sentAt, m.reply)
	require.GreaterOrEqual(s.t, after.Config.Revision(), before.Config.Revision(), "revision of a holder decreased")
	s.views[m.holder] = after
}

// check verifies the guarantees of leases for every holder that may act now.
func (s *simulation) check() {
	for revision := s.inForce + 1; revision <= s.config.Revision(); revision++ {
		if s.table.IsInForce(s.now, revision) {
			s.inForce = revision
		}
	}
	for n, v := range s.views {
		if !v.HasLease(s.now) {
			continue
		}
		require.GreaterOrEqual(s.t, v.Config.Revision(), s.inForce, "holder %d acts on a revision older than the one in force", n)
		next := v.Config.Revision() + 1
		if at, ok := s.committedAt[next]; ok {
			require.LessOrEqual(s.t, s.now.Sub(at), control.LeaseTerm, "holder %d acts on a revision that was replaced more than a lease term ago", n)
		}
	}
}

// TestLeasesKeepRevisionsInForce checks that an accepted configuration is in force
// within the lease term and is never reverted.
func TestLeasesKeepRevisionsInForce(t *testing.T) {
	for seed := range uint64(15) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			h := newSimulation(t, seed, 20)
			for range 2000 {
				h.step()
			}
			assert.NotZero(t, h.inForce, "no revision came into force")
		})
	}
}

// TestHolderCatchesUpByDeltaOrSnapshot covers a holder that returns after many
// changes. It gets a snapshot if it missed more removals than the configuration
// keeps.
func TestHolderCatchesUpByDeltaOrSnapshot(t *testing.T) {
	cases := []struct {
		name     string
		changes  int
		snapshot bool
	}{{"delta", 300, false}, {"snapshot", 5000, true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := (&bronzerill.Config{}).WithChanges(addZone("first"))
			old := &control.View{Config: config}
			for n := range c.changes {
				name := fmt.Sprintf("zone-%d", n)
				config = config.WithChanges(addZone(name))
				config = config.WithChanges(bronzerill.Changes{Removals: []bronzerill.Removal{{Kind: bronzerill.EntityZone, Name: name}}})
			}
			config = config.WithChanges(addZone("last"))
			now := time.Now()
			table := NewTable(now, 1)
			reply := table.Renew(now, config, &control.RenewRequest{Holder: "entry-1", Revision: old.Config.Revision()})
			require.NotNil(t, reply.Delta)
			assert.Equal(t, c.snapshot, reply.Delta.Snapshot)
			view := old.WithReply(now, &reply)
			assert.Equal(t, config.Zones(), view.Config.Zones())
			assert.Equal(t, config.Revision(), view.Config.Revision())
		})
	}
}

func addZone(name string) bronzerill.Changes {
	return bronzerill.Changes{Zones: []bronzerill.Zone{{Name: name}}}
}
