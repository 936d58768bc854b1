package bronzerill

import (
	"encoding/json"
	"slices"
)

// Difference is one entity that a ticket would change. Before or After is empty
// when the entity is created or removed.
type Difference struct {
	Kind   EntityKind      `json:"kind"`
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff lists the entities that differ between two configurations.
func Diff(before, after *Config) []Difference {
	var list []Difference
	list = appendDiff(list, EntityZone, before.zones, after.zones)
	list = appendDiff(list, EntityPool, before.pools, after.pools)
	list = appendDiff(list, EntityCustomer, before.customers, after.customers)
	list = appendDiff(list, EntityPolicy, before.policies, after.policies)
	return appendDiff(list, EntityOrder, before.orders, after.orders)
}

func appendDiff[T any](list []Difference, kind EntityKind, before, after map[string]T) []Difference {
	var names []string
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		d := Difference{Kind: kind, Name: name, Before: encoded(before, name), After: encoded(after, name)}
		if string(d.Before) != string(d.After) {
			list = append(list, d)
		}
	}
	return list
}

func encoded[T any](table map[string]T, name string) json.RawMessage {
	entity, ok := table[name]
	if !ok {
		return nil
	}
	// Every field is plain data, so encoding can't fail.
	data, _ := json.Marshal(entity)
	return data
}
