package queueing

import (
	"time"
)

// Request is what decides whether a request is still taken.
type Request struct {
	// Customer is empty on public routes.
	Customer string
	// Objective is the wait within which an answer has its full value.
	Objective time.Duration
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Engine is set for model engines.
	Engine bool
	// IsRetry is set when the request was refused before, or has lost a server.
	IsRetry bool
}

// Parameters of the limit on waits.
const (
	// engineShare is the part of the objective that the mean wait at an engine may
	// take: waits differ there with the prompts, and what runs slows down every
	// other request's events.
	engineShare = 0.45
	// leastAtEngines and leastElsewhere are the least limits. Below them the time of
	// the work itself, with the spread that it has, would count as a queue.
	leastAtEngines = 150 * time.Millisecond
	leastElsewhere = 250 * time.Millisecond
	// patienceShare is the part of a caller's patience that it may spend waiting,
	// so that there is time for the answer and for another try.
	patienceShare = 1.0 / 3
	// urgentFactor and patientFactor spread the limits by priority, so that the
	// less urgent are refused first but not all of them.
	urgentFactor  = 1.2
	patientFactor = 0.85
	// returnedFactor lets those go first who were turned away before.
	returnedFactor = 1.5
	// usualShare is the multiple of an even share of the requests up to which a
	// customer is treated like the others.
	usualShare = 2.0
	// leastShareAtEngines and leastShareElsewhere bound what a customer with many
	// requests loses; elsewhere than at engines the limit is nearer to the time of
	// the work itself.
	leastShareAtEngines = 0.4
	leastShareElsewhere = 0.7
)

// ServiceQueue decides for the requests of one service, as one router sees it.
type ServiceQueue struct {
	WaitEstimator
	shares Shares
}

// NewServiceQueue returns a service without requests.
func NewServiceQueue() *ServiceQueue { return &ServiceQueue{shares: newShares()} }

// WaitLimit returns the wait above which a request isn't taken. A short queue serves
// as many callers as a long one, and each of them sooner.
func (s *ServiceQueue) WaitLimit(now time.Time, r Request) time.Duration {
	limit, leastShare := max(leastElsewhere.Seconds(), r.Objective.Seconds()), leastShareElsewhere
	if r.Engine {
		limit, leastShare = max(leastAtEngines.Seconds(), engineShare*r.Objective.Seconds()), leastShareAtEngines
	}
	switch {
	case r.Priority <= 0:
		limit *= urgentFactor
	case r.Priority >= 2:
		limit *= patientFactor
	}
	if ratio := s.shares.ratio(now, r.Customer); ratio > usualShare {
		limit *= max(leastShare, usualShare/ratio)
	}
	if r.IsRetry {
		limit *= returnedFactor
	}
	return min(seconds(limit), seconds(patienceShare*r.Remaining.Seconds()))
}

// pressure is the part of a limit that requests must have waited lately for the
// service to count as pressed: near the limit, since a burst that the servers bear
// looks like a long queue before it is known how fast it empties.
const pressure = 0.8

// IsOverloaded reports whether requests wait so long that some must be refused.
func (s *ServiceQueue) IsOverloaded(now time.Time, limit time.Duration) bool {
	return s.RecentWait(now) > seconds(pressure*limit.Seconds())
}

// CountRequest counts a caller's request.
func (s *ServiceQueue) CountRequest(now time.Time, customer string) { s.shares.count(now, customer) }

// Bounds of the time after which a refused caller may come back.
const (
	minReturn = 100 * time.Millisecond
	// returnShare is the part of its patience for which a caller stays away; a
	// longer pause isn't kept.
	returnShare = 1.0 / 3
)

// RetryAfter returns when a refused caller may come back, given the least wait at
// any server: when the queue has emptied, or later, spread by a number that is
// uniform from 0 to 1, so that those who were refused together don't return as a
// wave.
func RetryAfter(wait time.Duration, r Request, uniform float64) time.Duration {
	longest := max(minReturn, seconds(returnShare*r.Remaining.Seconds()))
	soonest := min(max(minReturn, wait/2), longest/2)
	return soonest + seconds(uniform*(longest-soonest).Seconds())
}
