package entry

import (
	"sync"
	"time"

	"bronzerill"
	"bronzerill/internal/wire/exchange"
)

// Limits of the table of exchanges.
const (
	maxAnswers = 8192
	// maxRetained and maxRetainedBytes limit the finished answers that are kept
	// for an entry that attaches again.
	maxRetained      = 4096
	maxRetainedBytes = 32 << 20
	// answerRetention is how long a finished answer is kept for an entry that
	// attaches again, and a tombstone for a late request.
	answerRetention = 30 * time.Second
	// idleTimeout is how long an exchange continues without a reader.
	idleTimeout = 5 * time.Second
)

// retainedAnswer describes a finished answer or a tombstone.
type retainedAnswer struct {
	id    exchange.ID
	since time.Time
	bytes int
}

// table holds the answers of the exchanges of this process by ID. It is safe for
// concurrent use.
type table struct {
	mu      sync.Mutex
	answers map[exchange.ID]*answer
	// retained lists the finished answers and tombstones, oldest first.
	// retainedBytes is the sum of their sizes.
	retained      []retainedAnswer
	retainedBytes int
	// evictedAt is when an answer was last evicted before the end of its
	// retention. Within answerRetention after it, an unknown ID may have run.
	evictedAt time.Time
}

func newTable() *table { return &table{answers: make(map[exchange.ID]*answer)} }

// find returns the answer of an ID, or nil if the ID is new. An attach to an
// unknown ID adds a tombstone, so that the request isn't run if it arrives later:
// the reply "not run" must stay true.
func (t *table) find(now time.Time, o exchange.Open) *answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.answers[o.ID]
	if a == nil && o.Attach {
		kind := bronzerill.KindAborted
		if !t.evictedAt.IsZero() && now.Sub(t.evictedAt) <= answerRetention {
			kind = bronzerill.KindOutcomeUnknown
		}
		a = t.addTombstone(now, o.ID, kind)
	}
	return a
}

// addTombstone adds a failed answer for an ID that must not run. The caller holds
// the lock.
func (t *table) addTombstone(now time.Time, id exchange.ID, kind bronzerill.Kind) *answer {
	a := refusedAnswer(id, now, kind)
	t.answers[id] = a
	t.retain(now, id, 0)
	return a
}

// add stores a new answer unless the ID is known or the table is full.
func (t *table) add(a *answer) bronzerill.Kind {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, taken := t.answers[a.id]; taken {
		return bronzerill.KindInProgress
	}
	if len(t.answers) >= maxAnswers {
		return bronzerill.KindTableFull
	}
	t.answers[a.id] = a
	return bronzerill.KindNone
}

// finish starts the retention of an answer that has ended.
func (t *table) finish(now time.Time, a *answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retain(now, a.id, a.size())
}

// retain keeps a finished answer for its retention and evicts the oldest ones that
// exceed the limits. The caller holds the lock.
func (t *table) retain(now time.Time, id exchange.ID, bytes int) {
	t.retained = append(t.retained, retainedAnswer{id, now, bytes})
	t.retainedBytes += bytes
	for len(t.retained) > maxRetained || t.retainedBytes > maxRetainedBytes {
		t.removeOldest()
		t.evictedAt = now
	}
}

// removeOldest removes the oldest finished answer. The caller holds the lock.
func (t *table) removeOldest() {
	oldest := t.retained[0]
	t.retained = t.retained[1:]
	t.retainedBytes -= oldest.bytes
	delete(t.answers, oldest.id)
}

// cancel cancels an exchange at the request of an entry. An unknown ID gets a
// tombstone.
func (t *table) cancel(now time.Time, id exchange.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.answers[id]
	if a == nil {
		t.addTombstone(now, id, bronzerill.KindCanceled)
		return
	}
	a.cancel()
}

// inUse reports whether any answer has a reader.
func (t *table) inUse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.answers {
		if a.hasReaders() {
			return true
		}
	}
	return false
}

// expire removes the answers whose retention has ended, and cancels the exchanges
// that have had no reader for idleTimeout.
func (t *table) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.retained) > 0 && now.Sub(t.retained[0].since) > answerRetention {
		t.removeOldest()
	}
	for _, a := range t.answers {
		if since, idle := a.idleSince(); idle && now.Sub(since) > idleTimeout {
			a.cancel()
		}
	}
}
