// Package queueing decides which requests an overloaded service still admits, and
// when refused callers may retry. Without it, every request waits until its
// deadline once the load exceeds the capacity. Servers then work for callers that
// have disconnected, and answer fewer requests than they could.
package queueing

import (
	"math"
	"time"
)

// halfLife is the half-life of an observation. A queue builds up and empties within
// a second.
const halfLife = 500 * time.Millisecond

// WaitEstimator estimates how long requests wait at the servers of one service. A
// wait ends with the first event at engines, and with the complete response
// elsewhere.
type WaitEstimator struct {
	updatedAt time.Time
	// waitSum, positions and count are decayed sums over answered requests: their
	// waits in seconds, their queue positions, and their number.
	waitSum, positions, count float64
	// waiting is the number of this router's requests that wait now. sentSum is the
	// sum of their send times, in seconds after epoch.
	waiting int
	sentSum float64
	epoch   time.Time
}

func (e *WaitEstimator) advance(now time.Time) {
	if e.epoch.IsZero() {
		e.epoch, e.updatedAt = now, now
	}
	if elapsed := now.Sub(e.updatedAt); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		e.waitSum *= factor
		e.positions *= factor
		e.count *= factor
		e.updatedAt = now
	}
}

// Send counts a request that starts to wait.
func (e *WaitEstimator) Send(now time.Time) {
	e.advance(now)
	e.waiting++
	e.sentSum += now.Sub(e.epoch).Seconds()
}

// Discard counts the end of a wait that is no measurement: the server failed, or
// the caller disconnected.
func (e *WaitEstimator) Discard(now, sentAt time.Time) {
	e.advance(now)
	e.waiting = max(0, e.waiting-1)
	e.sentSum -= sentAt.Sub(e.epoch).Seconds()
	if e.waiting == 0 {
		e.sentSum = 0
	}
}

// Answer counts the end of a wait. The argument waiting is the number of requests
// that waited at the server when this one was sent.
func (e *WaitEstimator) Answer(now, sentAt time.Time, waiting float64) {
	e.Discard(now, sentAt)
	e.waitSum += now.Sub(sentAt).Seconds()
	e.positions += waiting + 1
	e.count++
}

// standstillRatio is the number of waiting requests per recently answered one above
// which the service counts as stalled. Below it, requests that wait long are stuck
// at a single server.
const standstillRatio = 4

// stalledWait returns the mean wait so far of this router's waiting requests, or 0
// if the service isn't stalled.
func (e *WaitEstimator) stalledWait(now time.Time) time.Duration {
	if float64(e.waiting) <= standstillRatio*max(1, e.count) {
		return 0
	}
	return seconds(now.Sub(e.epoch).Seconds() - e.sentSum/float64(e.waiting))
}

// RecentWait returns the mean wait of recently answered requests. If the service is
// stalled and the waiting requests have waited longer, it returns their mean wait
// so far.
func (e *WaitEstimator) RecentWait(now time.Time) time.Duration {
	e.advance(now)
	mean := time.Duration(0)
	if e.count > 0 {
		mean = seconds(e.waitSum / e.count)
	}
	return max(mean, e.stalledWait(now))
}

// Wait returns the estimated wait at a server where the given number of requests is
// waiting. It is the recent wait per queue position, times the position of the next
// request. Without recent waits, it is 0.
func (e *WaitEstimator) Wait(now time.Time, waiting float64) time.Duration {
	if e.positions == 0 {
		return 0
	}
	perPosition := max(e.waitSum/e.positions, e.stalledWait(now).Seconds()*e.count/e.positions)
	return seconds(perPosition * (waiting + 1))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
