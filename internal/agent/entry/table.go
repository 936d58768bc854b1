package entry

import (
	"sync"
	"time"

	"bronzerill"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/memory"
)

// Limits of the table of exchanges.
const (
	maxResponses = 8192
	// maxRetained and maxRetainedBytes limit the finished responses that are
	// kept for an entry that reattaches. With little memory they take less:
	// retainedPercent of what all windows may take.
	maxRetained      = 4096
	maxRetainedBytes = 32 << 20
	retainedPercent  = 50
	// responseRetention is how long a finished response is kept for an entry
	// that reattaches, and a tombstone for a late request.
	responseRetention = 30 * time.Second
)

// retainedResponse describes a finished response or a tombstone.
type retainedResponse struct {
	id    exchange.ID
	since time.Time
	bytes int
}

// table holds the responses of the exchanges of this process by ID. It is safe
// for concurrent use.
type table struct {
	mu        sync.Mutex
	responses map[exchange.ID]*response
	// windows is what the windows of all responses may take, of those too that were evicted while an entry reads them.
	windows *memory.Budget
	// retained lists the finished responses and tombstones, oldest first.
	// retainedBytes is the sum of their sizes.
	retained      []retainedResponse
	retainedBytes int
	// maxBytes limits retainedBytes.
	maxBytes int
	// evictedAt is when a response was last evicted before the end of its
	// retention. Within responseRetention after it, an unknown ID may have run.
	evictedAt time.Time
}

// newTable returns an empty table whose windows may take a size in bytes.
func newTable(windowBytes int64) *table {
	return &table{
		responses: make(map[exchange.ID]*response), windows: memory.NewBudget(windowBytes),
		maxBytes: int(min(maxRetainedBytes, windowBytes*retainedPercent/100)),
	}
}

// find returns the response of an ID, or nil if the ID is new. For an attach to
// an unknown ID it adds and returns a tombstone. The entry then reports the
// request as not run, so the request must not run if it arrives later.
func (t *table) find(now time.Time, o exchange.Open) *response {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.responses[o.ID]
	if r == nil && o.Attach {
		kind := bronzerill.KindAborted
		if !t.evictedAt.IsZero() && now.Sub(t.evictedAt) <= responseRetention {
			kind = bronzerill.KindOutcomeUnknown
		}
		r = t.addTombstone(now, o.ID, kind)
	}
	return r
}

// addTombstone adds a failed response for an ID that must not run. The caller
// holds the lock.
func (t *table) addTombstone(now time.Time, id exchange.ID, kind bronzerill.Kind) *response {
	r := refusedResponse(id, now, kind)
	t.responses[id] = r
	t.retain(now, id, 0)
	return r
}

// add stores a new response unless the ID is known or the table is full.
func (t *table) add(r *response) bronzerill.Kind {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, taken := t.responses[r.id]; taken {
		return bronzerill.KindInProgress
	}
	if len(t.responses) >= maxResponses {
		return bronzerill.KindTableFull
	}
	t.responses[r.id] = r
	return bronzerill.KindNone
}

// finish starts the retention of a response that has ended.
func (t *table) finish(now time.Time, r *response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retain(now, r.id, r.size())
}

// retain keeps a finished response for its retention and evicts the oldest ones
// that exceed the limits. The caller holds the lock.
func (t *table) retain(now time.Time, id exchange.ID, bytes int) {
	t.retained = append(t.retained, retainedResponse{id, now, bytes})
	t.retainedBytes += bytes
	for len(t.retained) > maxRetained || t.retainedBytes > t.maxBytes {
		t.removeOldest()
		t.evictedAt = now
	}
}

// removeOldest removes the oldest finished response. The caller holds the lock.
func (t *table) removeOldest() {
	oldest := t.retained[0]
	t.retained = t.retained[1:]
	t.retainedBytes -= oldest.bytes
	if r := t.responses[oldest.id]; r != nil {
		r.evict()
	}
	delete(t.responses, oldest.id)
}

// cancel cancels an exchange at the request of an entry. An unknown ID gets a
// tombstone.
func (t *table) cancel(now time.Time, id exchange.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.responses[id]
	if r == nil {
		t.addTombstone(now, id, bronzerill.KindCanceled)
		return
	}
	r.settle()
	r.cancel()
}

// inUse reports whether any response has a reader or waits for one.
func (t *table) inUse(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.responses {
		if r.inUse(now) {
			return true
		}
	}
	return false
}

// expire removes the responses whose retention has ended, and cancels the
// exchanges that have had no reader for exchange.AttachTimeout.
func (t *table) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.retained) > 0 && now.Sub(t.retained[0].since) > responseRetention {
		t.removeOldest()
	}
	for _, r := range t.responses {
		if since, idle := r.idleSince(); idle && now.Sub(since) > exchange.AttachTimeout {
			r.cancel()
		}
	}
}
