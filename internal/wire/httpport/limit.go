package httpport

import (
	"time"

	"bronzerill/internal/wire/memory"
)

// Limits of the number of connections.
const (
	// reservePercent is how much of the connections is kept free: connections yield before the port is full, so that new
	// ones needn't wait until those are closed.
	reservePercent = 12
	// stallGrace is how long a client may pause within a request or response before it yields before idle ones.
	stallGrace = time.Second
	// retryInterval is the time between two tries to make room while the port is full.
	retryInterval = 50 * time.Millisecond
)

// awaitRoom waits until another connection may be accepted. It returns false if the port was closed.
func (p *Port) awaitRoom() bool {
	if p.cfg.MaxConns == 0 {
		return true
	}
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for !p.makeRoom(p.cfg.Clock()) {
		select {
		case <-p.closed:
			return false
		case <-p.roomMade:
		case <-retry.C:
		}
	}
	return true
}

// makeRoom makes a connection yield if the port is about to be full. It reports whether another one may be accepted.
func (p *Port) makeRoom(now time.Time) bool {
	p.mu.Lock()
	remaining := make([]*portConn, 0, len(p.conns))
	for c := range p.conns {
		if !c.transfer.Yielded() {
			remaining = append(remaining, c)
		}
	}
	open := len(p.conns)
	p.mu.Unlock()
	if len(remaining) >= p.cfg.MaxConns-p.cfg.MaxConns*reservePercent/100 {
		if c := firstToYield(now, remaining); c != nil {
			c.transfer.Yield()
		}
	}
	return open < p.cfg.MaxConns
}

// signalRoom wakes awaitRoom.
func (p *Port) signalRoom() {
	select {
	case p.roomMade <- struct{}{}:
	default:
	}
}

// firstToYield returns the connection that yields first, nil if none can: of those whose clients have stalled within a request
// or response the one that has for longest, then the one that has waited longest.
func firstToYield(now time.Time, conns []*portConn) *portConn {
	var first *portConn
	var firstStalled bool
	var firstSince time.Time
	for _, c := range conns {
		phase, since := c.transfer.Phase()
		if phase == memory.PhaseWorking {
			continue
		}
		stalled := phase != memory.PhaseIdle && now.Sub(since) > stallGrace
		if first == nil || stalled && !firstStalled || stalled == firstStalled && since.Before(firstSince) {
			first, firstStalled, firstSince = c, stalled, since
		}
	}
	return first
}
