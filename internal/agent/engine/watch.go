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

// Change is what a report or an answer shows about the engine.
type Change struct {
	// Cold means that the engine has started anew or lost its cache.
	Cold bool
	// Crashed means that a known engine process is gone.
	Crashed bool
	// Down is the engine's state after the change.
	Down bool
}

// Watch follows one engine's generation, reachability and warmth.
type Watch struct {
	mu         sync.Mutex
	generation string
	// lost is the generation whose crash was seen already.
	lost       string
	failures   int
	coldMisses int
	seenAt     time.Time
}

// Reported takes a load report.
func (w *Watch) Reported(now time.Time, l Load) Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = 0
	w.seenAt = now
	if l.Generation == w.generation {
		return Change{}
	}
	crashed := w.generation != "" && w.lost != w.generation
	if crashed {
		w.lost = w.generation
	}
	w.generation = l.Generation
	w.coldMisses = 0
	return Change{Cold: true, Crashed: crashed}
}

// Unreachable takes a failed report. refused means that nothing listens at the
// engine's address, so the process is gone.
func (w *Watch) Unreachable(refused bool) Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures++
	change := Change{Down: refused || w.failures >= missesToDown}
	if refused && w.generation != "" && w.lost != w.generation {
		w.lost = w.generation
		change.Crashed = true
		change.Cold = true
	}
	return change
}

// Generation returns the engine process that was seen last.
func (w *Watch) Generation() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.generation
}

// Lost reports whether the crash of a generation was seen.
func (w *Watch) Lost(generation string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return generation != "" && w.lost == generation
}

// Answered takes whether a returning chat found its cache, and reports whether
// the engine must have turned cold without a word.
func (w *Watch) Answered(expectedWarm, warm bool) Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	if warm {
		w.coldMisses = 0
		return Change{}
	}
	if !expectedWarm {
		return Change{}
	}
	w.coldMisses++
	if w.coldMisses < missesToCold {
		return Change{}
	}
	w.coldMisses = 0
	return Change{Cold: true}
}
