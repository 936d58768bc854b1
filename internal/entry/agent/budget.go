package agent

import (
	"sync"
	"time"
)

// Parameters of the token bucket. One token allows one retry.
const (
	// budgetPerRequest is the share of a token that each request adds. It allows
	// one retry per twenty requests in the long run.
	budgetPerRequest = 0.05
	budgetPerSecond  = 2.0
	budgetMax        = 100.0
)

// RetryBudget is a token bucket that limits an entry's retries to a share of its
// requests. Without it, widespread failures would multiply the load. It is safe
// for concurrent use.
type RetryBudget struct {
	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
}

// NewRetryBudget returns a budget that starts with the tokens of ten seconds.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: 10 * budgetPerSecond, updatedAt: now}
}

// CountRequest adds the tokens of one request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetMax, b.tokens+budgetPerRequest)
}

// Take takes one token and reports whether a retry is allowed.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetMax, b.tokens+now.Sub(b.updatedAt).Seconds()*budgetPerSecond)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
