// Package neighbour keeps routers informed of each other: small digests that
// each sends to a few others over UDP, and calls over net/rpc for what a digest
// shows to be missing.
package neighbour

import (
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
	// Seen is what the sender has observed of servers.
	Seen map[placing.ServerKey]Seen
	// Homes are prompts that servers keep.
	Homes []Home
}

// Home is the compact form of a placement.
type Home struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Prompt   uint64
	Server   placing.ServerKey
}

// Seen is the compact form of an observation.
type Seen struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	InFlight uint16
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

// Compact returns observations in the form of a digest.
func Compact(seen map[placing.ServerKey]placing.Observation) map[placing.ServerKey]Seen {
	compact := make(map[placing.ServerKey]Seen, len(seen))
	for key, o := range seen {
		compact[key] = Seen{
			InFlight: uint16(min(o.InFlight, 1<<16-1)),
			Done:     float32(o.Done), Failed: float32(o.Failed), Pace: float32(o.Pace),
		}
	}
	return compact
}

// CompactHomes returns placements in the form of a digest.
func CompactHomes(told []placing.Placement) []Home {
	homes := make([]Home, len(told))
	for i, p := range told {
		homes[i] = Home{Prompt: p.Prompt, Server: p.Server}
	}
	return homes
}

// Placements returns a digest's homes.
func (d Digest) Placements() []placing.Placement {
	told := make([]placing.Placement, len(d.Homes))
	for i, h := range d.Homes {
		told[i] = placing.Placement{Prompt: h.Prompt, Server: h.Server}
	}
	return told
}

// Observations returns a digest's observations.
func (d Digest) Observations() map[placing.ServerKey]placing.Observation {
	seen := make(map[placing.ServerKey]placing.Observation, len(d.Seen))
	for key, s := range d.Seen {
		seen[key] = placing.Observation{
			InFlight: int(s.InFlight),
			Done:     float64(s.Done), Failed: float64(s.Failed), Pace: float64(s.Pace),
		}
	}
	return seen
}
