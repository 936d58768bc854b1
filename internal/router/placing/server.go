// Package placing decides which backend server takes a request: tables of
// servers and budgets, and pure functions that are given the present time.
package placing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is one backend server as the platform lists it.
type Server struct {
	ID      string `msgpack:"i"`
	Service string `msgpack:"s"`
	// Addr is the IP number and port.
	Addr  string `msgpack:"a"`
	Zone  string `msgpack:"z"`
	Slots int    `msgpack:"n"`
	// Leaving servers take no new work.
	Leaving bool `msgpack:"l"`
	// Cold is how much longer the server is in cold start, at the time of the
	// list.
	Cold time.Duration `msgpack:"c"`
	// Born is when this process of the server started, in Unix milliseconds, 0
	// when it isn't known. An ID may come back with a later Born.
	Born int64 `msgpack:"b"`
}

// ReportedLoad is what a server said of itself in an answer.
type ReportedLoad struct {
	Running, Waiting, Slots int
}

// ServerKey is a short hash of a server's ID, for digests.
type ServerKey uint32

// KeyOf returns the short hash of a server's ID.
func KeyOf(id string) ServerKey { return ServerKey(xxhash.Sum64String(id)) }

// RouterLoad is what one entry has under way at a server. Its fields are counts, cut
// to what fits.
type RouterLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// InFlight requests were sent and aren't over.
	InFlight uint16
	// Waiting requests of these have no answer yet, or no event of it.
	Waiting uint16
}

// Observation is what one entry has seen of a server lately.
type Observation struct {
	// InFlight is the number of requests under way, Waiting the number of those
	// that have no answer yet, or no event of it.
	InFlight, Waiting int
	// Done and Failed are decayed counts of finished requests.
	Done, Failed float64
	// RelativeLatency is the decayed sum, over finished requests, of their latency
	// relative to the mean latency of their route.
	RelativeLatency float64
}

// Parameters of the observations.
const (
	// halfLife is the time in which an observation loses half of its weight.
	// Faults last some seconds; a server has to come back as fast as it left.
	halfLife = 2 * time.Second
	// paceBound cuts the relative latency of one request, so that a single slow
	// answer doesn't condemn a server.
	paceBound = 8.0
)

// decayed holds counts that lose half of their weight each halfLife.
type decayed struct {
	done, failed, pace float64
	at                 time.Time
}

func (d *decayed) advance(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		d.done *= factor
		d.failed *= factor
		d.pace *= factor
		d.at = now
	}
}

func (d *decayed) add(now time.Time, failed bool, pace float64) {
	d.advance(now)
	if failed {
		d.failed++
		return
	}
	d.done++
	d.pace += min(pace, paceBound)
}

// record is a row of the table of servers.
type record struct {
	Server
	key ServerKey
	// own is what this entry has under way there, and waiting is the part of it
	// that has no answer yet.
	own, waiting int
	seen         decayed
	// peers is the sum of the neighbours' observations.
	peers Observation
	// coldUntil is the end of the cold start as far as it is known.
	coldUntil time.Time
	// downUntil is when the next connection may be tried after a failure.
	downUntil time.Time
	// refusals counts connections refused in a row.
	refusals int
	// proven is false after the server was down, until it has answered.
	proven bool
	cold   bucket
}

func (r *record) inFlight() int { return r.own + r.peers.InFlight }

// queue returns the number of requests that wait for an answer, also of those that
// neighbours are likely to have sent since they told.
func (r *record) queue() float64 { return float64(r.waiting+r.peers.Waiting) + r.unseen() }

// loadAge is how old the neighbours' loads are at the most, as long as digests
// arrive.
const loadAge = 100 * time.Millisecond

// unseen returns the number of requests that neighbours are likely to have sent
// since they told their loads.
func (r *record) unseen() float64 {
	perSecond := (r.peers.Done + r.peers.Failed) * math.Ln2 / halfLife.Seconds()
	return perSecond * loadAge.Seconds()
}

// observed returns the weight of finished requests, seen here and by neighbours.
func (r *record) observed() (done, failed, pace float64) {
	return r.seen.done + r.peers.Done, r.seen.failed + r.peers.Failed, r.seen.pace + r.peers.RelativeLatency
}

// paceRatio returns the server's latency relative to its service, drawn to 1
// while there are few observations.
func (r *record) paceRatio() float64 {
	done, _, pace := r.observed()
	const prior = 2.0
	return (pace + prior) / (done + prior)
}

// failureShare returns the share of failures among recent requests, and the
// weight of the observations behind it.
func (r *record) failureShare() (share, weight float64) {
	done, failed, _ := r.observed()
	weight = done + failed
	if weight == 0 {
		return 0, 0
	}
	return failed / weight, weight
}

func (r *record) isCold(now time.Time) bool {
	return now.Before(r.coldUntil) || !r.proven
}
