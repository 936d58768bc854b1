// Package placement selects the backend server for a request. It holds tables of
// servers and budgets, and its functions are given the current time.
package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is a backend server as listed by the platform.
type Server struct {
	ID      string `msgpack:"i"`
	Service string `msgpack:"s"`
	// Addr is the IP address and port.
	Addr  string `msgpack:"a"`
	Zone  string `msgpack:"z"`
	Slots int    `msgpack:"n"`
	// Leaving is set for servers that accept no new requests.
	Leaving bool `msgpack:"l"`
	// Cold is the remaining cold-start time when the list was read.
	Cold time.Duration `msgpack:"c"`
	// Born is the start time of the server process in Unix milliseconds, or 0 if
	// unknown. An ID can be reused with a later Born.
	Born int64 `msgpack:"b"`
	// Version is the version of the server's software. It is empty if unknown.
	Version string `msgpack:"v"`
	// Noted is set once the control group's history has the version. Resumable streams begin
	// at such servers.
	Noted bool `msgpack:"o"`
}

// process identifies the process of the server. An ID can be reused.
func (s Server) process() string { return s.ID + "@" + strconv.FormatInt(s.Born, 10) }

// isSameProcess reports whether both describe the same process of a server. A start time
// that is unknown equals any other.
func (s Server) isSameProcess(other Server) bool {
	return s.ID == other.ID && (s.Born == other.Born || s.Born == 0 || other.Born == 0)
}

// ReportedLoad is the load that a server reported in a response.
type ReportedLoad struct {
	Running, Waiting, Slots int
}

// ServerKey is a short hash of a server ID, used in digests.
type ServerKey uint32

// KeyOf returns the short hash of a server ID.
func KeyOf(id string) ServerKey { return ServerKey(xxhash.Sum64String(id)) }

// RouterLoad is the load of one router on a server. Counts above the range of uint16
// are capped.
type RouterLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// InFlight is the number of requests that were sent and have not ended.
	InFlight uint16
	// Waiting is the number of requests in flight without a response or first
	// event.
	Waiting uint16
}

// Observation is what one router has recently observed of a server.
type Observation struct {
	// InFlight is the number of requests in flight. Waiting is the number of these
	// without a response or first event.
	InFlight, Waiting int
	// Done and Failed are decayed counts of successful and failed requests.
	Done, Failed float64
	// RelativeLatency is the decayed sum of the relative latencies of successful
	// requests. A relative latency is the latency divided by the mean latency of
	// the route.
	RelativeLatency float64
}

// Parameters of the observations.
const (
	// halfLife is the half-life of an observation. Faults last a few seconds, and a
	// server must come back as fast as it was removed.
	halfLife = 2 * time.Second
	// maxRelativeLatency caps the relative latency of one request, so that a single
	// slow response doesn't mark a server as slow.
	maxRelativeLatency = 8.0
)

// decayed holds counts with a half-life of halfLife.
type decayed struct {
	done, failed, relativeLatency float64
	updatedAt                     time.Time
}

func (d *decayed) advance(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		d.done *= factor
		d.failed *= factor
		d.relativeLatency *= factor
		d.updatedAt = now
	}
}

func (d *decayed) add(now time.Time, failed bool, relativeLatency float64) {
	d.advance(now)
	if failed {
		d.failed++
		return
	}
	d.done++
	d.relativeLatency += min(relativeLatency, maxRelativeLatency)
}

// record is a row of the server table.
type record struct {
	Server
	key ServerKey
	// listedSince is when this process first knew the server.
	listedSince time.Time
	// unlistedAt is when the server was first missing in the list, zero while it is listed.
	// It gets no requests then.
	unlistedAt time.Time
	// leavingAt is when this router learned that the server is leaving. It is zero if the
	// server isn't, or was already when it was first listed.
	leavingAt time.Time
	// ownInFlight is the number of requests of this router in flight. ownWaiting is
	// the number of these without a response or first event.
	ownInFlight, ownWaiting int
	observations            decayed
	// peers is the sum of the peers' observations.
	peers Observation
	// coldUntil is the known end of the cold start, and listedColdUntil that stated by the list.
	coldUntil, listedColdUntil time.Time
	// downUntil is the earliest time of the next connection attempt after a
	// failure.
	downUntil time.Time
	// failedDials counts consecutive failed connection attempts.
	failedDials int
	// confirmedUp is false after the server was down, until it has responded. unconfirmedAt is
	// when it was last found down or its zone came back, zero before.
	confirmedUp   bool
	unconfirmedAt time.Time
	coldBucket    bucket
	limit         statedLimit
	backoff       statedBackoff
	// avoidUntil is the end of the time in which other servers are preferred, because this one
	// asked several peers for pauses.
	avoidUntil time.Time
}

// isGone reports whether the server is no longer listed and has no requests.
func (r *record) isGone() bool { return !r.unlistedAt.IsZero() && r.ownInFlight == 0 }

func (r *record) inFlight() int { return r.ownInFlight + r.peers.InFlight }

// isWithin reports whether a server is within a load bound with one more request.
func (r *record) isWithin(bound float64) bool { return float64(r.inFlight()+1) <= bound }

// queueLength returns the number of requests waiting for a response. It includes an
// estimate of those that peers have sent since their last report.
func (r *record) queueLength() float64 { return float64(r.ownWaiting+r.peers.Waiting) + r.unreported() }

// maxLoadAge is the maximum age of the peers' loads as long as digests arrive.
const maxLoadAge = 100 * time.Millisecond

// unreported estimates the number of requests that peers have sent since they last
// reported their loads.
func (r *record) unreported() float64 {
	perSecond := (r.peers.Done + r.peers.Failed) * math.Ln2 / halfLife.Seconds()
	return perSecond * maxLoadAge.Seconds()
}

// observed returns the decayed sums of this router's and the peers' observations.
func (r *record) observed() (done, failed, relativeLatency float64) {
	return r.observations.done + r.peers.Done, r.observations.failed + r.peers.Failed, r.observations.relativeLatency + r.peers.RelativeLatency
}

// relativeLatency returns the latency of the server relative to its service. With
// few observations it is close to 1.
func (r *record) relativeLatency() float64 {
	done, _, sum := r.observed()
	const prior = 2.0
	return (sum + prior) / (done + prior)
}

// failureRate returns the failure rate of recent requests, and the weight of the
// observations behind it.
func (r *record) failureRate() (rate, weight float64) {
	done, failed, _ := r.observed()
	weight = done + failed
	if weight == 0 {
		return 0, 0
	}
	return failed / weight, weight
}

// takesItsPart reports whether the server takes its part of the load, which it can't with a rate
// limit or in a pause.
func (r *record) takesItsPart(now time.Time) bool {
	return !r.limit.Limited && !r.backoff.isActive(now) && !now.Before(r.avoidUntil)
}

// setUnconfirmed records that the server may have become cold.
func (r *record) setUnconfirmed(now time.Time) { r.confirmedUp, r.unconfirmedAt = false, now }

// isColdStartListed reports whether the list has stated the end of a cold start that began after
// the server was unconfirmed.
func (r *record) isColdStartListed(coldStart time.Duration) bool {
	return r.listedColdUntil.Add(-coldStart).After(r.unconfirmedAt)
}

// isOpen reports whether the server takes its part of the load and isn't cold.
func (r *record) isOpen(now time.Time) bool { return r.takesItsPart(now) && !r.isCold(now) }

func (r *record) isCold(now time.Time) bool {
	return now.Before(r.coldUntil) || !r.confirmedUp
}
