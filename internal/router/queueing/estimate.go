// Package queueing decides which requests a busy service still takes, and when
// those that it refuses may come back. It answers for loads above what the servers
// bear: without it every request waits until its time is over, servers work for
// callers that leave, and fewer are answered than the servers could.
package queueing

import (
	"math"
	"time"
)

// halfLife is the time in which an observation loses half of its weight: a queue
// builds up and empties within a second.
const halfLife = 500 * time.Millisecond

// WaitEstimator learns how long requests wait at the servers of one service until they
// are answered: at engines until the first event, elsewhere until the end.
type WaitEstimator struct {
	at time.Time
	// waits, places and count are decayed sums over answered requests: their
	// waits in seconds, the requests that waited at the server with them, and
	// their number.
	waits, places, count float64
	// waiting is the number of this router's requests that wait now, and sent the
	// sum of the times, in seconds after epoch, at which they were sent.
	waiting int
	sent    float64
	epoch   time.Time
}

func (e *WaitEstimator) advance(now time.Time) {
	if e.epoch.IsZero() {
		e.epoch, e.at = now, now
	}
	if elapsed := now.Sub(e.at); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		e.waits *= factor
		e.places *= factor
		e.count *= factor
		e.at = now
	}
}

// Send counts a request that waits from now on.
func (e *WaitEstimator) Send(now time.Time) {
	e.advance(now)
	e.waiting++
	e.sent += now.Sub(e.epoch).Seconds()
}

// Discard counts the end of a wait that taught nothing: the server failed, or the
// caller left.
func (e *WaitEstimator) Discard(now, sentAt time.Time) {
	e.advance(now)
	e.waiting = max(0, e.waiting-1)
	e.sent -= sentAt.Sub(e.epoch).Seconds()
	if e.waiting == 0 {
		e.sent = 0
	}
}

// Answer counts the end of a wait at a server where so many requests waited when
// this one was sent.
func (e *WaitEstimator) Answer(now, sentAt time.Time, waiting float64) {
	e.Discard(now, sentAt)
	e.waits += now.Sub(sentAt).Seconds()
	e.places += waiting + 1
	e.count++
}

// standstill is the number of waiting requests for each one answered lately above
// which the service seems to stand still. Below it those that wait long are stuck at
// a server of their own.
const standstill = 4

// age returns the mean time for which this router's requests have waited so far, if
// hardly any is answered.
func (e *WaitEstimator) age(now time.Time) time.Duration {
	if float64(e.waiting) <= standstill*max(1, e.count) {
		return 0
	}
	return seconds(now.Sub(e.epoch).Seconds() - e.sent/float64(e.waiting))
}

// RecentWait returns how long requests have waited lately: the mean of those that were
// answered, or of those that still wait if they have waited longer.
func (e *WaitEstimator) RecentWait(now time.Time) time.Duration {
	e.advance(now)
	mean := time.Duration(0)
	if e.count > 0 {
		mean = seconds(e.waits / e.count)
	}
	return max(mean, e.age(now))
}

// Wait returns how long a request is likely to wait at a server at which so many
// wait already: in proportion to what the last ones have waited.
func (e *WaitEstimator) Wait(now time.Time, waiting float64) time.Duration {
	if e.places == 0 {
		return 0
	}
	perPlace := max(e.waits/e.places, e.age(now).Seconds()*e.count/e.places)
	return seconds(perPlace * (waiting + 1))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
