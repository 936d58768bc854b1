package replica

import (
	"context"
	"time"

	"bronzerill"
)

// maxPendingReads bounds the reads that wait for a quorum.
const maxPendingReads = 1024

// pendingRead is a linearizable read that waits until a quorum has confirmed,
// after the arrival of the read, that this replica leads. A timed lease isn't
// enough: an instance that was suspended still counts its own lease as valid.
type pendingRead struct {
	// startedAt is the leader's clock when the read arrived.
	startedAt time.Duration
	// index must be applied before the read is answered.
	index uint64
	term  uint64
	reply chan error
}

// AwaitReadIndex returns once a quorum has confirmed that this replica led the
// group after the call began, and the replica has applied everything that was
// committed then.
func (n *Node) AwaitReadIndex(ctx context.Context) error {
	reply := make(chan error, 1)
	select {
	case n.reads <- reply:
	case <-n.stopped:
		return bronzerill.Errorf(bronzerill.KindNotLeader, "the replica has stopped")
	case <-ctx.Done():
		return bronzerill.Errorf(bronzerill.KindTableFull, "read queue is full")
	}
	select {
	case err := <-reply:
		return err
	case <-n.stopped:
		return bronzerill.Errorf(bronzerill.KindNotLeader, "the replica has stopped")
	case <-ctx.Done():
		return bronzerill.Errorf(bronzerill.KindNoQuorum, "no quorum answered in time")
	}
}

// ReadIndex starts a linearizable read. It returns the index that must be
// applied before the read, and the time on the leader's clock. The read is
// confirmed once a quorum has answered a message that was sent after that time.
// ok is false unless the replica leads and has committed an entry of its own
// term.
func (c *Core) ReadIndex(now time.Time) (index uint64, startedAt time.Duration, ok bool) {
	if c.role != leader || c.hard.Commit < c.noopIndex {
		return 0, 0, false
	}
	// The next tick sends heartbeats, which the quorum answers.
	c.heartbeatAt = now
	return c.hard.Commit, c.sinceEpoch(now), true
}

// IsReadConfirmed reports whether the replica still leads the given term, and a
// quorum has answered a message that was sent after startedAt.
func (c *Core) IsReadConfirmed(now time.Time, startedAt time.Duration, term uint64) bool {
	return c.role == leader && c.hard.Term == term && c.quorumAck(now) > startedAt
}

func (n *Node) startRead(now time.Time, reply chan error) {
	index, startedAt, ok := n.core.ReadIndex(now)
	switch {
	case !ok:
		reply <- bronzerill.Errorf(bronzerill.KindNotLeader, "%s", n.core.Leader())
	case len(n.pendingReads) >= maxPendingReads:
		reply <- bronzerill.Errorf(bronzerill.KindTableFull, "%d reads wait for a quorum", maxPendingReads)
	default:
		n.pendingReads = append(n.pendingReads, pendingRead{startedAt: startedAt, index: index, term: n.core.Term(), reply: reply})
	}
}

// finishReads answers the reads that are confirmed, and fails those that can't
// be confirmed any more.
func (n *Node) finishReads(now time.Time) {
	remaining := n.pendingReads[:0]
	for _, read := range n.pendingReads {
		switch {
		case !n.core.IsLeader() || n.core.Term() != read.term:
			read.reply <- bronzerill.Errorf(bronzerill.KindNotLeader, "leadership was lost")
		case n.core.Applied() >= read.index && n.core.IsReadConfirmed(now, read.startedAt, read.term):
			read.reply <- nil
		default:
			remaining = append(remaining, read)
		}
	}
	n.pendingReads = remaining
}
