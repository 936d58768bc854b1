package placement

import (
	"time"

	"bronzerill"
)

// leavingGrace is how long after it is known that a server is leaving it may get the requests
// that no other server can take, such as the rest of a stream of its version.
const leavingGrace = time.Second

// SetReplaced marks a server as leaving, after another server answered at its
// address. It gets no requests at all.
func (t *Table) SetReplaced(c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The server may have started again at another address since it was picked.
	if r, ok := t.servers[c.ID]; ok && r.isSameProcess(c.Server) && r.Addr == c.Addr {
		r.Leaving, r.leavingAt = true, time.Time{}
	}
}

// SetStatedLeaving records a response in which the server states that it is about to stop.
// It reports whether that is new. The list may show it later, or not at all to a router that
// is cut off.
func (t *Table) SetStatedLeaving(now time.Time, c Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[c.ID]
	if !ok || r.Leaving || !r.isSameProcess(c.Server) {
		return false
	}
	r.Leaving, r.leavingAt = true, now
	return true
}

// acceptsRequests reports whether the server is listed and not leaving.
func (r *record) acceptsRequests() bool { return !r.Leaving && r.unlistedAt.IsZero() }

// acceptsLastRequests reports whether the server is leaving but still takes what no other
// server can take.
func (r *record) acceptsLastRequests(now time.Time) bool {
	return r.Leaving && r.unlistedAt.IsZero() && !r.leavingAt.IsZero() && now.Sub(r.leavingAt) < leavingGrace
}

// MaySend returns an error if a server that was picked must not get the request any more,
// because it is leaving or has asked for a pause since then.
func (t *Table) MaySend(now time.Time, c Choice) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[c.ID]
	switch {
	case !ok || !r.isSameProcess(c.Server):
		return nil
	case !r.acceptsRequests() && (!c.Leaving || !r.acceptsLastRequests(now)):
		return bronzerill.Errorf(bronzerill.KindLeaving, "%s is leaving", c.ID)
	case r.backoff.isActive(now):
		return bronzerill.Errorf(bronzerill.KindServerBackoff, "%s asked for a pause of another %v", c.ID, r.backoff.wait(now))
	}
	return nil
}
