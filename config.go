package bronzerill

import (
	"cmp"
	"maps"
	"slices"
)

// maxRemovals is the number of removals retained for deltas. A holder that misses
// an older removal gets a snapshot.
const maxRemovals = 4096

// EntityKind names one table of the configuration.
type EntityKind string

// The tables of the configuration.
const (
	EntityZone     EntityKind = "zone"
	EntityPool     EntityKind = "pool"
	EntityCustomer EntityKind = "customer"
	EntityPolicy   EntityKind = "policy"
	EntityOrder    EntityKind = "order"
	EntitySuspect  EntityKind = "suspect"
)

// Removal records that an entity was removed.
type Removal struct {
	Versioned `msgpack:",inline"`
	Kind      EntityKind `json:"kind" toml:"kind" msgpack:"k"`
	Name      string     `json:"name" toml:"name" msgpack:"n"`
}

// Delta contains the complete new state of every entity written after revision
// From, up to and including To. If Snapshot is set, it contains the complete
// configuration.
type Delta struct {
	From     uint64 `json:"from" msgpack:"from"`
	To       uint64 `json:"to" msgpack:"to"`
	Snapshot bool   `json:"snapshot" msgpack:"snapshot"`
	Changes  `msgpack:",inline"`
}

// Changes lists the written entities by table, and the removals.
type Changes struct {
	Zones     []Zone     `json:"zones,omitempty" toml:"zone" msgpack:"zones,omitempty"`
	Pools     []Pool     `json:"pools,omitempty" toml:"pool" msgpack:"pools,omitempty"`
	Customers []Customer `json:"customers,omitempty" toml:"customer" msgpack:"customers,omitempty"`
	Policies  []Policy   `json:"policies,omitempty" toml:"policy" msgpack:"policies,omitempty"`
	Orders    []Order    `json:"orders,omitempty" toml:"order" msgpack:"orders,omitempty"`
	Suspects  []Suspect  `json:"suspects,omitempty" toml:"-" msgpack:"suspects,omitempty"`
	Removals  []Removal  `json:"removals,omitempty" toml:"remove" msgpack:"removals,omitempty"`
}

// Entity identifies an entity of the configuration.
type Entity struct {
	Kind EntityKind
	Name string
}

// Entities returns the entities that are written or removed.
func (c Changes) Entities() []Entity {
	var list []Entity
	for _, z := range c.Zones {
		list = append(list, Entity{EntityZone, z.Name})
	}
	for _, p := range c.Pools {
		list = append(list, Entity{EntityPool, p.Name})
	}
	for _, u := range c.Customers {
		list = append(list, Entity{EntityCustomer, u.Name})
	}
	for _, p := range c.Policies {
		list = append(list, Entity{EntityPolicy, p.Name})
	}
	for _, o := range c.Orders {
		list = append(list, Entity{EntityOrder, o.Name})
	}
	for _, s := range c.Suspects {
		list = append(list, Entity{EntitySuspect, s.Name})
	}
	for _, r := range c.Removals {
		list = append(list, Entity{r.Kind, r.Name})
	}
	return list
}

// Config is an immutable configuration. The zero value is the empty
// configuration at revision 0.
type Config struct {
	revision  uint64
	zones     map[string]Zone
	pools     map[string]Pool
	customers map[string]Customer
	byKeyHash map[string]string
	policies  map[string]Policy
	orders    map[string]Order
	suspects  map[string]Suspect
	// removals is sorted by revision. It contains every removal after the
	// revision removalsFrom.
	removals     []Removal
	removalsFrom uint64
}

// Revision returns the revision of the configuration.
func (c *Config) Revision() uint64 { return c.revision }

// Zone returns the zone of that name.
func (c *Config) Zone(name string) (Zone, bool) { z, ok := c.zones[name]; return z, ok }

// Pool returns the pool of that name.
func (c *Config) Pool(name string) (Pool, bool) { p, ok := c.pools[name]; return p, ok }

// Customer returns the customer of that name.
func (c *Config) Customer(name string) (Customer, bool) { u, ok := c.customers[name]; return u, ok }

// CustomerByKeyHash returns the customer whose API key has that hash.
func (c *Config) CustomerByKeyHash(hash string) (Customer, bool) {
	return c.Customer(c.byKeyHash[hash])
}

