package placement

import "time"

// Outcome is the result of a request at a server.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeAnswered is a complete response of any status.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed is a lost, truncated or failed response.
	OutcomeFailed
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
	// OutcomeRefused means that the server refused to run the request, for example
	// because it was full.
	OutcomeRefused
	// OutcomeNone says nothing about the server. For example, the caller
	// disconnected, another server answered at the address, or the server asked for a
	// pause, which is kept instead.
	OutcomeNone
)

// Backoff after failed connection attempts.
const (
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 1500 * time.Millisecond
)

// Finish records the end of a request that Pick counted. The latency is the time to
// the first event or to the complete response. If the server was found down, Finish
// returns the requests that count as suspects of its crash.
func (t *Table) Finish(now time.Time, c Choice, route string, outcome Outcome, latency time.Duration) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rowOf(c)
	if !ok {
		t.discardWait(now, &record{}, &c)
		if _, replaced := t.servers[c.ID]; replaced && outcome == OutcomeUnreachable {
			return t.suspects.ServerDown(now, c.process())
		}
		return nil
	}
	r.ownInFlight = max(0, r.ownInFlight-1)
	r.backoff.endTrial(c.SentAt)
	t.discardWait(now, r, &c)
	switch outcome {
	case OutcomeAnswered:
		relativeLatency := 1.0
		if c.Warm {
			// Reading or fetching a prompt first says nothing about the speed of
			// the server.
			relativeLatency = t.relativeLatency(route, latency)
		}
		r.observations.add(now, false, relativeLatency)
		r.failedDials = 0
	case OutcomeFailed, OutcomeRefused:
		r.observations.add(now, true, 0)
	case OutcomeUnreachable:
		t.markDown(now, r)
		return t.suspects.ServerDown(now, c.process())
	case OutcomeNone:
	}
	return nil
}

// ResponseStarted records the first event or the complete response of a request
// that Pick counted. Further calls for the same choice do nothing.
func (t *Table) ResponseStarted(now time.Time, c *Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.responseStarted {
		return
	}
	c.responseStarted = true
	t.queueOf(c.Service).Answer(now, c.SentAt, c.Queue)
	if r, ok := t.rowOf(*c); ok {
		r.ownWaiting = max(0, r.ownWaiting-1)
	}
}

// rowOf returns the row of the process that was picked, and false if the table has no row of it any
// more.
func (t *Table) rowOf(c Choice) (*record, bool) {
	r, ok := t.servers[c.ID]
	return r, ok && (c.record == nil || c.record == r)
}

// discardWait records the end of a wait without a response.
func (t *Table) discardWait(now time.Time, r *record, c *Choice) {
	if c.responseStarted {
		return
	}
	r.ownWaiting = max(0, r.ownWaiting-1)
	t.queueOf(c.Service).Discard(now, c.SentAt)
}

// ConnectionLost records that the connection to a server broke before the server began to
// answer a request with this fingerprint and these parts.
func (t *Table) ConnectionLost(now time.Time, c Choice, request Fingerprint, parts ...Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.ConnectionLost(now, LostRequest{Server: c.process(), SentAt: c.SentAt, Request: request, Parts: parts})
}

// Answered records that a server answered a request with these fingerprints.
func (t *Table) Answered(fingerprints []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.Answered(fingerprints)
}

// IsDown reports whether a server was found down a short time ago.
func (t *Table) IsDown(now time.Time, c Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[c.ID]
	return ok && now.Before(r.downUntil)
}

// ServerDown records that nothing listens at the address of a server after it broke a
// connection. It returns the fingerprints that count as suspects of the crash.
func (t *Table) ServerDown(now time.Time, c Choice) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.servers[c.ID]; ok && !now.Before(r.downUntil) {
		t.markDown(now, r)
	}
	return t.suspects.ServerDown(now, c.process())
}

// markDown excludes a server until the next connection attempt is due.
func (t *Table) markDown(now time.Time, r *record) {
	r.failedDials++
	r.downUntil = now.Add(min(maxBackoff, initialBackoff<<min(r.failedDials-1, 4)))
	r.setUnconfirmed(now)
	t.locations.Forget(r.key)
}

// SetPeerSuspects stores what a peer reports of suspects.
func (t *Table) SetPeerSuspects(now time.Time, peer string, reported []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.SetPeer(now, peer, reported)
}

// SuspectsToGossip returns the suspects for the next digest.
func (t *Table) SuspectsToGossip(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.ToGossip(now)
}

// ConfirmUp marks a server as up after a response. If it was unreachable before, its cold
// start counts from this response, unless the list has stated when it ends.
func (t *Table) ConfirmUp(now time.Time, c Choice, coldStart time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rowOf(c)
	if !ok || r.confirmedUp {
		return
	}
	r.confirmedUp = true
	if !r.isColdStartListed(coldStart) {
		r.coldUntil = latest(r.coldUntil, now.Add(coldStart))
	}
}

// SetCold applies the remaining cold-start time that a server reported.
func (t *Table) SetCold(now time.Time, id string, remaining time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.servers[id]; ok {
		r.coldUntil = latest(r.coldUntil, now.Add(remaining))
	}
}

// meanWeight is the weight of one request in the mean latency of its route.
const meanWeight = 0.02

// relativeLatency returns the latency relative to the mean of the route, and
// updates the mean.
func (t *Table) relativeLatency(route string, latency time.Duration) float64 {
	seconds := latency.Seconds()
	mean, ok := t.meanLatencies[route]
	if !ok {
		t.meanLatencies[route] = seconds
		return 1
	}
	t.meanLatencies[route] = mean + meanWeight*(min(seconds, maxRelativeLatency*mean)-mean)
	return seconds / max(mean, 1e-4)
}

// CountRequest counts a customer's request for the retry budget of a service and
// for the customer shares.
func (t *Table) CountRequest(now time.Time, service, customer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queueOf(service).CountForCustomer(now, customer)
	t.budget(service).CountRequest(t.limits.RetryRatio, t.limits.RetrySlack, t.routerCount)
}

// SpendRetry takes one extra send from the retry budget of a service and reports
// whether there was one.
func (t *Table) SpendRetry(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(service).Spend(t.limits.RetrySlack, t.routerCount)
}

// ReturnRetry returns what SpendRetry took, since nothing was sent.
func (t *Table) ReturnRetry(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(service).Return(t.limits.RetrySlack, t.routerCount)
}

func (t *Table) budget(service string) *RetryBudget {
	b, ok := t.budgets[service]
	if !ok {
		b = &RetryBudget{}
		t.budgets[service] = b
	}
	return b
}
