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
	// answerRetention is how long a finished answer waits for an entry that
	// comes back, and a tombstone for a late request.
	answerRetention = 30 * time.Second
	// idleTimeout is how long an exchange runs on without an entry.
	idleTimeout = 5 * time.Second
)

// table holds the exchanges of this process by ID.
type table struct {
	mu      sync.Mutex
	answers map[exchange.ID]*answer
}

func newTable() *table { return &table{answers: make(map[exchange.ID]*answer)} }

// find returns the answer of an ID. An attach to an unknown ID leaves a
// tombstone, which makes "not run" true even if the request is still on its way.
func (t *table) find(now time.Time, o exchange.Open) *answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.answers[o.ID]
	if a == nil && o.Attach {
		a = refusedAnswer(o.ID, now, bronzerill.KindAborted)
		t.answers[o.ID] = a
	}
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

// cancel stops an exchange at an entry's word. An unknown ID is refused later.
func (t *table) cancel(now time.Time, id exchange.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.answers[id]
	if a == nil {
		t.answers[id] = refusedAnswer(id, now, bronzerill.KindCanceled)
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
	for id, a := range t.answers {
		if at, closed := a.closedSince(); closed && now.Sub(at) > answerRetention {
			delete(t.answers, id)
		}
		if at, idle := a.idleSince(); idle && now.Sub(at) > idleTimeout {
			a.cancel()
		}
	}
}
