package placing

import "time"

// Outcome is how a request at a server ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeAnswered is a whole answer, whatever its status.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed is a lost, broken or failed answer.
	OutcomeFailed
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
	// OutcomeRefused means that the server was full or is another one.
	OutcomeRefused
	// OutcomeNone says nothing of the server: the caller left.
	OutcomeNone
)

// Backoff after failed connections.
const (
	firstDown = 300 * time.Millisecond
	maxDown   = 1500 * time.Millisecond
)

// Finish counts the end of a request that Pick counted. Latency is the time to
// the first event or the whole answer.
func (t *Table) Finish(now time.Time, c Choice, route string, outcome Outcome, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[c.ID]
	if !ok {
		t.endWait(now, &record{}, &c)
		return
	}
	r.own = max(0, r.own-1)
	t.endWait(now, r, &c)
	switch outcome {
	case OutcomeAnswered:
		pace := 1.0
		if c.Warm {
			// What a server reads or fetches first says nothing of its pace.
			pace = t.pace(route, latency)
		}
		r.seen.add(now, false, pace)
		r.refusals = 0
	case OutcomeFailed, OutcomeRefused:
		r.seen.add(now, true, 0)
	case OutcomeUnreachable:
		r.refusals++
		pause := min(maxDown, firstDown<<min(r.refusals-1, 4))
		r.downUntil = now.Add(pause)
		r.proven = false
		t.homes.Forget(r.key)
		t.suspects.ServerDown(now, r.ID)
	case OutcomeNone:
	}
}

// ResponseStarted counts the first event or the whole answer of a request that Pick counted.
func (t *Table) ResponseStarted(now time.Time, c *Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.begun {
		return
	}
	c.begun = true
	t.queueOf(c.Service).Answer(now, c.SentAt, c.Queue)
	if r, ok := t.servers[c.ID]; ok {
		r.waiting = max(0, r.waiting-1)
	}
}

// endWait counts the end of a wait without an answer.
func (t *Table) endWait(now time.Time, r *record, c *Choice) {
	if c.begun {
		return
	}
	r.waiting = max(0, r.waiting-1)
	t.queueOf(c.Service).Discard(now, c.SentAt)
}

// ConnectionLost notes that the connection to a server broke while it ran a request.
func (t *Table) ConnectionLost(now time.Time, print Fingerprint, c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.ConnectionLost(now, print, c.ID)
}

// IsQuarantined reports whether a request has crashed too many servers.
func (t *Table) IsQuarantined(now time.Time, print Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.IsQuarantined(now, print)
}

// SetPeerSuspects takes a neighbour's counts of crashed servers.
func (t *Table) SetPeerSuspects(now time.Time, peer string, told []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.SetPeer(now, peer, told)
}

// SuspectsToGossip returns this router's counts of crashed servers.
func (t *Table) SuspectsToGossip(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.ToGossip(now)
}

// ConfirmUp marks a server that has answered: after a failure to connect its cold
// start is counted from its first answer.
func (t *Table) ConfirmUp(now time.Time, c Choice, coldStart time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[c.ID]
	if !ok || r.proven {
		return
	}
	r.proven = true
	r.coldUntil = latest(r.coldUntil, now.Add(coldStart))
}

// SetLeaving marks a server that said itself that it leaves.
func (t *Table) SetLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.servers[id]; ok {
		r.Leaving = true
	}
}

// SetCold takes a server's own word on its cold start.
func (t *Table) SetCold(now time.Time, id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.servers[id]; ok {
		r.coldUntil = latest(r.coldUntil, now.Add(left))
	}
}

// meanWeight is the weight of one request in the mean latency of its route.
const meanWeight = 0.02

// pace returns the latency relative to the route's mean, and moves the mean on.
func (t *Table) pace(route string, latency time.Duration) float64 {
	seconds := latency.Seconds()
	mean, ok := t.means[route]
	if !ok {
		t.means[route] = seconds
		return 1
	}
	t.means[route] = mean + meanWeight*(min(seconds, paceBound*mean)-mean)
	return seconds / max(mean, 1e-4)
}

// CountRequest counts a customer's request for the retry budget of a service and for the
// shares of its customers.
func (t *Table) CountRequest(now time.Time, service, customer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queueOf(service).CountRequest(now, customer)
	t.budget(service).Earn(t.limits.RetryRatio, t.limits.RetrySlack, len(t.entries))
}

// SpendRetry takes one extra send to a service, if the budget has room.
func (t *Table) SpendRetry(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(service).Spend(t.limits.RetrySlack, len(t.entries))
}

func (t *Table) budget(service string) *RetryBudget {
	b, ok := t.budgets[service]
	if !ok {
		b = &RetryBudget{}
		t.budgets[service] = b
	}
	return b
}
