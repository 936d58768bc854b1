package agent

import (
	"math/rand/v2"
	"sync"
	"time"

	"bronzerill"
)

// Pauses before a server is asked again.
const (
	overloadPause = 60 * time.Millisecond
	failurePause  = 250 * time.Millisecond
	maxPause      = 5 * time.Second
)

type backoff struct {
	until time.Time
	// failures counts the failures in a row; refusals for load don't count.
	failures int
}

// Backoffs keeps servers that refused or failed from being asked again at once,
// for all requests of an entry. So the traffic to a full server is bounded by
// the number of entries and not by the number of callers.
type Backoffs struct {
	mu     sync.Mutex
	random *rand.Rand
	pauses map[string]backoff
}

// NewBackoffs returns an empty table with seeded jitter.
func NewBackoffs(seed uint64) *Backoffs {
	return &Backoffs{random: rand.New(rand.NewPCG(seed, 3)), pauses: make(map[string]backoff)}
}

// Until returns when the server may be asked again.
func (b *Backoffs) Until(server string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pauses[server].until
}

// RecordRefusal notes a refusal for load.
func (b *Backoffs) RecordRefusal(now time.Time, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pauses[server]
	p.until = now.Add(b.jitter(overloadPause))
	p.failures = 0
	b.pauses[server] = p
}

// RecordFailure notes a failure; failures in a row double the pause.
func (b *Backoffs) RecordFailure(now time.Time, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pauses[server]
	length := min(maxPause, failurePause<<min(p.failures, 8))
	p.until = now.Add(b.jitter(length))
	p.failures++
	b.pauses[server] = p
}

// jitter returns between one and one and a half times the length.
func (b *Backoffs) jitter(length time.Duration) time.Duration {
	return length + time.Duration(b.random.Int64N(int64(length)/2+1))
}

// RecordSuccess notes a success.
func (b *Backoffs) RecordSuccess(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pauses, server)
}

// Tick drops pauses that ended long ago.
func (b *Backoffs) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, p := range b.pauses {
		if now.Sub(p.until) > 2*maxPause {
			delete(b.pauses, server)
		}
	}
}

// isLoadRefusal reports whether a refusal says that the server is well but has
// no room.
func isLoadRefusal(k bronzerill.Kind) bool {
	switch k {
	case bronzerill.KindOverloaded, bronzerill.KindCold, bronzerill.KindCustomerShare, bronzerill.KindPriority:
		return true
	}
	return false
}

// isUnavailable reports whether a refusal says that the server takes no new work at
// all for now, which says nothing against asking another one.
func isUnavailable(k bronzerill.Kind) bool {
	return k == bronzerill.KindLeaving || k == bronzerill.KindZoneOut || k == bronzerill.KindLeaseLapsed
}
