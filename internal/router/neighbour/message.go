// Package neighbour keeps routers informed of each other: small digests that
// each sends to a few others over UDP, and calls over net/rpc for what a digest
// shows to be missing.
package neighbour

import (
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bronzerill/internal/router/placing"
)

// Peer is one router.
type Peer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Name is unique among routers.
	Name string
	// Addr is where the router takes digests (UDP) and calls (TCP).
	Addr string
	Zone string
	// Started is when the process started, in nanoseconds of its clock. It tells
	// a restarted process from the one before.
	Started int64
}

// Digest is what one router tells others. A digest may be lost, doubled or late.
type Digest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	From     Peer
	// Sequence grows with each digest of a process.
	Sequence uint64
	// Others are a few routers that the sender knows.
	Others []Peer
	// Revision is the revision of the declared state that the sender holds.
	Revision uint64
	// Leader is the address of the leader of the control group, as of Term.
	Leader string
	Term   uint64
	// ListAge is the age of the sender's list of servers, negative without one.
	ListAge time.Duration
	// ListSum is the checksum of that list.
	ListSum uint64
	// Loads are the sender's requests under way, by server.
	Loads map[placing.ServerKey]placing.Carried
	// Whole digests carry what follows; others only tell loads, which are of use
	// only while they are fresh.
	Whole bool
	// Seen is what the sender has observed of servers.
	Seen map[placing.ServerKey]Seen
	// Homes are prompts that servers keep.
	Homes []Home
	// Suspects are requests that crash servers, with the sender's counts.
	Suspects []placing.Suspicion
	// Informed is set once the sender knows which prompts servers keep, as far as
	// any router or server knows it.
	Informed bool
	// Disk is set by a router with a disk. Such instances have the wider links.
	Disk bool
}

// Home is the compact form of a placement.
type Home struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Prompt   uint64
	Server   placing.ServerKey
	// Age is in seconds since the last use.
	Age uint8
}

// Seen is the compact form of an observation.
type Seen struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Done     float32
	Failed   float32
	Pace     float32
}

// maxDigest bounds a digest on the wire, in bytes.
const maxDigest = 60_000

func (d Digest) encode() ([]byte, error) { return msgpack.Marshal(&d) }

func decodeDigest(data []byte) (Digest, error) {
	var d Digest
	err := msgpack.Unmarshal(data, &d)
	return d, err
}

// WithObservations returns the digest with the sender's observations: the loads,
// and the rest if the digest is whole.
func (d Digest) WithObservations(seen map[placing.ServerKey]placing.Observation) Digest {
	d.Loads = make(map[placing.ServerKey]placing.Carried)
	d.Seen = make(map[placing.ServerKey]Seen)
	for key, o := range seen {
		if o.InFlight > 0 {
			d.Loads[key] = placing.Carried{InFlight: cut(o.InFlight), Waiting: cut(o.Waiting)}
		}
		if d.Whole && o.Done+o.Failed > 0 {
			d.Seen[key] = Seen{Done: float32(o.Done), Failed: float32(o.Failed), Pace: float32(o.Pace)}
		}
	}
	return d
}

func cut(n int) uint16 { return uint16(min(n, math.MaxUint16)) }

// CompactHomes returns placements in the form of a digest.
func CompactHomes(told []placing.Placement) []Home {
	homes := make([]Home, len(told))
	for i, p := range told {
		homes[i] = Home{Prompt: p.Prompt, Server: p.Server, Age: uint8(min(p.Age/time.Second, 255))}
	}
	return homes
}

// Placements returns a digest's homes.
func (d Digest) Placements() []placing.Placement {
	told := make([]placing.Placement, len(d.Homes))
	for i, h := range d.Homes {
		told[i] = placing.Placement{Prompt: h.Prompt, Server: h.Server, Age: time.Duration(h.Age) * time.Second}
	}
	return told
}

// Observations returns a whole digest's observations without the loads.
func (d Digest) Observations() map[placing.ServerKey]placing.Observation {
	seen := make(map[placing.ServerKey]placing.Observation, len(d.Seen))
	for key, s := range d.Seen {
		seen[key] = placing.Observation{Done: float64(s.Done), Failed: float64(s.Failed), Pace: float64(s.Pace)}
	}
	return seen
}
