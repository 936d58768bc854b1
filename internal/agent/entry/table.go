package entry

import (
	"sync"
	"time"

	"bronzerill"
	"bronzerill/internal/wire/exchange"
)

// Bounds of the table of exchanges.
const (
	maxAnswers = 8192
	// maxKept and maxKeptBytes bound the finished answers that wait for an
	// entry that comes back.
	maxKept      = 4096
	maxKeptBytes = 32 << 20
	// answerRetention is how long a finished answer waits for an entry that
	// comes back, and a tombstone for a late request.
	answerRetention = 30 * time.Second
	// idleTimeout is how long an exchange runs on without an entry.
	idleTimeout = 5 * time.Second
)

// keptAnswer is a finished answer in the order of its end.
type keptAnswer struct {
	id    exchange.ID
	at    time.Time
	bytes int
}

// table holds the exchanges of this process by ID.
type table struct {
	mu      sync.Mutex
	answers map[exchange.ID]*answer
	// kept lists the finished answers, oldest first; keptBytes is their sum.
	kept      []keptAnswer
	keptBytes int
	// evictedAt is when an answer was last dropped before its retention. For
	// that long an unknown ID may have run.
	evictedAt time.Time
}

func newTable() *table { return &table{answers: make(map[exchange.ID]*answer)} }

// find returns the answer of an ID, or nil for a new one. An attach to an
// unknown ID leaves a tombstone, which makes "not run" true even if the request
// is still on its way.
func (t *table) find(now time.Time, o exchange.Open) *answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.answers[o.ID]
	if a == nil && o.Attach {
		kind := bronzerill.KindAborted
		if !t.evictedAt.IsZero() && now.Sub(t.evictedAt) <= answerRetention {
			kind = bronzerill.KindOutcomeUnknown
		}
		a = t.refuse(now, o.ID, kind)
	}
	return a
}

// refuse leaves a tombstone; the caller holds the lock.
func (t *table) refuse(now time.Time, id exchange.ID, kind bronzerill.Kind) *answer {
	a := refusedAnswer(id, now, kind)
	t.answers[id] = a
	t.keep(now, id, 0)
	return a
}

// add stores a new answer unless the ID is taken or the table is full.
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

// finished takes note that an answer has ended.
func (t *table) finished(now time.Time, a *answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keep(now, a.id, a.size())
}

// keep holds a finished answer for its retention, as far as there is room; the
// caller holds the lock.
func (t *table) keep(now time.Time, id exchange.ID, bytes int) {
	t.kept = append(t.kept, keptAnswer{id, now, bytes})
	t.keptBytes += bytes
	for len(t.kept) > maxKept || t.keptBytes > maxKeptBytes {
		t.drop()
		t.evictedAt = now
	}
}

// drop forgets the oldest finished answer; the caller holds the lock.
func (t *table) drop() {
	oldest := t.kept[0]
	t.kept = t.kept[1:]
	t.keptBytes -= oldest.bytes
	delete(t.answers, oldest.id)
}

// cancel stops an exchange at an entry's word. An unknown ID is refused later.
func (t *table) cancel(now time.Time, id exchange.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.answers[id]
	if a == nil {
		t.refuse(now, id, bronzerill.KindCanceled)
		return
	}
	a.cancel()
}

// followed reports whether any entry follows an answer.
func (t *table) followed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.answers {
		if a.hasReaders() {
			return true
		}
	}
	return false
}

// tick cancels exchanges that no entry follows and drops old answers.
func (t *table) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.kept) > 0 && now.Sub(t.kept[0].at) > answerRetention {
		t.drop()
	}
	for _, a := range t.answers {
		if at, idle := a.idleSince(); idle && now.Sub(at) > idleTimeout {
			a.cancel()
		}
	}
}
