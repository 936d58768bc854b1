package entry

import (
	"slices"
	"sync/atomic"

	"bronzerill/internal/entry/agent"
	wire "bronzerill/internal/wire/control"
	"bronzerill/internal/wire/ring"
)

// ringSet contains the rings of one version of the server table.
type ringSet struct {
	version uint64
	byPool  map[string]*ring.Ring
}

// rings contains a ring for each pool. It is rebuilt when the server table
// changes.
type rings struct {
	set atomic.Pointer[ringSet]
}

// update rebuilds the rings if the view has another version of the server table.
// Only the lease renewer calls it, from a single goroutine.
func (r *rings) update(v *wire.View) {
	if old := r.set.Load(); old != nil && old.version == v.ServersVersion {
		return
	}
	set := &ringSet{version: v.ServersVersion, byPool: make(map[string]*ring.Ring)}
	for rest := v.Servers; len(rest) > 0; {
		pool := rest[0].Pool
		end := slices.IndexFunc(rest, func(s wire.Server) bool { return s.Pool != pool })
		if end < 0 {
			end = len(rest)
		}
		set.byPool[pool] = ring.New(rest[:end])
		rest = rest[end:]
	}
	r.set.Store(set)
}

// fleet provides the forwarder with the current view and the rings.
type fleet struct {
	renewer *wire.LeaseRenewer
	rings   *rings
}

var _ agent.Fleet = (*fleet)(nil)

// View returns the current lease and configuration.
func (f *fleet) View() *wire.View { return f.renewer.View() }

var emptyRing = ring.New(nil)

// Ring returns the ring of a pool. An unknown pool has an empty ring.
func (f *fleet) Ring(pool string) *ring.Ring {
	set := f.rings.set.Load()
	if set == nil || set.byPool[pool] == nil {
		return emptyRing
	}
	return set.byPool[pool]
}