// Policy returns the routing policy of that name.
func (c *Config) Policy(name string) (Policy, bool) { p, ok := c.policies[name]; return p, ok }

// Order returns the order for the server of that name.
func (c *Config) Order(server string) (Order, bool) { o, ok := c.orders[server]; return o, ok }

// Suspect returns the suspect of that fingerprint.
func (c *Config) Suspect(fingerprint string) (Suspect, bool) {
	s, ok := c.suspects[fingerprint]
	return s, ok
}

// Suspects returns all suspects, sorted by fingerprint.
func (c *Config) Suspects() []Suspect { return sorted(c.suspects) }

// SuspectCount returns the number of suspects.
func (c *Config) SuspectCount() int { return len(c.suspects) }

// Pools returns all pools, sorted by name.
func (c *Config) Pools() []Pool { return sorted(c.pools) }

// Zones returns all zones, sorted by name.
func (c *Config) Zones() []Zone { return sorted(c.zones) }

// sorted returns the entities of a table, sorted by name.
func sorted[T any](table map[string]T) []T {
	names := slices.Sorted(maps.Keys(table))
	list := make([]T, 0, len(names))
	for _, name := range names {
		list = append(list, table[name])
	}
	return list
}

// WithChanges returns the configuration of the next revision, with the changes
// applied.
func (c *Config) WithChanges(changes Changes) *Config {
	return c.apply(c.revision+1, withRevision(changes, c.revision+1))
}

// WithDelta returns the configuration with the delta applied. It returns c and
// false if the delta doesn't lead to a higher revision, or if it isn't a
// snapshot and starts above the revision of c.
func (c *Config) WithDelta(d Delta) (next *Config, ok bool) {
	if d.To <= c.revision {
		return c, false
	}
	if d.Snapshot {
		return (&Config{removalsFrom: d.To}).apply(d.To, d.Changes), true
	}
	if d.From > c.revision {
		return c, false
	}
	return c.apply(d.To, d.Changes), true
}

// apply returns the configuration of the given revision, with the changes
// applied. Tables without changes are shared with c.
func (c *Config) apply(revision uint64, changes Changes) *Config {
	next := &Config{revision: revision, removalsFrom: c.removalsFrom}
	next.zones = overlay(c.zones, changes.Zones, EntityZone, changes.Removals, func(z Zone) string { return z.Name })
	next.pools = overlay(c.pools, changes.Pools, EntityPool, changes.Removals, func(p Pool) string { return p.Name })
	next.customers = overlay(c.customers, changes.Customers, EntityCustomer, changes.Removals, func(u Customer) string { return u.Name })
	next.policies = overlay(c.policies, changes.Policies, EntityPolicy, changes.Removals, func(p Policy) string { return p.Name })
	next.orders = overlay(c.orders, changes.Orders, EntityOrder, changes.Removals, func(o Order) string { return o.Name })
	next.suspects = overlay(c.suspects, changes.Suspects, EntitySuspect, changes.Removals, func(s Suspect) string { return s.Name })
	next.byKeyHash = c.byKeyHash
	if len(changes.Customers) > 0 || len(changes.Removals) > 0 || next.byKeyHash == nil {
		next.byKeyHash = make(map[string]string, len(next.customers))
		for name, customer := range next.customers {
			next.byKeyHash[customer.KeyHash] = name
		}
	}
	next.removals = c.removals
	if len(changes.Removals) > 0 {
		next.removals = append(slices.Clone(c.removals), changes.Removals...)
	}
	if excess := len(next.removals) - maxRemovals; excess > 0 {
		next.removalsFrom = next.removals[excess-1].Revision
		next.removals = next.removals[excess:]
	}
	return next
}

// overlay returns a copy of the table without the removed entities and with the
// written ones. It returns the table itself if nothing changes.
func overlay[T any](table map[string]T, written []T, kind EntityKind, removals []Removal, name func(T) string) map[string]T {
	removed := slices.ContainsFunc(removals, func(r Removal) bool { return r.Kind == kind })
	if len(written) == 0 && !removed {
		return table
	}
	next := make(map[string]T, len(table)+len(written))
	maps.Copy(next, table)
	for _, r := range removals {
		if r.Kind == kind {
			delete(next, r.Name)
		}
	}
	for _, entity := range written {
		next[name(entity)] = entity
	}
	return next
}

