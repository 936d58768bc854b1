package agent

import (
	"math/rand/v2"
	"sync"
	"time"

	"bronzerill"
)

// Backoff times. Jitter adds up to half of each.
const (
	overloadPause = 60 * time.Millisecond
	failurePause  = 250 * time.Millisecond
	maxPause      = 5 * time.Second
)

type backoff struct {
	until time.Time
	// failures is the number of consecutive failures. A refusal for load resets it.
	failures int
}

// Backoffs holds the servers that refused or failed a request recently. All
// requests of an entry share it and skip these servers until their backoff ends.
// The traffic to a full server is therefore bounded by the number of entries,
// not by the number of callers. It is safe for concurrent use.
type Backoffs struct {
	mu     sync.Mutex
	random *rand.Rand
	pauses map[string]backoff
}

// NewBackoffs returns an empty table whose jitter is seeded with seed.
func NewBackoffs(seed uint64) *Backoffs {
	return &Backoffs{random: rand.New(rand.NewPCG(seed, 3)), pauses: make(map[string]backoff)}
}

// Until returns the end of the server's backoff, or the zero time without one.
func (b *Backoffs) Until(server string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pauses[server].until
}

// RecordRefusal starts a short backoff after a refusal for load.
func (b *Backoffs) RecordRefusal(now time.Time, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pauses[server]
	p.until = now.Add(b.jitter(overloadPause))
	p.failures = 0
	b.pauses[server] = p
}

// RecordFailure starts a backoff that doubles with each consecutive failure, up to
// maxPause.
func (b *Backoffs) RecordFailure(now time.Time, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pauses[server]
	length := min(maxPause, failurePause<<min(p.failures, 8))
	p.until = now.Add(b.jitter(length))
	p.failures++
	b.pauses[server] = p
}

// jitter returns a random duration between length and 1.5 times length.
func (b *Backoffs) jitter(length time.Duration) time.Duration {
	return length + time.Duration(b.random.Int64N(int64(length)/2+1))
}

// RecordSuccess ends the server's backoff and resets its failure count.
func (b *Backoffs) RecordSuccess(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pauses, server)
}

// Tick removes entries whose backoff ended long ago. It bounds the size of the
// table.
func (b *Backoffs) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, p := range b.pauses {
		if now.Sub(p.until) > 2*maxPause {
			delete(b.pauses, server)
		}
	}
}

// isLoadRefusal reports whether the server is healthy but has no capacity for
// the request.
func isLoadRefusal(k bronzerill.Kind) bool {
	switch k {
	case bronzerill.KindOverloaded, bronzerill.KindCold, bronzerill.KindCustomerShare, bronzerill.KindPriority:
		return true
	}
	return false
}

// isUnavailable reports whether the server accepts no requests at all for now.
// Another server may still accept the request.
func isUnavailable(k bronzerill.Kind) bool {
	return k == bronzerill.KindLeaving || k == bronzerill.KindZoneOut || k == bronzerill.KindLeaseLapsed
}
