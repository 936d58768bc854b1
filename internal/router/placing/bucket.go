package placing

import "time"

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Time
}

// take refills the bucket to now and takes one token, if there is one.
func (b *bucket) take(now time.Time, perSecond, capacity float64) bool {
	b.refill(now, perSecond, capacity)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *bucket) refill(now time.Time, perSecond, capacity float64) {
	if b.at.IsZero() {
		b.tokens = capacity
	} else if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(capacity, b.tokens+elapsed.Seconds()*perSecond)
	}
	b.at = now
}

// coldShare says how many of the entries may send to one cold server, and at
// which rate each. A bucket of one token lets rate+1 requests through in some
// second, so the sum over all entries stays within limit even if they can't talk
// to each other.
func coldShare(limit float64, entries int) (senders int, perSecond float64) {
	senders = max(1, min(entries, int(limit/2)))
	return senders, max(0.2, limit/float64(senders)-1)
}

// RetryBudget bounds the extra sends to one service. The sum over all entries
// stays within ratio x requests + slack, since each entry takes its part of the
// slack only.
type RetryBudget struct {
	tokens float64
	ready  bool
}

// Part of the allowance that is used; the rest covers entries that count
// differently.
const budgetUse = 0.8

// Earn counts a request of a caller.
func (b *RetryBudget) Earn(ratio, slack float64, entries int) {
	b.start(slack, entries)
	b.tokens = min(b.tokens+ratio*budgetUse, b.capacity(slack, entries))
}

// Spend takes one extra send, if there is room.
func (b *RetryBudget) Spend(slack float64, entries int) bool {
	b.start(slack, entries)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) start(slack float64, entries int) {
	if !b.ready {
		b.tokens = b.capacity(slack, entries)
		b.ready = true
	}
}

func (b *RetryBudget) capacity(slack float64, entries int) float64 {
	return max(1, slack*budgetUse/float64(max(1, entries)))
}
