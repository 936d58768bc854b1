package main

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"bronzerill/platform/standin"
)

// Timing of what servers state while one of each service has a limit.
const (
	pauseTime    = 3 * time.Second
	leavingTime  = 3 * time.Second
	statedNotice = 500 * time.Millisecond
	// perRouter is how many requests a server may get from each router after the notice. A
	// router that hasn't sent to it before doesn't know yet what it states.
	perRouter = 3
)

// statement is something that a server states for some time, upon which routers must send it
// nothing more.
type statement struct {
	what         string
	since, until time.Time
	received     atomic.Int32
}

// isActive reports whether the server states it now.
func (s *statement) isActive(now time.Time) bool {
	return s != nil && !now.Before(s.since) && now.Before(s.until)
}

// countReceived counts a request that the server received while it states s. Routers that were
// killed, frozen or cut off need not know it.
func (s *statement) countReceived(w *world, b *backend, now time.Time) {
	if now.Sub(s.since) < statedNotice || !w.cfg.isSettled() {
		return
	}
	if n := s.received.Add(1); int(n) > perRouter*w.cfg.routers {
		w.addViolation("%s received %d requests while it stated %s", b.id, n, s.what)
	}
}

// refuseInPause refuses a request if the server is in a pause, and reports whether it did.
func (b *backend) refuseInPause(w *world, rw http.ResponseWriter, id string, now time.Time) bool {
	s := b.pause.Load()
	if !s.isActive(now) {
		return false
	}
	s.countReceived(w, b, now)
	standin.RefuseFor(rw, id, s.until.Sub(now))
	return true
}

// stateLeaving states that the server leaves, if it does, also before the list shows that.
func (b *backend) stateLeaving(w *world, rw http.ResponseWriter, now time.Time) {
	b.mu.Lock()
	listed := b.leaving
	b.mu.Unlock()
	s := b.leavingSoon.Load()
	if s.isActive(now) {
		s.countReceived(w, b, now)
	}
	if listed || s != nil {
		standin.StateLeaving(rw)
	}
}

// stateInTurn lets one server of each service ask for a pause, and then one state that it
// leaves, which the list shows only later. It begins when guarantees with a time bound hold.
func (w *world) stateInTurn(random *rand.Rand) {
	time.Sleep(settleTime)
	now := time.Now()
	for _, first := range []int{0, 3} {
		w.backends[first+random.IntN(3)].pause.Store(&statement{what: "a pause", since: now, until: now.Add(pauseTime)})
	}
	time.Sleep(pauseTime)
	if b := w.backends[random.IntN(len(w.backends))]; w.mayLeave(b) {
		now = time.Now()
		b.leavingSoon.Store(&statement{what: "that it leaves", since: now, until: now.Add(leavingTime)})
		time.Sleep(leavingTime)
		w.startLeaving(b, time.Now())
	}
}
