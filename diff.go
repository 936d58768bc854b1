package bronzerill

import (
	"encoding/json"
	"slices"
)

// Difference is one entity that a ticket would change. Before is empty if the
// ticket creates the entity, After if it removes the entity.
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
		d := Difference{Kind: kind, Name: name, Before: encodeEntity(before, name), After: encodeEntity(after, name)}
		if string(d.Before) != string(d.After) {
			list = append(list, d)
		}
	}
	return list
}

// encodeEntity returns the JSON of the named entity, or nil if the table doesn't
// contain it.
func encodeEntity[T any](table map[string]T, name string) json.RawMessage {
	entity, ok := table[name]
	if !ok {
		return nil
	}
	// Encoding can't fail, because every field is plain data.
	data, _ := json.Marshal(entity)
	return data
}
