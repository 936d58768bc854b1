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
	// unusedGrace is how long a client may take from a new connection to its first request before it yields before
	// idle ones.
	unusedGrace = 200 * time.Millisecond
	// sendingGrace is how long a client may take to read what is being sent before the response can be cut off for a new
	// connection. What was done for it would be lost.
	sendingGrace = 50 * time.Millisecond
	// closingGrace is how long a client that is still sending gets to finish a body that nobody reads, and then to read the
	// last response.
	closingGrace = 50 * time.Millisecond
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
	p.mu.Unlock()
	if len(remaining) >= p.cfg.MaxConns-p.cfg.MaxConns*reservePercent/100 {
		if c := firstToYield(now, remaining); c != nil && c.transfer.Yield() {
			p.noteYield(c)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) < p.cfg.MaxConns && len(p.lingering) < p.cfg.MaxConns
}

// noteYield notes that a connection was made to yield. One that was closed for it takes no descriptor any more, though the
// http.Server waits for a while.
func (p *Port) noteYield(c *portConn) {
	if phase, _ := c.transfer.Phase(); phase != memory.PhaseClosing {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, open := p.conns[c]; open {
		delete(p.conns, c)
		p.lingering[c] = struct{}{}
	}
}

// signalRoom wakes awaitRoom.
func (p *Port) signalRoom() {
	select {
	case p.roomMade <- struct{}{}:
	default:
	}
}

// yieldRank says which connections yield before others.
type yieldRank int

// The ranks, the first one first.
const (
	// rankClosing is a connection on which nothing follows but a response that was decided without the rest of the request.
	rankClosing yieldRank = iota
	// rankStalled is one whose client has stalled within a request or response.
	rankStalled
	// rankUnused is one on which no request came soon.
	rankUnused
	// rankLast is one that is going to be rankClosing. It yields soon, so others wait for it rather than take one of the
	// ranks below.
	rankLast
	// rankIdle is one between two requests.
	rankIdle
	// rankActive is one whose client sends or reads.
	rankActive
	// rankWorking is one whose request is being worked on, or whose response has just begun to be sent.
	rankWorking
)

// yields reports whether connections of a rank can be made to yield.
func (r yieldRank) yields() bool { return r != rankLast && r != rankWorking }

// rank returns the rank of a connection, and since when its client has made no progress.
func (c *portConn) rank(now time.Time) (yieldRank, time.Time) {
	phase, since := c.transfer.Phase()
	age := now.Sub(since)
	isLast := phase == memory.PhaseDiscarding || phase == memory.PhaseClosing
	switch {
	case phase == memory.PhaseWorking, phase == memory.PhaseSending && age < sendingGrace:
		return rankWorking, since
	case isLast && age < closingGrace:
		return rankLast, since
	case isLast:
		return rankClosing, since
	case phase == memory.PhaseIdle && c.wasServed():
		return rankIdle, since
	case phase == memory.PhaseIdle && age > unusedGrace:
		return rankUnused, since
	case age > stallGrace:
		return rankStalled, since
	}
	return rankActive, since
}

// firstToYield returns the connection that yields first, nil if none can at present: of those of the first rank the one whose
// client has made no progress for longest.
func firstToYield(now time.Time, conns []*portConn) *portConn {
	var first *portConn
	firstRank, firstSince := rankWorking, time.Time{}
	for _, c := range conns {
		rank, since := c.rank(now)
		if first == nil || rank < firstRank || rank == firstRank && since.Before(firstSince) {
			first, firstRank, firstSince = c, rank, since
		}
	}
	if !firstRank.yields() {
		return nil
	}
	return first
}
