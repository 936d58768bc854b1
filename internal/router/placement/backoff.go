package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill/internal/wire/httpheader"
)

// Parameters of the pauses that servers ask for.
const (
	// backoffTrialTimeout is how long the first request after a pause may stay without a
	// response before another one is sent.
	backoffTrialTimeout = 500 * time.Millisecond
	// peerBackoffMargin is how long a server is avoided after the pauses of peers. Only
	// backoffTrialSenders routers may send to it then, and tell the others if it pauses again.
	peerBackoffMargin   = 400 * time.Millisecond
	backoffTrialSenders = 3
	// maxGossipedBackoffs limits the pauses in one digest.
	maxGossipedBackoffs = 64
)

// statedBackoff is the pause that a server has asked this router for. After the pause, the
// server gets one request at first, since it may still be unable to take all of them.
type statedBackoff struct {
	// until is the end of the pause that ends last, and statedAt when the server began to ask
	// for pauses. Both are zero if the server has answered since.
	statedAt, until time.Time
	// trialAt is when the request that waits for a response after the pause was sent, or zero.
	trialAt time.Time
}

// isActive reports whether the server wants no requests now.
func (b *statedBackoff) isActive(now time.Time) bool { return now.Before(b.until) }

// wait returns the time until this router may send a request, at most 0 if it may now.
func (b *statedBackoff) wait(now time.Time) time.Duration {
	switch {
	case b.isActive(now):
		return b.until.Sub(now)
	case b.trialAt.IsZero():
		return 0
	}
	return b.trialAt.Add(backoffTrialTimeout).Sub(now)
}

// countSent records a request that is sent to the server.
func (b *statedBackoff) countSent(now time.Time) {
	if !b.until.IsZero() {
		b.trialAt = now
	}
}

// endTrial records the end of a request, which may have got no response.
func (b *statedBackoff) endTrial(sentAt time.Time) {
	if b.trialAt.Equal(sentAt) {
		b.trialAt = time.Time{}
	}
}

// SetBackoff records the response of a server that asks for a pause, or doesn't if pause is
// 0. A shorter pause doesn't end an earlier one; only a response to a later request does.
// SetBackoff reports whether the request was sent in an earlier pause.
func (t *Table) SetBackoff(now time.Time, c Choice, pause time.Duration) (sentInPause bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[c.ID]
	if !ok || !r.isSameProcess(c.Server) {
		return false
	}
	b := &r.backoff
	sentInPause = c.SentAt.After(b.statedAt) && b.isActive(c.SentAt)
	switch {
	case pause > 0:
		if b.until.IsZero() {
			b.statedAt = now
		}
		b.until, b.trialAt = latest(b.until, now.Add(min(pause, httpheader.MaxRetryAfter))), time.Time{}
	case !c.SentAt.Before(b.until):
		*b = statedBackoff{}
	}
	return sentInPause
}

// shortestBackoff returns the shortest time until a server that could take a request may get
// one again, and false if none has asked for a pause. Servers that were tried count too: they
// may take the request when the caller retries.
func (t *Table) shortestBackoff(now time.Time, q Query) (shortest time.Duration, found bool) {
	q.Excluded = nil
	for _, r := range t.servers {
		if wait := r.backoff.wait(now); wait > 0 && q.matches(r) && r.acceptsRequests() && (!found || wait < shortest) {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// peerPauses holds the ends of the two pauses of different peers that end last. A single peer
// may be refused for reasons of its own.
type peerPauses struct{ first, second time.Time }

func (p peerPauses) with(until time.Time) peerPauses {
	if until.After(p.first) {
		return peerPauses{first: until, second: p.first}
	}
	return peerPauses{first: p.first, second: latest(p.second, until)}
}

// avoids reports whether this router prefers other servers than r, because peers are in pauses
// that it asked for, or were until a moment ago.
func (t *Table) avoids(now time.Time, r *record) bool {
	if !now.Before(r.avoidUntil) {
		return false
	}
	return now.Before(r.avoidUntil.Add(-peerBackoffMargin)) || !t.isChosenRouter(xxhash.Sum64String(r.ID), backoffTrialSenders)
}

// withAvoidedLast moves the servers that this router avoids to the end of the order.
func (t *Table) withAvoidedLast(now time.Time, ordered []*record) []*record {
	var avoided []*record
	preferred := make([]*record, 0, len(ordered))
	for _, r := range ordered {
		if t.avoids(now, r) {
			avoided = append(avoided, r)
		} else {
			preferred = append(preferred, r)
		}
	}
	return append(preferred, avoided...)
}

// BackoffsToGossip returns how much longer the servers that asked this router for a pause want
// no requests from it. Without being told, each router would be refused before it knows. If
// there are too many, each call returns others.
func (t *Table) BackoffsToGossip(now time.Time) map[ServerKey]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	backoffs := make(map[ServerKey]time.Duration)
	for _, r := range t.servers {
		if len(backoffs) == maxGossipedBackoffs {
			break
		}
		if r.backoff.isActive(now) {
			backoffs[r.key] = r.backoff.wait(now)
		}
	}
	return backoffs
}

// SetPeerBackoffs stores the pauses that servers asked a peer for. They don't bind this router,
// but it prefers other servers.
func (t *Table) SetPeerBackoffs(now time.Time, peer string, backoffs map[ServerKey]time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.peers[peer]
	if len(backoffs) == 0 && len(report.backoffs) == 0 {
		return
	}
	pausedUntil := make(map[ServerKey]time.Time, len(backoffs))
	for key, until := range report.backoffs {
		if now.Before(until) {
			pausedUntil[key] = until
		}
	}
	for key, remaining := range backoffs {
		pausedUntil[key] = now.Add(min(remaining, httpheader.MaxRetryAfter) + peerBackoffMargin)
	}
	report.receivedAt, report.backoffs = now, pausedUntil
	t.peers[peer] = report
	t.peersChanged = true
}
