package router

import (
	"context"
	"time"

	"bronzerill/internal/control/replica"
)

// applyTimeout is the time in which entries that are committed must be applied, and applyInterval the time between checks.
const (
	applyTimeout  = 300 * time.Millisecond
	applyInterval = 10 * time.Millisecond
)

// recoverState reports whether this router's replica has applied all that was committed, although there may be no leader yet: the
// disks of a quorum show it.
func (g *group) recoverState(ctx context.Context, now time.Time) bool {
	node := g.replica()
	if node == nil {
		return false
	}
	status := node.Status(now)
	var others []replica.Member
	for _, m := range status.Members.List {
		if m.Voter && m.Name != status.Name {
			others = append(others, m)
		}
	}
	tails := make(map[string]replica.Tail)
	replies := g.askDisks(ctx, others)
	for _, m := range others {
		if reply := replies[m.Name]; m.Folder != "" && reply.Folder == m.Folder {
			tails[m.Name] = reply.Tail
		}
	}
	index, committed := node.CommitFromDisks(tails)
	if !committed {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for node.Status(time.Now()).Applied < index {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(applyInterval):
		}
	}
	return true
}
