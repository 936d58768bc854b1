package placement

import "time"

// bucket is a token bucket.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// take refills the bucket up to now and takes one token if there is one.
func (b *bucket) take(now time.Time, perSecond, capacity float64) bool {
	b.refill(now, perSecond, capacity)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *bucket) refill(now time.Time, perSecond, capacity float64) {
	if b.refilledAt.IsZero() {
		b.tokens = capacity
	} else if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(capacity, b.tokens+elapsed.Seconds()*perSecond)
	}
	b.refilledAt = now
}

// coldSendRate returns how many routers may send to one cold server, and the rate
// of each. A bucket of one token can let rate+1 requests through within one second.
// The rates allow for this, so that the sum over all routers stays within the limit
// even if they can't communicate.
func coldSendRate(limit float64, routers int) (senders int, perSecond float64) {
	senders = int(max(1, min(float64(routers), limit/2)))
	return senders, max(0.2, limit/float64(senders)-1)
}

// RetryBudget limits the extra sends to one service. The sum over all routers stays
// within ratio x requests + slack, because each router uses only its part of the
// slack.
type RetryBudget struct {
	tokens  float64
	started bool
}

// budgetUse is the fraction of the allowance that is used. The rest covers routers
// that count differently.
const budgetUse = 0.8

// CountRequest adds the credit for one request of a caller to the budget.
func (b *RetryBudget) CountRequest(ratio, slack float64, routers int) {
	b.start(slack, routers)
	b.tokens = min(b.tokens+ratio*budgetUse, b.capacity(slack, routers))
}

// Spend takes one extra send from the budget and reports whether there was one.
func (b *RetryBudget) Spend(slack float64, routers int) bool {
	b.start(slack, routers)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return adds back one extra send that was not made.
func (b *RetryBudget) Return(slack float64, routers int) {
	b.tokens = min(b.tokens+1, b.capacity(slack, routers))
}

func (b *RetryBudget) start(slack float64, routers int) {
	if !b.started {
		b.tokens = b.capacity(slack, routers)
		b.started = true
	}
}

func (b *RetryBudget) capacity(slack float64, routers int) float64 {
	return max(1, slack*budgetUse/float64(max(1, routers)))
}
