// Package peer exchanges state between routers. Each router sends small digests
// to a few peers over UDP. If a digest shows that the receiver lacks some data, the
// receiver fetches the data by a call over net/rpc.
package peer

import (
	"bytes"
	"io"
	"math"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"bronzerill/internal/router/placement"
)

// Peer identifies one router.
type Peer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Name is unique among routers.
	Name string
	// Addr is the address for digests (UDP) and calls (TCP).
	Addr string
	Zone string
	// Started is the start time of the process by its own clock, in Unix nanoseconds.
	// It distinguishes a restarted process from the previous one.
	Started int64
}

// Digest is the gossip message of one router. A digest may be lost, duplicated or
// delayed.
type Digest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	From     Peer
	// Sequence increases with each digest of a process.
	Sequence uint64
	// Peers are a few routers that the sender knows.
	Peers []Peer
	// Revision is the revision of the sender's declared state.
	Revision uint64
	// Leader is the address of the leader of the control group in Term.
	Leader string
	Term   uint64
	// ListAge is the age of the sender's list of servers. It is negative without a list.
	ListAge time.Duration
	// ListSum is the checksum of that list.
	ListSum uint64
	// Loads are the sender's requests in flight and waiting, by server.
	Loads map[placement.ServerKey]placement.RouterLoad
	// Full marks a digest that carries Peers, Observed, Locations and Suspects too.
	// Loads are sent more often, since they are useful only while they are fresh.
	Full bool
	// Observed are the sender's observations of servers.
	Observed map[placement.ServerKey]Observation
	// Locations are cache locations of prompts.
	Locations []Location
	// Suspects are requests thought to crash servers, with the sender's crash counts.
	Suspects []placement.Suspect
	// HasDirectory is set once the sender has loaded the prefix directory from a peer
	// or from the engines.
	HasDirectory bool
	// Disk is set by a router with a disk. Such instances have the faster links.
	Disk bool
	// Extension holds fields that earlier builds don't know.
	Extension Extension `msgpack:"-"`
}

// Extension is the part of a digest that may get further fields. It is encoded after the
// digest, whose number of fields is fixed. Earlier builds ignore it.
type Extension struct {
	// RateLimits are the limits that servers stated to the sender. Only full digests have
	// them.
	RateLimits map[placement.ServerKey]placement.RateLimitReport `msgpack:"rate-limits,omitempty"`
	// Backoffs is how much longer servers that asked the sender for a pause want no requests
	// from it. Only full digests have them.
	Backoffs map[placement.ServerKey]time.Duration `msgpack:"backoffs,omitempty"`
	// Routers is the number of routers that the sender knows, with itself.
	Routers int `msgpack:"routers,omitempty"`
	// MixedServices are the services with servers of several versions, and the time since
	// these were last seen. Only full digests have them.
	MixedServices map[placement.ServiceKey]time.Duration `msgpack:"mixed-services,omitempty"`
}

// Location is the compact form of a placement.CacheLocation.
type Location struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Prompt   uint64
	Server   placement.ServerKey
	// Age is the time since the last use, in seconds, at most 255.
	Age uint8
}

// Observation is the compact form of a placement.Observation.
type Observation struct {
	_msgpack        struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Done            float32
	Failed          float32
	RelativeLatency float32
}

// maxDigest is the maximum size of an encoded digest, in bytes.
const maxDigest = 60_000

func (d Digest) encode() ([]byte, error) {
	var buffer bytes.Buffer
	err := msgpack.NewEncoder(&buffer).EncodeMulti(&d, &d.Extension)
	return buffer.Bytes(), err
}

func decodeDigest(data []byte) (Digest, error) {
	var d Digest
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&d); err != nil {
		return d, err
	}
	if err := decoder.Decode(&d.Extension); !errors.Is(err, io.EOF) {
		return d, err
	}
	// The digest comes from an earlier build.
	return d, nil
}

// WithObservations returns the digest with the sender's loads. A full digest gets the
// other observations too.
func (d Digest) WithObservations(observations map[placement.ServerKey]placement.Observation) Digest {
	d.Loads = make(map[placement.ServerKey]placement.RouterLoad)
	d.Observed = make(map[placement.ServerKey]Observation)
	for key, o := range observations {
		if o.InFlight > 0 {
			d.Loads[key] = placement.RouterLoad{InFlight: clampUint16(o.InFlight), Waiting: clampUint16(o.Waiting)}
		}
		if d.Full && o.Done+o.Failed > 0 {
			d.Observed[key] = Observation{Done: float32(o.Done), Failed: float32(o.Failed), RelativeLatency: float32(o.RelativeLatency)}
		}
	}
	return d
}

func clampUint16(n int) uint16 { return uint16(min(n, math.MaxUint16)) }

// CompactLocations converts cache locations to their compact form.
func CompactLocations(locations []placement.CacheLocation) []Location {
	compact := make([]Location, len(locations))
	for i, location := range locations {
		compact[i] = Location{Prompt: location.Prompt, Server: location.Server, Age: uint8(min(location.Age/time.Second, 255))}
	}
	return compact
}

// CacheLocations returns the cache locations of a digest.
func (d Digest) CacheLocations() []placement.CacheLocation {
	locations := make([]placement.CacheLocation, len(d.Locations))
	for i, location := range d.Locations {
		locations[i] = placement.CacheLocation{Prompt: location.Prompt, Server: location.Server, Age: time.Duration(location.Age) * time.Second}
	}
	return locations
}

// Observations returns the observations of a full digest, without the loads.
func (d Digest) Observations() map[placement.ServerKey]placement.Observation {
	observations := make(map[placement.ServerKey]placement.Observation, len(d.Observed))
	for key, o := range d.Observed {
		observations[key] = placement.Observation{Done: float64(o.Done), Failed: float64(o.Failed), RelativeLatency: float64(o.RelativeLatency)}
	}
	return observations
}
