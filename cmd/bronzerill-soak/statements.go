package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bronzerill/platform/standin"
)

// Timing of what servers state while one of each service has a limit.
const (
	pauseTime   = 3 * time.Second
	leavingTime = 3 * time.Second
	// A router may send statedSlack requests later than statedNotice after it got a response
	// with the statement.
	statedNotice = 500 * time.Millisecond
	statedSlack  = 2
)

// statement is something that a server states for some time. A router that has got it must
// send nothing more.
type statement struct {
	what         string
	since, until time.Time
	mu           sync.Mutex
	// toldAt is when each router got the first response with the statement, and late the
	// number of requests that it sent later than statedNotice after that.
	toldAt map[int]time.Time
	late   map[int]int
}

func newStatement(what string, now time.Time, d time.Duration) *statement {
	return &statement{what: what, since: now, until: now.Add(d), toldAt: make(map[int]time.Time), late: make(map[int]int)}
}

// isActive reports whether the server states it now.
func (s *statement) isActive(now time.Time) bool {
	return s != nil && !now.Before(s.since) && now.Before(s.until)
}

// countReceived counts a request that the server received from a router while it states s.
// Routers that were killed, frozen or cut off may have forgotten it.
func (s *statement) countReceived(w *world, b *backend, id string, now time.Time) {
	router, known := w.sentTo.Load(id)
	if !known || !w.cfg.isSettled() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	toldAt, told := s.toldAt[router.(int)]
	if !told {
		s.toldAt[router.(int)] = now
		return
	}
	if now.Sub(toldAt) < statedNotice {
		return
	}
	s.late[router.(int)]++
	if n := s.late[router.(int)]; n > statedSlack {
		w.addViolation("%s received %d requests of router %d after it had stated %s", b.id, n, router, s.what)
	}
}

// refuseInPause refuses a request if the server is in a pause, and reports whether it did.
func (b *backend) refuseInPause(w *world, rw http.ResponseWriter, id string, now time.Time) bool {
	s := b.pause.Load()
	if !s.isActive(now) {
		return false
	}
	s.countReceived(w, b, id, now)
	standin.RefuseFor(rw, id, s.until.Sub(now))
	return true
}

// stateLeaving states that the server leaves, if it does, also before the list shows that.
func (b *backend) stateLeaving(w *world, rw http.ResponseWriter, id string, now time.Time) {
	b.mu.Lock()
	listed := b.leaving
	b.mu.Unlock()
	s := b.leavingSoon.Load()
	if s.isActive(now) {
		s.countReceived(w, b, id, now)
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
		w.backends[first+random.IntN(3)].pause.Store(newStatement("a pause", now, pauseTime))
	}
	time.Sleep(pauseTime)
	if b := w.anyThatMayLeave(random); b != nil {
		b.leavingSoon.Store(newStatement("that it leaves", time.Now(), leavingTime))
		time.Sleep(leavingTime)
		w.startLeaving(b, time.Now())
	}
}

// anyThatMayLeave returns a random server that may leave, or nil.
func (w *world) anyThatMayLeave(random *rand.Rand) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range random.Perm(len(w.backends)) {
		if w.mayLeave(w.backends[i]) {
			return w.backends[i]
		}
	}
	return nil
}
