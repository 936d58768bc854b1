package engine

import (
	"sync"
	"time"
)

// Parameters of the monitor.
const (
	// failuresToDown is the number of failed load reports in a row after which
	// the engine counts as down.
	failuresToDown = 3
	// missesToCold is the number of cache misses in a row, of chats expected to
	// be warm, after which the engine counts as cold.
	missesToCold = 3
)

// StateChange is a change in the state of the engine, shown by a load report or
// a response.
type StateChange struct {
	// Cold means that the engine has crashed, started or lost its cache.
	Cold bool
	// Crashed means that a known engine process has ended.
	Crashed bool
	// Down reports whether the engine is down after the change.
	Down bool
}

// Monitor tracks the generation, reachability and cache misses of one engine.
// It is safe for concurrent use.
type Monitor struct {
	mu         sync.Mutex
	generation string
	// crashedGeneration is the last generation whose crash was detected.
	crashedGeneration string
	failures          int
	cacheMisses       int
	lastReportAt      time.Time
}

// RecordLoad records a load report.
func (m *Monitor) RecordLoad(now time.Time, l Load) StateChange {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = 0
	m.lastReportAt = now
	if l.Generation == m.generation {
		return StateChange{}
	}
	crashed := m.generation != "" && m.crashedGeneration != m.generation
	if crashed {
		m.crashedGeneration = m.generation
	}
	m.generation = l.Generation
	m.cacheMisses = 0
	return StateChange{Cold: true, Crashed: crashed}
}

// RecordFailure records a failed load report. refused means that nothing
// listens at the address of the engine, so its process has ended.
func (m *Monitor) RecordFailure(refused bool) StateChange {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures++
	change := StateChange{Down: refused || m.failures >= failuresToDown}
	if refused && m.generation != "" && m.crashedGeneration != m.generation {
		m.crashedGeneration = m.generation
		change.Crashed = true
		change.Cold = true
	}
	return change
}

// Generation returns the generation of the last load report.
func (m *Monitor) Generation() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// HasCrashed reports whether the generation is the last one whose crash was
// detected.
func (m *Monitor) HasCrashed(generation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return generation != "" && m.crashedGeneration == generation
}

// RecordResponse records whether a chat was warm and whether that was expected.
// The change is cold after missesToCold unexpected misses in a row: the engine
// has lost its cache without a restart.
func (m *Monitor) RecordResponse(expectedWarm, warm bool) StateChange {
	m.mu.Lock()
	defer m.mu.Unlock()
	if warm {
		m.cacheMisses = 0
		return StateChange{}
	}
	if !expectedWarm {
		return StateChange{}
	}
	m.cacheMisses++
	if m.cacheMisses < missesToCold {
		return StateChange{}
	}
	m.cacheMisses = 0
	return StateChange{Cold: true}
}
