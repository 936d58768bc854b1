package declared

import (
	"sort"
	"strings"
)

// State is what a process holds of the declared state. It is immutable.
type State struct {
	// Revision grows with each accepted change and never falls.
	Revision uint64
	// Number is the number of the newest document, 0 before the first one.
	Number uint64
	// Source is the document as the operator sent it.
	Source []byte
	// ZonesOut lists the zones whose servers get nothing, in order.
	ZonesOut []string
}

// Table answers look-ups in one document. It is immutable.
type Table struct {
	// Number is the document's number.
	Number uint64
	// RequiresKey reports whether requests need a key.
	RequiresKey bool
	hosts       map[string][]*Route
	services    map[string]Service
	keys        map[string]*Customer
	zonesOut    map[string]bool
}

// NewTable compiles a document and the zones that are out.
func NewTable(d Document, zonesOut []string) *Table {
	t := &Table{
		Number:      d.Number,
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

// Route returns the route with the longest prefix of the path.
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

// Service returns the service of that name.
func (t *Table) Service(name string) (Service, bool) { s, ok := t.services[name]; return s, ok }

// Services returns every service, in no order.
func (t *Table) Services() map[string]Service { return t.services }

// Customer returns the customer that holds the key.
func (t *Table) Customer(key string) (*Customer, bool) { c, ok := t.keys[key]; return c, ok }

// IsZoneOut reports whether the servers of a zone get nothing.
func (t *Table) IsZoneOut(zone string) bool { return t.zonesOut[zone] }

// PickService picks one of the route's services by a number that is uniform over
// requests, so that a retry with the same number finds the same service.
func (r Route) PickService(uniform uint64) string {
	total := uint64(0)
	for _, target := range r.Targets {
		total += uint64(target.Weight)
	}
	at := uniform % max(1, total)
	for _, target := range r.Targets {
		if at < uint64(target.Weight) {
			return target.Service
		}
		at -= uint64(target.Weight)
	}
	return r.Targets[0].Service
}
