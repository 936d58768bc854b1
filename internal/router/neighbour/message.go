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
	// Peers are a few routers that the sender knows.
	Peers []Peer
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
	Loads map[placing.ServerKey]placing.RouterLoad
	// Full digests carry what follows; others only tell loads, which are of use
	// only while they are fresh.
	Full bool
	// Observed is what the sender has observed of servers.
	Observed map[placing.ServerKey]Observation
	// Locations are prompts that servers keep.
	Locations []Location
	// Suspects are requests that crash servers, with the sender's counts.
	Suspects []placing.Suspect
	// HasDirectory is set once the sender knows which prompts servers keep, as far as
	// any router or server knows it.
	HasDirectory bool
	// Disk is set by a router with a disk. Such instances have the wider links.
	Disk bool
}

// Location is the compact form of a placement.
type Location struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Prompt   uint64
	Server   placing.ServerKey
	// Age is in seconds since the last use.
	Age uint8
}

// Observation is the compact form of an observation.
type Observation struct {
	_msgpack        struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Done            float32
	Failed          float32
	RelativeLatency float32
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
	d.Loads = make(map[placing.ServerKey]placing.RouterLoad)
	d.Observed = make(map[placing.ServerKey]Observation)
	for key, o := range seen {
		if o.InFlight > 0 {
			d.Loads[key] = placing.RouterLoad{InFlight: cut(o.InFlight), Waiting: cut(o.Waiting)}
		}
		if d.Full && o.Done+o.Failed > 0 {
			d.Observed[key] = Observation{Done: float32(o.Done), Failed: float32(o.Failed), RelativeLatency: float32(o.RelativeLatency)}
		}
	}
	return d
}

func cut(n int) uint16 { return uint16(min(n, math.MaxUint16)) }

// CompactLocations returns placements in the form of a digest.
func CompactLocations(told []placing.CacheLocation) []Location {
	homes := make([]Location, len(told))
	for i, p := range told {
		homes[i] = Location{Prompt: p.Prompt, Server: p.Server, Age: uint8(min(p.Age/time.Second, 255))}
	}
	return homes
}

// Placements returns a digest's homes.
func (d Digest) Placements() []placing.CacheLocation {
	told := make([]placing.CacheLocation, len(d.Locations))
	for i, h := range d.Locations {
		told[i] = placing.CacheLocation{Prompt: h.Prompt, Server: h.Server, Age: time.Duration(h.Age) * time.Second}
	}
	return told
}

// Observations returns a whole digest's observations without the loads.
func (d Digest) Observations() map[placing.ServerKey]placing.Observation {
	seen := make(map[placing.ServerKey]placing.Observation, len(d.Observed))
	for key, s := range d.Observed {
		seen[key] = placing.Observation{Done: float64(s.Done), Failed: float64(s.Failed), RelativeLatency: float64(s.RelativeLatency)}
	}
	return seen
}
