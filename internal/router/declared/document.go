// Package declared holds the whole desired state that operators declare in one
// numbered document: routes, services, customers and the zones that are out.
package declared

import (
	"fmt"
	"strings"
	"time"
)

// Kind states what may be repeated on a route.
type Kind uint8

// The kinds of route.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota
	// Once requests run at most once for each attempt of a caller.
	Once
	// Stream requests are answered by a series of events; they run at most
	// once, unless the route is resumable.
	Stream
)

var kindNames = [...]string{"repeatable", "once", "stream"}

// String returns the kebab-case name of the kind.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// Target is one of the services of a route.
type Target struct {
	Service string
	// Weight is the target's share, relative to the route's other targets.
	Weight int
}

// Route leads requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value; for
	// streams, the latency of the first event.
	Objective time.Duration
	// PauseObjective is the longest pause between two events of a stream.
	PauseObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	Targets  []Target
	// MaxAttempts is the most servers that one attempt of a caller may reach.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// PrefixAffinity requests name the parts of their prompt.
	PrefixAffinity bool
	// Resumable streams may go on at another server.
	Resumable bool
}

// MayRepeat reports whether a request of the route may run again.
func (r Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service is a set of equal backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections of one server from all callers.
	MaxConns int
	// ColdStart is how long a server stays cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is the rate of requests that a cold server bears, 0 when
	// its servers have no cold start.
	ColdPerSecond float64
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens is the memory that running requests and cached prompts share.
	CacheTokens int
}

// Customer is one customer and its keys.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before the route's, when it is set.
	Priority *int
}

// Document is one whole desired state.
type Document struct {
	Number    uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// RequiresKey reports whether requests need a key.
	RequiresKey bool
}

// Faults lists every reason why the document is invalid.
func (d Document) Faults() []string {
	f := faults{services: make(map[string]bool, len(d.Services))}
	for _, s := range d.Services {
		f.check(s.Name != "", "a service has no name")
		f.check(!f.services[s.Name], "service %q stands twice", s.Name)
		f.services[s.Name] = true
	}
	places := make(map[[2]string]string, len(d.Routes))
	for _, r := range d.Routes {
		f.route(r)
		place := [2]string{strings.ToLower(r.Host), r.Prefix}
		other, taken := places[place]
		f.check(!taken, "routes %q and %q share host and prefix", other, r.Name)
		places[place] = r.Name
	}
	holders := make(map[string]string)
	for _, c := range d.Customers {
		f.check(c.Name != "", "a customer has no name")
		for _, key := range c.Keys {
			other, taken := holders[key]
			f.check(!taken || other == c.Name, "customers %q and %q share a key", other, c.Name)
			holders[key] = c.Name
		}
	}
	return f.list
}

type faults struct {
	services map[string]bool
	list     []string
}

func (f *faults) check(ok bool, format string, args ...any) {
	if !ok {
		f.list = append(f.list, fmt.Sprintf(format, args...))
	}
}

func (f *faults) route(r Route) {
	f.check(r.Timeout > 0, "route %q: the timeout must be above 0", r.Name)
	f.check(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	weights := 0
	for _, t := range r.Targets {
		f.check(f.services[t.Service], "route %q: service %q not found", r.Name, t.Service)
		f.check(t.Weight >= 0, "route %q: weight %d of %q is negative", r.Name, t.Weight, t.Service)
		weights += t.Weight
	}
	f.check(weights > 0, "route %q: the weights add up to 0", r.Name)
}
