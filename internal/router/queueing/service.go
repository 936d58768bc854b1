package queueing

import (
	"time"
)

// Request holds the properties of a request that determine its admission.
type Request struct {
	// Customer is empty on public routes.
	Customer string
	// Objective is the wait within which a response has its full value.
	Objective time.Duration
	// Remaining is how much longer the caller waits.
	Remaining time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Engine is set for model engines.
	Engine bool
	// IsRetry is set if the request was refused before or has lost a server.
	IsRetry bool
}

// Parameters of the wait limit.
const (
	// engineObjectiveShare is the share of the objective that the mean wait at an
	// engine may take. Waits at engines vary with the prompts, and each running
	// request slows down the events of the others.
	engineObjectiveShare = 0.45
	// minEngineLimit and minLimit are the lowest limits at engines and elsewhere.
	// Below them, the service time and its variation would count as a queue.
	minEngineLimit = 150 * time.Millisecond
	minLimit       = 250 * time.Millisecond
	// remainingShare is the share of the remaining time that a request may spend
	// waiting. The rest is left for the response and a retry.
	remainingShare = 1.0 / 3
	// urgentFactor and lowPriorityFactor spread the limits by priority, so that
	// less urgent requests are refused first but not all of them.
	urgentFactor      = 1.2
	lowPriorityFactor = 0.85
	// retryFactor favors requests that were refused before.
	retryFactor = 1.5
	// usualShare is the multiple of an even share of the requests up to which a
	// customer has the normal limit.
	usualShare = 2.0
	// minEngineShareFactor and minShareFactor are the lowest factors for customers
	// with many requests, at engines and elsewhere. Elsewhere the limit is closer
	// to the service time.
	minEngineShareFactor = 0.4
	minShareFactor       = 0.7
)

// ServiceQueue decides on the admission of requests to one service, as one router
// sees it.
type ServiceQueue struct {
	WaitEstimator
	shares Shares
}

// NewServiceQueue returns a queue without requests.
func NewServiceQueue() *ServiceQueue { return &ServiceQueue{shares: newShares()} }

// WaitLimit returns the estimated wait above which a request is refused. A short
// queue serves as many callers as a long one, and each of them sooner.
func (s *ServiceQueue) WaitLimit(now time.Time, r Request) time.Duration {
	limit, minFactor := max(minLimit.Seconds(), r.Objective.Seconds()), minShareFactor
	if r.Engine {
		limit, minFactor = max(minEngineLimit.Seconds(), engineObjectiveShare*r.Objective.Seconds()), minEngineShareFactor
	}
	switch {
	case r.Priority <= 0:
		limit *= urgentFactor
	case r.Priority >= 2:
		limit *= lowPriorityFactor
	}
	if ratio := s.shares.ratio(now, r.Customer); ratio > usualShare {
		limit *= max(minFactor, usualShare/ratio)
	}
	if r.IsRetry {
		limit *= retryFactor
	}
	return min(seconds(limit), seconds(remainingShare*r.Remaining.Seconds()))
}

// overloadShare is the share of a wait limit that recent waits must exceed for the
// service to count as overloaded. It is close to 1, because a burst within the
// capacity looks like a long queue until it is known how fast it empties.
const overloadShare = 0.8

// IsOverloaded reports whether recent waits are so long that some requests must be
// refused.
func (s *ServiceQueue) IsOverloaded(now time.Time, limit time.Duration) bool {
	return s.RecentWait(now) > seconds(overloadShare*limit.Seconds())
}

// CountForCustomer counts a request of a customer.
func (s *ServiceQueue) CountForCustomer(now time.Time, customer string) {
	s.shares.count(now, customer)
}

// Bounds of the time after which a refused caller may retry.
const (
	minRetryAfter = 100 * time.Millisecond
	// retryAfterShare is the longest pause as a share of the caller's remaining
	// time. Callers ignore longer pauses.
	retryAfterShare = 1.0 / 3
)

// RetryAfter returns the pause before a refused caller may retry, given the
// shortest estimated wait at any server. The pause leaves time for the queue to
// empty. It is spread by uniform, a random number from 0 to 1. Callers that were
// refused together thus don't return together.
func RetryAfter(wait time.Duration, r Request, uniform float64) time.Duration {
	longest := max(minRetryAfter, seconds(retryAfterShare*r.Remaining.Seconds()))
	soonest := min(max(minRetryAfter, wait/2), longest/2)
	return soonest + seconds(uniform*(longest-soonest).Seconds())
}

// RetryAfterBackoff returns the pause before a refused caller may retry, given the exact time
// until a server may get requests again. Callers of which the time is too short for that get
// a pause that they can keep, since another router may be allowed to send. The pause is
// spread like that of RetryAfter.
func RetryAfterBackoff(wait time.Duration, r Request, uniform float64) time.Duration {
	longest := max(minRetryAfter, seconds(retryAfterShare*r.Remaining.Seconds()))
	soonest := max(minRetryAfter, wait)
	if soonest > longest {
		soonest = longest / 2
	}
	return soonest + seconds(uniform*(longest-soonest).Seconds())
}