// withRevision returns a copy of the changes, with the revision set on each
// entity and removal.
func withRevision(changes Changes, revision uint64) Changes {
	version := Versioned{Revision: revision}
	return Changes{
		Zones:     updatedCopy(changes.Zones, func(z *Zone) { z.Versioned = version }),
		Pools:     updatedCopy(changes.Pools, func(p *Pool) { p.Versioned = version }),
		Customers: updatedCopy(changes.Customers, func(u *Customer) { u.Versioned = version }),
		Policies:  updatedCopy(changes.Policies, func(p *Policy) { p.Versioned = version }),
		Orders:    updatedCopy(changes.Orders, func(o *Order) { o.Versioned = version }),
		Suspects:  updatedCopy(changes.Suspects, func(s *Suspect) { s.Versioned = version }),
		Removals:  updatedCopy(changes.Removals, func(r *Removal) { r.Versioned = version }),
	}
}

// updatedCopy returns a copy of the list, with update called on each element.
func updatedCopy[T any](list []T, update func(*T)) []T {
	updated := slices.Clone(list)
	for i := range updated {
		update(&updated[i])
	}
	return updated
}

// DeltaSince returns the changes that a holder at the given revision doesn't
// have yet. It returns a snapshot if the removals since then are no longer
// retained.
func (c *Config) DeltaSince(revision uint64) Delta {
	d := Delta{From: revision, To: c.revision}
	if revision == 0 || revision < c.removalsFrom {
		d.From = 0
		d.Snapshot = true
	}
	d.Zones = writtenSince(c.zones, d.From)
	d.Pools = writtenSince(c.pools, d.From)
	d.Customers = writtenSince(c.customers, d.From)
	d.Policies = writtenSince(c.policies, d.From)
	d.Orders = writtenSince(c.orders, d.From)
	d.Suspects = writtenSince(c.suspects, d.From)
	if d.Snapshot {
		return d
	}
	// Leave out the removal of an entity that was written again later, since it
	// must not undo that write.
	for _, r := range c.removals {
		if r.Revision > revision && !c.has(r.Kind, r.Name) {
			d.Removals = append(d.Removals, r)
		}
	}
	return d
}

// ChangedAt returns the revision at which an entity was written or removed last. It is 0 if that isn't
// known: the entity never existed, or its removal is no longer retained.
func (c *Config) ChangedAt(entity Entity) uint64 {
	if revision, ok := c.writtenAt(entity); ok {
		return revision
	}
	for _, r := range slices.Backward(c.removals) {
		if r.Kind == entity.Kind && r.Name == entity.Name {
			return r.Revision
		}
	}
	return 0
}

func (c *Config) has(kind EntityKind, name string) bool {
	_, ok := c.writtenAt(Entity{kind, name})
	return ok
}

// writtenAt returns the revision at which an entity was written last, if it exists.
func (c *Config) writtenAt(entity Entity) (revision uint64, ok bool) {
	switch entity.Kind {
	case EntityZone:
		return revisionIn(c.zones, entity.Name)
	case EntityPool:
		return revisionIn(c.pools, entity.Name)
	case EntityCustomer:
		return revisionIn(c.customers, entity.Name)
	case EntityPolicy:
		return revisionIn(c.policies, entity.Name)
	case EntityOrder:
		return revisionIn(c.orders, entity.Name)
	case EntitySuspect:
		return revisionIn(c.suspects, entity.Name)
	}
	return 0, false
}

func revisionIn[T interface{ Rev() uint64 }](table map[string]T, name string) (revision uint64, ok bool) {
	entity, ok := table[name]
	return entity.Rev(), ok
}

// writtenSince returns the entities written after the revision, sorted by
// revision and name.
func writtenSince[T interface{ Rev() uint64 }](table map[string]T, revision uint64) []T {
	var names []string
	for name, entity := range table {
		if entity.Rev() > revision {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(table[a].Rev(), table[b].Rev()), cmp.Compare(a, b))
	})
	var list []T
	for _, name := range names {
		list = append(list, table[name])
	}
	return list
}
