package placement

import "time"

// RateLimit is a server's limit on the requests that it receives from all routers
// together. The zero value means that the server has no limit.
type RateLimit struct {
	Limited bool
	// PerSecond is finite and at least 0.
	PerSecond float64
}

// statedLimit is the latest known statement of a server about its limit.
type statedLimit struct {
	RateLimit
	// statedAt is when the statement arrived at a router, or zero before the first.
	statedAt time.Time
}

// SetRateLimit records the limit that a response of a server states. It returns the
// previously known limit.
func (t *Table) SetRateLimit(now time.Time, id string, limit RateLimit) (previous RateLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[id]
	if !ok {
		return limit
	}
	previous = r.limit.RateLimit
	r.limit = statedLimit{limit, now}
	return previous
}
