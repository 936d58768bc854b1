package holder

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/control/state"
)

// fakeGroup is a log of one replica, which leads in each term.
type fakeGroup struct {
	machine *state.Machine
	term    uint64
	log     [][]byte
	// stalls is set while commands are appended but not committed.
	stalls  bool
	applied int
}

var _ Group = (*fakeGroup)(nil)

func (g *fakeGroup) Propose(ctx context.Context, command []byte) (any, error) {
	await, err := g.Enqueue(ctx, g.term, command)
	if err != nil {
		return nil, err
	}
	return await()
}

func (g *fakeGroup) Enqueue(_ context.Context, term uint64, command []byte) (func() (any, error), error) {
	return func() (any, error) {
		if term != g.term {
			return nil, bronzerill.Errorf(bronzerill.KindNotLeader, "the term has ended")
		}
		g.log = append(g.log, command)
		if g.stalls {
			return nil, bronzerill.Errorf(bronzerill.KindNoQuorum, "no quorum answered in time")
		}
		var result any
		for ; g.applied < len(g.log); g.applied++ {
			result = g.machine.Apply(uint64(g.applied+1), g.log[g.applied])
		}
		return result, nil
	}, nil
}

func (g *fakeGroup) HasLease(time.Time) bool { return true }

func (g *fakeGroup) Status(time.Time) replica.Status {
	return replica.Status{IsLeader: true, Lease: true, Term: g.term}
}

func newTicketService() (*Service, *fakeGroup) {
	group := &fakeGroup{machine: state.NewMachine(), term: 1}
	return NewService(ServiceConfig{Group: group, Machine: group.machine, Clock: time.Now, Log: hclog.NewNullLogger(), LeaderAddr: func(string) string { return "" }}), group
}

func (s *Service) submit(number uint64, changes bronzerill.Changes) bronzerill.Kind {
	ticket := bronzerill.Ticket{Number: number, Changes: changes}
	_, err := s.Propose(context.Background(), state.Command{Ticket: &state.TicketCommand{Ticket: ticket}})
	return bronzerill.KindOf(err)
}

func zoneChange(name string, out bool) bronzerill.Changes {
	return bronzerill.Changes{Zones: []bronzerill.Zone{{Name: name, Out: out}}}
}

func zoneRemoval(name string) bronzerill.Changes {
	return bronzerill.Changes{Removals: []bronzerill.Removal{{Kind: bronzerill.EntityZone, Name: name}}}
}

// Guards against a ticket that is held up until its sender has given up, and undoes a newer one
// (issue 34, as review/1).
func TestLateTicketDoesNotUndoNewerOne(t *testing.T) {
	const conflict = bronzerill.KindTicketConflict
	type ticket struct {
		number  uint64
		changes bronzerill.Changes
		want    bronzerill.Kind
	}
	tests := []struct {
		name    string
		tickets []ticket
		// out is whether the zone is out in the end.
		out bool
	}{
		{"late one puts a zone back", []ticket{{1, zoneChange("a", false), 0}, {3, zoneChange("a", true), 0}, {2, zoneChange("a", false), conflict}}, true},
		{"late one removes a zone", []ticket{{1, zoneChange("a", false), 0}, {3, zoneChange("a", true), 0}, {2, zoneRemoval("a"), conflict}}, true},
		{"late one creates a zone again", []ticket{{1, zoneChange("a", true), 0}, {3, zoneRemoval("a"), 0}, {2, zoneChange("a", true), conflict}}, false},
		{"another zone", []ticket{{3, zoneChange("a", true), 0}, {2, zoneChange("b", true), 0}}, true},
		{"resent", []ticket{{1, zoneChange("a", false), 0}, {2, zoneChange("a", true), 0}, {1, zoneChange("a", false), 0}}, true},
		{"newer one of a late one", []ticket{{3, zoneChange("a", false), 0}, {2, zoneChange("a", false), conflict}, {4, zoneChange("a", true), 0}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, group := newTicketService()
			for _, ticket := range test.tickets {
				require.Equal(t, ticket.want, s.submit(ticket.number, ticket.changes), "ticket %d", ticket.number)
			}
			zone, _ := group.machine.Config().Zone("a")
			require.Equal(t, test.out, zone.Out)
		})
	}
}

// The newer ticket isn't committed yet when the late one arrives.
func TestLateTicketDoesNotFollowPendingOne(t *testing.T) {
	for name, between := range map[string]func(g *fakeGroup){
		"same leader": func(*fakeGroup) {}, "another leader": func(g *fakeGroup) { g.term++ },
	} {
		t.Run(name, func(t *testing.T) {
			s, group := newTicketService()
			require.Equal(t, bronzerill.KindNone, s.submit(1, zoneChange("a", false)))
			group.stalls = true
			require.Equal(t, bronzerill.KindNoQuorum, s.submit(3, zoneChange("a", true)))
			group.stalls = false
			between(group)
			require.Equal(t, bronzerill.KindTicketConflict, s.submit(2, zoneChange("a", false)))
			require.Equal(t, bronzerill.KindNone, s.submit(3, zoneChange("a", true)), "resent")
			zone, _ := group.machine.Config().Zone("a")
			require.True(t, zone.Out)
		})
	}
}
