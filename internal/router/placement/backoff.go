package placement

import "time"

// maxStatedBackoff limits the pause that a server can ask for. A server with a broken clock
// or configuration would get no requests for as long as its process lives.
const maxStatedBackoff = time.Hour

// statedBackoff is the pause that a server has asked this router for.
type statedBackoff struct {
	// until is the end of the pause that ends last, zero before the first one.
	until time.Time
}

// isActive reports whether the server wants no requests now.
func (b *statedBackoff) isActive(now time.Time) bool { return now.Before(b.until) }

// SetBackoff records that a server refused a request of this router and asked it for a
// pause. A shorter pause doesn't end an earlier one. SetBackoff reports whether the request
// was sent in an earlier pause.
func (t *Table) SetBackoff(now time.Time, c Choice, pause time.Duration) (sentInPause bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.servers[c.ID]
	if !ok || !r.isSameProcess(c.Server) {
		return false
	}
	sentInPause = r.backoff.isActive(c.SentAt)
	r.backoff.until = latest(r.backoff.until, now.Add(min(pause, maxStatedBackoff)))
	return sentInPause
}
