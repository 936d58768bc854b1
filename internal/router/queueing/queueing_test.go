package queueing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestWaitIsProportionalToTheQueue(t *testing.T) {
	var e WaitEstimator
	require.Zero(t, e.Wait(start, 100), "nothing is known")
	require.Zero(t, e.RecentWait(start))
	for i := range 20 {
		e.Send(at(10 * i))
	}
	for i := range 20 {
		e.Answer(at(10*i+400), at(10*i), 9)
	}
	now := at(600)
	require.InDelta(t, 0.4, e.RecentWait(now).Seconds(), 0.01)
	require.InDelta(t, 0.4, e.Wait(now, 9).Seconds(), 0.01)
	require.InDelta(t, 0.8, e.Wait(now, 19).Seconds(), 0.01)
}

// TestStandstillRaisesTheEstimate covers servers that stop responding. The waiting
// requests reveal this before any wait ends.
func TestStandstillRaisesTheEstimate(t *testing.T) {
	var e WaitEstimator
	e.Send(at(0))
	e.Answer(at(50), at(0), 4)
	for range 10 {
		e.Send(at(100))
	}
	require.InDelta(t, 0.05, e.RecentWait(at(110)).Seconds(), 0.01)
	require.InDelta(t, 0.9, e.RecentWait(at(1000)).Seconds(), 0.01)
	require.InDelta(t, 0.9, e.Wait(at(1000), 4).Seconds(), 0.01)
	for range 10 {
		e.Discard(at(1100), at(100))
	}
	require.InDelta(t, 0.05, e.RecentWait(at(1100)).Seconds(), 0.01, "discarded waits don't count")
}

// TestStuckRequestsDoNotRaiseTheEstimate covers a server that stops responding. Its
// requests wait long, while all others are answered at once (serra-rides-grown
// scale-2, where the estimated wait was 22 s and requests were refused).
func TestStuckRequestsDoNotRaiseTheEstimate(t *testing.T) {
	var e WaitEstimator
	for i := range 4 {
		e.Send(at(i))
	}
	for i := range 40 {
		e.Send(at(100 * i))
		e.Answer(at(100*i+60), at(100*i), 2)
	}
	require.InDelta(t, 0.06, e.RecentWait(at(4000)).Seconds(), 0.01)
	require.InDelta(t, 0.22, e.Wait(at(4000), 10).Seconds(), 0.01)
}

func TestOldWaitsDecay(t *testing.T) {
	var e WaitEstimator
	for i := range 50 {
		e.Send(at(i))
		e.Answer(at(i+2000), at(i), 9)
	}
	for i := range 20 {
		e.Send(at(5000 + i))
		e.Answer(at(5030+i), at(5000+i), 0)
	}
	// The slow requests ended 3 s before, which is six half-lives.
	require.Less(t, e.RecentWait(at(5100)), 150*time.Millisecond)
}

func TestLimit(t *testing.T) {
	normal := Request{Objective: 500 * time.Millisecond, Remaining: 5 * time.Second, Priority: 1}
	with := func(change func(*Request)) Request {
		r := normal
		change(&r)
		return r
	}
	limit := func(r Request) time.Duration { return NewServiceQueue().WaitLimit(start, r) }
	require.Equal(t, 500*time.Millisecond, limit(normal))
	require.Greater(t, limit(with(func(r *Request) { r.Priority = 0 })), limit(normal))
	require.Less(t, limit(with(func(r *Request) { r.Priority = 2 })), limit(normal))
	require.Greater(t, limit(with(func(r *Request) { r.IsRetry = true })), limit(normal))
	require.Less(t, limit(with(func(r *Request) { r.Engine = true })), limit(normal))
	require.InDelta(t, 0.1, limit(with(func(r *Request) { r.Remaining = 300 * time.Millisecond })).Seconds(), 0.001, "the remaining time bounds the limit")
	require.Equal(t, minLimit, limit(with(func(r *Request) { r.Objective = 0 })))
}

func TestSurgingCustomerHasALowerLimit(t *testing.T) {
	s := NewServiceQueue()
	request := Request{Objective: 500 * time.Millisecond, Remaining: 5 * time.Second, Priority: 1}
	for i := range 1000 {
		now := at(i)
		s.CountForCustomer(now, "surging")
		if i%10 == 0 {
			s.CountForCustomer(now, fmt.Sprintf("customer-%d", i/10%9))
		}
		if i%40 == 0 {
			s.CountForCustomer(now, "large")
		}
	}
	limit := func(customer string) time.Duration {
		request.Customer = customer
		return s.WaitLimit(at(1000), request)
	}
	require.Equal(t, 500*time.Millisecond, limit("customer-1"))
	require.Equal(t, 500*time.Millisecond, limit("large"), "a large customer below usualShare has the normal limit")
	require.InDelta(t, minShareFactor*0.5, limit("surging").Seconds(), 0.05)
	require.Equal(t, 500*time.Millisecond, limit("new"))
}

func TestSharesNeedSeveralCustomers(t *testing.T) {
	s := NewServiceQueue()
	for i := range 100 {
		s.CountForCustomer(at(i), "only")
	}
	require.EqualValues(t, 1, s.shares.ratio(at(100), "only"))
}

func TestRetryAfter(t *testing.T) {
	r := Request{Remaining: 3 * time.Second}
	soonest, latest := RetryAfter(400*time.Millisecond, r, 0), RetryAfter(400*time.Millisecond, r, 1)
	require.Equal(t, 200*time.Millisecond, soonest)
	require.Equal(t, time.Second, latest)
	require.Equal(t, 500*time.Millisecond, RetryAfter(time.Minute, r, 0), "retries aren't all at the longest pause")
	require.LessOrEqual(t, RetryAfter(0, Request{}, 1), minRetryAfter)
}
