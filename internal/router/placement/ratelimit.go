package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RateLimit is a server's limit on the requests that it receives from all routers
// together. The zero value means that the server has no limit.
type RateLimit struct {
	Limited bool `msgpack:"l"`
	// PerSecond is finite and at least 0.
	PerSecond float64 `msgpack:"p"`
}

func (l RateLimit) isValid() bool { return l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0) }

// RateLimitReport is what one router tells its peers of a server's limit.
type RateLimitReport struct {
	RateLimit
	// Age is the time since the server stated the limit.
	Age time.Duration `msgpack:"a"`
}

// Parameters of rate limits.
const (
	// After a pause, all routers together may send at once what the limit allows in
	// limitBurstTime, and minLimitBurst requests more.
	limitBurstTime = time.Second
	minLimitBurst  = 3.0
	// minLimitedRate is the rate in requests per second at which all routers together
	// send to a server with a lower limit. Only a response shows that a limit has ended.
	minLimitedRate = 0.5
	// endedLimitGossipTime is how long a router gossips that a limit has ended.
	endedLimitGossipTime = 5 * time.Second
	// maxGossipedLimits limits the servers with limits in one digest.
	maxGossipedLimits = 64
)

// limitShare returns how many routers may send to a server with a limit, and the rate and
// the burst of each. The routers don't wait for each other: in any time, their sum stays
// within the limit and one burst, even if they can't communicate.
func limitShare(limit float64, routers int) (senders int, perSecond, burst float64) {
	allBursts := limit*limitBurstTime.Seconds() + minLimitBurst
	senders = int(max(1, min(float64(routers), allBursts)))
	return senders, max(limit, minLimitedRate) / float64(senders), allBursts / float64(senders)
}

// statedLimit is the latest known statement of a server about its limit.
type statedLimit struct {
	RateLimit
	// statedAt is when the statement arrived at a router, or zero before the first.
	statedAt time.Time
	// own is set if the statement arrived at this router.
	own bool
	// endedAt is when the last limit ended, or zero if there was none.
	endedAt time.Time
	// bucket holds what this router may send now. It is unused without a limit.
	bucket bucket
}

// set replaces the statement by a newer one. The bucket of a new limit is empty, because
// the server has received more than the limit until now.
func (l *statedLimit) set(now time.Time, limit RateLimit, statedAt time.Time, own bool) {
	switch {
	case limit.Limited && !l.Limited:
		l.bucket = bucket{refilledAt: now}
	case !limit.Limited && l.Limited:
		l.endedAt = now
	}
	l.RateLimit, l.statedAt, l.own = limit, statedAt, own
}

// SetRateLimit records the limit that the response to a request states, and returns the
// previously known limit. A response without a limit ends the limit only if its request
// was sent after the limit became known.
func (t *Table) SetRateLimit(now time.Time, c Choice, limit RateLimit) (previous RateLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[c.ID]
	if !ok || !r.isSameProcess(c.Server) || r.limit.Limited && !limit.Limited && c.SentAt.Before(r.limit.statedAt) {
		return limit
	}
	previous = r.limit.RateLimit
	r.limit.set(now, limit, now, true)
	return previous
}

// SetPeerRateLimits applies the limits that a peer reported, unless newer ones are known.
func (t *Table) SetPeerRateLimits(now time.Time, reports map[ServerKey]RateLimitReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(reports) == 0 {
		return
	}
	for _, r := range t.servers {
		report, ok := reports[r.key]
		if !ok || !report.isValid() {
			continue
		}
		if statedAt := now.Add(-max(0, report.Age)); statedAt.After(r.limit.statedAt) {
			r.limit.set(now, report.RateLimit, statedAt, false)
		}
	}
}

// RateLimitsToGossip returns the limits that servers stated to this router, and those that
// have ended a short time ago. If there are too many, each call returns others.
func (t *Table) RateLimitsToGossip(now time.Time) map[ServerKey]RateLimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make(map[ServerKey]RateLimitReport)
	for _, r := range t.servers {
		if len(reports) == maxGossipedLimits {
			break
		}
		endedRecently := !r.limit.endedAt.IsZero() && now.Sub(r.limit.endedAt) < endedLimitGossipTime
		if r.limit.own && (r.limit.Limited || endedRecently) {
			reports[r.key] = RateLimitReport{RateLimit: r.limit.RateLimit, Age: now.Sub(r.limit.statedAt)}
		}
	}
	return reports
}

// limiter applies the limits of servers to one request.
type limiter struct {
	routers int
	// refused is the number of servers that may not get the request because of their
	// limits.
	refused int
	// mayWait is set if this router may send to one of these later, after minWait at the
	// earliest.
	mayWait bool
	minWait time.Duration
}

// admits reports whether this router may send a request to a server now. It takes nothing
// from the server's bucket.
func (l *limiter) admits(now time.Time, t *Table, r *record) bool {
	if !r.limit.Limited {
		return true
	}
	senders, perSecond, burst := limitShare(r.limit.PerSecond, l.routers)
	if !t.isChosenRouter(xxhash.Sum64String(r.ID), senders) {
		l.refused++
		return false
	}
	bucket := &r.limit.bucket
	bucket.refill(now, perSecond, burst)
	if bucket.tokens >= 1 {
		return true
	}
	l.refused++
	wait := time.Duration((1 - bucket.tokens) / perSecond * float64(time.Second))
	if !l.mayWait || wait < l.minWait {
		l.mayWait, l.minWait = true, wait
	}
	return false
}

// countSent counts a request that is sent to the server.
func (l *statedLimit) countSent() {
	if l.Limited {
		l.bucket.tokens--
	}
}
