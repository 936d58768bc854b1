package main

import (
	"math/rand/v2"
	"net/http"
	"time"

	"bronzerill/platform/standin"
)

// Bounds on the requests to a server that states a limit.
const (
	// limitNotice is the time from the first statement of a limit until it must be kept.
	limitNotice = 3 * time.Second
	// In any limitWindow a server may receive limitFactor times what the limit allows and
	// limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitTime is how long a server states a limit.
	limitTime = limitNotice + limitWindow
)

// statedLimit is a limit that a server states in its responses.
type statedLimit struct {
	// perSecond is 0 without a limit.
	perSecond float64
	since     time.Time
	received  []time.Time
}

// receiveLimited counts a request that a server received, and states its limit in the
// response. Routers that were killed, frozen or cut off need not know the limit yet.
func (b *backend) receiveLimited(w *world, rw http.ResponseWriter, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.perSecond == 0 {
		return
	}
	standin.StateLimit(rw, b.limit.perSecond)
	if now.Sub(b.limit.since) < limitNotice || !w.cfg.isSettled() {
		return
	}
	b.limit.received = append(b.limit.received, now)
	recent := 0
	for _, at := range b.limit.received {
		if now.Sub(at) < limitWindow {
			recent++
		}
	}
	if allowed := limitFactor*b.limit.perSecond*limitWindow.Seconds() + limitSlack; float64(recent) > allowed {
		w.addViolation("%s received %d requests in %s, its limit of %.1f a second allows %.0f", b.id, recent, limitWindow, b.limit.perSecond, allowed)
	}
}

// limitServers lets one server of each service state a limit. It returns after the limits
// have ended and the routers have had time to learn that.
func (w *world) limitServers(random *rand.Rand) {
	var limited []*backend
	for _, service := range []int{0, 3} {
		limited = append(limited, w.backends[service+random.IntN(3)])
	}
	now := time.Now()
	for _, b := range limited {
		b.mu.Lock()
		b.limit = statedLimit{perSecond: 1 + 3*random.Float64(), since: now}
		b.mu.Unlock()
	}
	time.Sleep(limitTime)
	for _, b := range limited {
		b.mu.Lock()
		b.limit = statedLimit{}
		b.mu.Unlock()
	}
	time.Sleep(limitNotice)
}
