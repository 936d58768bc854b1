package agent

import (
	"sync"
	"time"
)

// Parameters of the retry budget.
const (
	// budgetPerRequest is what each request adds: at most one retry for twenty
	// requests in the long run.
	budgetPerRequest = 0.05
	budgetPerSecond  = 2.0
	budgetMax        = 100.0
)

// RetryBudget bounds the retries of an entry to a share of its requests, so that a
// storm of failures can't multiply the load.
type RetryBudget struct {
	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
}

// NewRetryBudget returns a budget that starts with ten seconds' worth.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: 10 * budgetPerSecond, updatedAt: now}
}

// CountRequest adds the share of one request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetMax, b.tokens+budgetPerRequest)
}

// Take reports whether one more retry is allowed now.
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
