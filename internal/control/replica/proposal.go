package replica

import (
	"context"
	"time"

	"bronzerill"
)

type proposal struct {
	data []byte
	// term is the only term in which the command may be appended. 0 allows any.
	term   uint64
	change func(Members) (Members, error)
	reply  chan proposalResult
}

type proposalResult struct {
	value any
	err   error
}

type pendingProposal struct {
	term  uint64
	reply chan proposalResult
}

// Propose replicates a command and returns the result of the state machine.
// After an error of kind no-quorum, the command may still take effect.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	return n.submit(ctx, proposal{data: command, reply: make(chan proposalResult, 1)})
}

// Enqueue queues a command that may be appended to the log in the given term only. It returns
// a function that waits for the result as Propose does. Commands are appended in the order in
// which they were queued.
func (n *Node) Enqueue(ctx context.Context, term uint64, command []byte) (await func() (any, error), err error) {
	p := proposal{data: command, term: term, reply: make(chan proposalResult, 1)}
	if err := n.enqueue(ctx, p); err != nil {
		return nil, err
	}
	return func() (any, error) { return n.await(ctx, p) }, nil
}

// ChangeMembers proposes the member list that change derives from the current
// one. It doesn't wait for the commit.
func (n *Node) ChangeMembers(ctx context.Context, change func(Members) (Members, error)) error {
	_, err := n.submit(ctx, proposal{change: change, reply: make(chan proposalResult, 1)})
	return err
}

func (n *Node) submit(ctx context.Context, p proposal) (any, error) {
	if err := n.enqueue(ctx, p); err != nil {
		return nil, err
	}
	return n.await(ctx, p)
}

func (n *Node) enqueue(ctx context.Context, p proposal) error {
	select {
	case n.proposals <- p:
		return nil
	case <-n.stopped:
		return bronzerill.Errorf(bronzerill.KindNotLeader, "the replica has stopped")
	case <-ctx.Done():
		return bronzerill.Errorf(bronzerill.KindTableFull, "proposal queue is full")
	}
}

// await waits for the result of a queued proposal. The replica may have saved a proposal before it
// stopped, so that it takes effect later.
func (n *Node) await(ctx context.Context, p proposal) (any, error) {
	select {
	case r := <-p.reply:
		return r.value, r.err
	case <-n.stopped:
	case <-ctx.Done():
		return nil, bronzerill.Errorf(bronzerill.KindNoQuorum, "no quorum answered in time")
	}
	select {
	case r := <-p.reply:
		return r.value, r.err
	default:
		return nil, bronzerill.Errorf(bronzerill.KindNoQuorum, "the replica has stopped")
	}
}

// drainProposals appends all queued proposals, so that one sync saves them all.
func (n *Node) drainProposals(now time.Time, first proposal) {
	n.propose(now, first)
	for range len(n.proposals) {
		n.propose(now, <-n.proposals)
	}
}

func (n *Node) propose(now time.Time, p proposal) {
	if p.change != nil {
		next, err := p.change(n.core.Members())
		if err == nil {
			err = n.core.ProposeMembers(now, next)
		}
		p.reply <- proposalResult{err: err}
		return
	}
	if p.term != 0 && p.term != n.core.Term() {
		p.reply <- proposalResult{err: bronzerill.Errorf(bronzerill.KindNotLeader, "the term has ended")}
		return
	}
	index, term, err := n.core.Propose(now, p.data)
	if err != nil {
		p.reply <- proposalResult{err: err}
		return
	}
	n.pendingProposals[index] = pendingProposal{term: term, reply: p.reply}
}
