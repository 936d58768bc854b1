package bronzerill

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
)

// Limits of a ticket. They keep one change within the budget for control traffic.
const (
	maxTicketEntities = 256
	maxNameBytes      = 128
)

// Ticket is a numbered change. It contains the complete new state of every
// entity that it changes.
type Ticket struct {
	// Number is chosen by the operator; at least 1.
	Number  uint64 `json:"number" toml:"number" msgpack:"number"`
	Changes `msgpack:",inline"`
}

// Outcome is the durable result of a ticket.
type Outcome struct {
	Number   uint64 `json:"number" msgpack:"n"`
	Digest   string `json:"digest" msgpack:"d"`
	Revision uint64 `json:"revision" msgpack:"r"`
}

// Digest returns a hash that identifies the content of the ticket.
func (t Ticket) Digest() string {
	content, err := json.Marshal(t)
	if err != nil {
		// Encoding can't fail, because every field is plain data.
		return ""
	}
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:16])
}

// Faults returns all reasons why the ticket can't be applied to the
// configuration, or nil if it can.
func (t Ticket) Faults(c *Config) []string {
	v := &validator{next: c.WithChanges(t.Changes)}
	v.check(t.Number > 0, "number: must be at least 1")
	size := len(t.Zones) + len(t.Pools) + len(t.Customers) + len(t.Policies) + len(t.Orders) + len(t.Removals)
	v.check(size > 0, "ticket: contains no changes")
	v.check(size <= maxTicketEntities, "ticket: changes %d entities, want at most %d", size, maxTicketEntities)
	v.check(len(t.Suspects) == 0, "suspects: can't be changed by a ticket")
	for _, z := range t.Zones {
		v.name("zone", z.Name)
	}
	for _, p := range t.Pools {
		v.pool(p)
	}
	for _, u := range t.Customers {
		v.customer(u)
	}
	for _, p := range t.Policies {
		v.policy(p)
	}
	for _, o := range t.Orders {
		v.order(o)
	}
	for _, r := range t.Removals {
		v.check(c.has(r.Kind, r.Name), "remove %s %q: not found", r.Kind, r.Name)
		v.check(r.Kind != EntitySuspect, "remove suspect %q: use quarantine release", r.Name)
	}
	v.references()
	return v.faults
}

// validator collects the faults of a ticket. next is the configuration with the
// ticket applied.
type validator struct {
	next   *Config
	faults []string
}

func (v *validator) check(ok bool, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, fmt.Sprintf(format, args...))
	}
}

func (v *validator) name(table, name string) {
	v.check(name != "", "%s: name is empty", table)
	v.check(len(name) <= maxNameBytes, "%s: name is longer than %d bytes", table, maxNameBytes)
	v.check(!strings.ContainsAny(name, "/ \t\r\n\x00"), "%s %q: name contains a slash or white space", table, name)
}

func (v *validator) pool(p Pool) {
	v.name("pool", p.Name)
	v.check(p.Kind == PoolEngine || p.Kind == PoolService, "pool %q: kind %q, want engine or service", p.Name, p.Kind)
	v.check(p.LoadMultiple >= 1 && p.LoadMultiple <= 100, "pool %q: load-multiple %v, want 1 to 100", p.Name, p.LoadMultiple)
	v.check(p.Slots >= 1, "pool %q: slots %d, want at least 1", p.Name, p.Slots)
	v.check(p.FloorSlots >= 1 && p.FloorSlots <= p.Slots, "pool %q: floor-slots %d, want 1 to slots", p.Name, p.FloorSlots)
	v.check(p.ColdSlots >= 1 && p.ColdSlots <= p.Slots, "pool %q: cold-slots %d, want 1 to slots", p.Name, p.ColdSlots)
	v.check(p.RampStep >= 1, "pool %q: ramp-step %d, want at least 1", p.Name, p.RampStep)
}

func (v *validator) customer(u Customer) {
	v.name("customer", u.Name)
	v.check(u.Weight >= 1, "customer %q: weight %d, want at least 1", u.Name, u.Weight)
	hash, err := hex.DecodeString(u.KeyHash)
	v.check(err == nil && len(hash) == sha256.Size, "customer %q: key-hash is not a hexadecimal SHA-256", u.Name)
	v.check(v.next.byKeyHash[u.KeyHash] == u.Name, "customer %q: key-hash belongs to another customer", u.Name)
}

func (v *validator) policy(p Policy) {
	v.name("policy", p.Name)
	v.check(p.SpillHops >= 1 && p.SpillHops <= 16, "policy %q: spill-hops %d, want 1 to 16", p.Name, p.SpillHops)
	v.check(p.QueueTimeoutMillis >= 0 && p.QueueTimeoutMillis <= 60_000, "policy %q: queue-timeout-ms %d, want 0 to 60000", p.Name, p.QueueTimeoutMillis)
}

func (v *validator) order(o Order) {
	v.name("order", o.Name)
	v.check(o.Action != "", "order %q: action is empty", o.Name)
	_, ok := v.next.pools[o.Pool]
	v.check(ok, "order %q: pool %q not found", o.Name, o.Pool)
}

// references checks that the pool of each policy exists, also of policies that
// the ticket doesn't change.
func (v *validator) references() {
	for _, p := range sorted(v.next.policies) {
		_, ok := v.next.pools[p.Pool]
		v.check(ok, "policy %q: pool %q not found", p.Name, p.Pool)
	}
}
