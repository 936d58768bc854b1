package entry

import (
	"cmp"
	"slices"
	"sync/atomic"

	"bronzerill/internal/entry/agent"
	wire "bronzerill/internal/wire/control"
)

// ringSet holds the rings of one version of the server table.
type ringSet struct {
	version uint64
	byPool  map[string]*agent.Ring
}

// rings keeps a ring for each pool, rebuilt when the server table changes.
type rings struct {
	set atomic.Pointer[ringSet]
}

// update follows the view; the lease keeper calls it from one goroutine.
func (r *rings) update(v *wire.View) {
	if old := r.set.Load(); old != nil && old.version == v.ServersVersion {
		return
	}
	byPool := make(map[string][]wire.Server)
	for _, s := range v.Servers {
		byPool[s.Pool] = append(byPool[s.Pool], s)
	}
	set := &ringSet{version: v.ServersVersion, byPool: make(map[string]*agent.Ring, len(byPool))}
	for pool, servers := range byPool {
		slices.SortFunc(servers, func(a, b wire.Server) int { return cmp.Compare(a.Name, b.Name) })
		set.byPool[pool] = agent.NewRing(servers)
	}
	r.set.Store(set)
}

// fleet is the forwarder's window on the control role.
type fleet struct {
	keeper *wire.Keeper
	rings  *rings
}

var _ agent.Fleet = (*fleet)(nil)

// View returns the present lease and configuration.
func (f *fleet) View() *wire.View { return f.keeper.View() }

var emptyRing = agent.NewRing(nil)

// Ring returns the ring of a pool.
func (f *fleet) Ring(pool string) *agent.Ring {
	set := f.rings.set.Load()
	if set == nil || set.byPool[pool] == nil {
		return emptyRing
	}
	return set.byPool[pool]
}
