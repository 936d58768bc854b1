package placement

import "time"

// Parameters of the pauses that servers ask for.
const (
	// maxStatedBackoff limits the pause that a server can ask for. A server with a broken
	// configuration would get no requests for as long as its process lives.
	maxStatedBackoff = time.Hour
	// backoffTrialTimeout is how long the first request after a pause may stay without a
	// response before another one is sent.
	backoffTrialTimeout = 500 * time.Millisecond
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
		b.until, b.trialAt = latest(b.until, now.Add(min(pause, maxStatedBackoff))), time.Time{}
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
