package declared

import (
	"sort"
	"strings"
)

// State is the declared state as known to one process. It is immutable.
type State struct {
	// Revision increases with each accepted change and never decreases.
	Revision uint64
	// Number is the number of the latest document, or 0 before the first one.
	Number uint64
	// Source is the document exactly as the operator sent it.
	Source []byte
	// ZonesOut lists the zones whose servers get no requests, sorted.
	ZonesOut []string
}

// Table is an index of one document. It is immutable.
type Table struct {
	// Number is the number of the document.
	Number uint64
	// Revision is that of the declared state.
	Revision uint64
	// RequiresKey is set if requests on non-public routes need a key.
	RequiresKey bool
	hosts       map[string][]*Route
	services    map[string]Service
	keys        map[string]*Customer
	zonesOut    map[string]bool
}

// NewTable builds a table from a document and the zones that are out. The revision is that of the declared state.
func NewTable(d Document, revision uint64, zonesOut []string) *Table {
	t := &Table{
		Number:      d.Number,
		Revision:    revision,
		RequiresKey: d.RequiresKey,
		hosts:       make(map[string][]*Route),
		services:    make(map[string]Service, len(d.Services)),
		keys:        make(map[string]*Customer),
		zonesOut:    make(map[string]bool, len(zonesOut)),
	}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &d.Routes[i])
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	for i := range d.Customers {
		for _, key := range d.Customers[i].Keys {
			t.keys[key] = &d.Customers[i]
		}
	}
	for _, zone := range zonesOut {
		t.zonesOut[zone] = true
	}
	return t
}

// Route returns the route of the host with the longest prefix that matches the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			routes = t.hosts[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) { s, ok := t.services[name]; return s, ok }

// Services returns all services by name. The caller must not modify the map.
func (t *Table) Services() map[string]Service { return t.services }

// Customer returns the customer that has the key.
func (t *Table) Customer(key string) (*Customer, bool) { c, ok := t.keys[key]; return c, ok }

// IsZoneOut reports whether the servers of a zone get no requests.
func (t *Table) IsZoneOut(zone string) bool { return t.zonesOut[zone] }

// PickService picks one of the route's services by weight. The hash must be uniform
// over requests. The same hash always picks the same service, so a retry goes to the
// service of the first attempt.
func (r Route) PickService(hash uint64) string {
	total := uint64(0)
	for _, target := range r.Targets {
		total += uint64(target.Weight)
	}
	offset := hash % max(1, total)
	for _, target := range r.Targets {
		if offset < uint64(target.Weight) {
			return target.Service
		}
		offset -= uint64(target.Weight)
	}
	return r.Targets[0].Service
}
