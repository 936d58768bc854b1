package engine

import (
	"sync"
	"time"
)

// Parameters of the watch.
const (
	// missesToDown is the number of failed load reports in a row that mark an
	// engine as down.
	missesToDown = 3
	// missesToCold is the number of returning chats in a row that found no
	// cache, after which the engine must have lost it.
	missesToCold = 3
)

// StateChange is what a report or an answer shows about the engine.
type StateChange struct {
	// Cold means that the engine has started anew or lost its cache.
	Cold bool
	// Crashed means that a known engine process is gone.
	Crashed bool
	// Down is the engine's state after the change.
	Down bool
}

// Monitor follows one engine's generation, reachability and warmth.
type Monitor struct {
	mu         sync.Mutex
	generation string
	// lost is the generation whose crash was seen already.
	lost       string
	failures   int
	coldMisses int
	seenAt     time.Time
}

// RecordLoad takes a load report.
func (w *Monitor) RecordLoad(now time.Time, l Load) StateChange {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = 0
	w.seenAt = now
	if l.Generation == w.generation {
		return StateChange{}
	}
	crashed := w.generation != "" && w.lost != w.generation
	if crashed {
		w.lost = w.generation
	}
	w.generation = l.Generation
	w.coldMisses = 0
	return StateChange{Cold: true, Crashed: crashed}
}

// RecordFailure takes a failed report. refused means that nothing listens at the
// engine's address, so the process is gone.
func (w *Monitor) RecordFailure(refused bool) StateChange {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures++
	change := StateChange{Down: refused || w.failures >= missesToDown}
	if refused && w.generation != "" && w.lost != w.generation {
		w.lost = w.generation
		change.Crashed = true
		change.Cold = true
	}
	return change
}

// Generation returns the engine process that was seen last.
func (w *Monitor) Generation() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.generation
}

// HasCrashed reports whether the crash of a generation was seen.
func (w *Monitor) HasCrashed(generation string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return generation != "" && w.lost == generation
}

// RecordAnswer takes whether a returning chat found its cache, and reports whether
// the engine must have turned cold without a word.
func (w *Monitor) RecordAnswer(expectedWarm, warm bool) StateChange {
	w.mu.Lock()
	defer w.mu.Unlock()
	if warm {
		w.coldMisses = 0
		return StateChange{}
	}
	if !expectedWarm {
		return StateChange{}
	}
	w.coldMisses++
	if w.coldMisses < missesToCold {
		return StateChange{}
	}
	w.coldMisses = 0
	return StateChange{Cold: true}
}
