package holder

import (
	"context"

	"bronzerill"
	"bronzerill/internal/control/state"
)

// ticketOrder submits tickets one at a time, so that each is compared with all earlier ones.
type ticketOrder struct {
	// turn holds a token while a ticket is being submitted.
	turn chan struct{}
	// settledTerm is the term in which all tickets that were appended before have been applied. It
	// is 0 after a ticket whose outcome is unknown.
	settledTerm uint64
}

func newTicketOrder() ticketOrder { return ticketOrder{turn: make(chan struct{}, 1)} }

// proposeTicket replicates a ticket. It refuses one that was overtaken: it may arrive after its
// sender has given up, when a ticket with a higher number has changed the same entities. The check is
// made before the ticket is appended, since replicas of earlier builds apply all that is.
func (s *Service) proposeTicket(ctx context.Context, ticket bronzerill.Ticket, data []byte) (any, error) {
	select {
	case s.tickets.turn <- struct{}{}:
		defer func() { <-s.tickets.turn }()
	case <-ctx.Done():
		return nil, bronzerill.Errorf(bronzerill.KindTableFull, "other tickets are being submitted")
	}
	term := s.cfg.Group.Status(s.cfg.Clock()).Term
	if err := s.settleTickets(ctx, term); err != nil {
		return nil, err
	}
	if overtaken := s.cfg.Machine.Overtaken(ticket); overtaken != "" {
		return nil, bronzerill.Errorf(bronzerill.KindTicketConflict, "%s", overtaken)
	}
	value, err := s.enqueue(ctx, term, data)
	if err != nil {
		s.tickets.settledTerm = 0
	}
	return value, err
}

// settleTickets waits until all commands that were appended before have been applied.
func (s *Service) settleTickets(ctx context.Context, term uint64) error {
	if s.tickets.settledTerm == term {
		return nil
	}
	data, err := state.Command{At: s.cfg.Clock(), Expire: &state.Expire{}}.Encode()
	if err != nil {
		return bronzerill.Errorf(bronzerill.KindInternal, "encode command: %v", err)
	}
	if _, err := s.enqueue(ctx, term, data); err != nil {
		return err
	}
	s.tickets.settledTerm = term
	return nil
}

func (s *Service) enqueue(ctx context.Context, term uint64, data []byte) (any, error) {
	await, err := s.cfg.Group.Enqueue(ctx, term, data)
	if err != nil {
		return nil, err
	}
	return await()
}
