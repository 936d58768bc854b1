// Package ring maps chats to backend servers by consistent hashing. Processes that
// know the same servers choose the same server for a chat.
package ring

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bronzerill/internal/wire/control"
)

// probes is the number of probes per choice. With one point per server, 21 probes
// keep the busiest server within about 5% of the mean load (Appleton and O'Reilly,
// Multi-probe consistent hashing, 2015).
const probes = 21

// goldenRatio is 2^64 divided by the golden ratio. It spreads successive probes over
// the ring.
const goldenRatio = 0x9e3779b97f4a7c15

type point struct {
	hash   uint64
	server int32
}

// Ring chooses servers by multi-probe consistent hashing. Adding or removing a server
// moves only the chats of that server. A Ring is immutable and safe for concurrent
// use.
type Ring struct {
	servers []control.Server
	// points are sorted by hash.
	points []point
	// index holds, for each bucket of the hash range, the position in points of the
	// first point in or after the bucket.
	index []int32
	shift uint
}

// New returns a ring of the servers. The slice must not be modified afterwards.
func New(servers []control.Server) *Ring {
	r := &Ring{servers: servers}
	if len(servers) == 0 {
		return r
	}
	r.points = make([]point, len(servers))
	for i, s := range servers {
		r.points[i] = point{xxhash.Sum64String(s.Name), int32(i)}
	}
	slices.SortFunc(r.points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	r.buildIndex()
	return r
}

func (r *Ring) buildIndex() {
	width := uint(bits.Len(uint(len(r.points) - 1)))
	r.shift = 64 - width
	r.index = make([]int32, 1<<width)
	at := 0
	for bucket := range r.index {
		for at < len(r.points) && r.points[at].hash>>r.shift < uint64(bucket) {
			at++
		}
		r.index[bucket] = int32(at)
	}
}

// Len returns the number of servers.
func (r *Ring) Len() int { return len(r.servers) }

// Server returns the server at position i.
func (r *Ring) Server(i int) control.Server { return r.servers[i] }

// Find returns the position of the server with the given name.
func (r *Ring) Find(name string) (int, bool) {
	if len(r.points) == 0 {
		return 0, false
	}
	hash := xxhash.Sum64String(name)
	for i := r.successor(hash); i < len(r.points) && r.points[i].hash == hash; i++ {
		if at := int(r.points[i].server); r.servers[at].Name == name {
			return at, true
		}
	}
	return 0, false
}

// Choose returns the position of the nth choice for a key. The ring must not be
// empty. Successive choices are independent, so that the load of a full server
// spreads over all others. The same server may be chosen more than once.
func (r *Ring) Choose(key uint64, nth int) int {
	probe := mix(key + uint64(nth)*goldenRatio)
	best := int32(0)
	nearest := ^uint64(0)
	for range probes {
		p := r.points[r.wrappedSuccessor(probe)]
		if distance := p.hash - probe; distance < nearest {
			nearest = distance
			best = p.server
		}
		probe = mix(probe + goldenRatio)
	}
	return int(best)
}

func (r *Ring) wrappedSuccessor(hash uint64) int {
	i := r.successor(hash)
	if i == len(r.points) {
		return 0
	}
	return i
}

// successor returns the position of the first point at or after the hash, or
// len(r.points) if there is none.
func (r *Ring) successor(hash uint64) int {
	i := int(r.index[hash>>r.shift])
	for i < len(r.points) && r.points[i].hash < hash {
		i++
	}
	return i
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Key returns the ring key of a chat, or of a fingerprint if chat is empty.
func Key(customer, chat, fingerprint string) uint64 {
	if chat == "" {
		return xxhash.Sum64String(fingerprint)
	}
	return xxhash.Sum64String(customer + "\x00" + chat)
}
