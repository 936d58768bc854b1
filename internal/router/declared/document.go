// Package declared holds the declared state: the routes, services and customers that
// operators declare in one numbered document, and the zones that are out.
package declared

import (
	"fmt"
	"strings"
	"time"
)

// Kind states whether requests of a route may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota
	// Once requests run at most once for each attempt of a caller.
	Once
	// Stream requests are answered with a stream of events. They run at most once,
	// unless the route is resumable.
	Stream
)

var kindNames = [...]string{"repeatable", "once", "stream"}

// String returns the name of the kind in kebab-case.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// Target is one of the services that a route sends requests to.
type Target struct {
	Service string
	// Weight is the target's share of the requests, relative to the other targets.
	Weight int
}

// Route sends requests with a given host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may take.
	Timeout time.Duration
	// Objective is the target latency of a response, or of the first event of a
	// stream. Responses within it have their full value.
	Objective time.Duration
	// PauseObjective is the target for the longest pause between two events of a
	// stream.
	PauseObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of servers that may run one attempt of a caller.
	MaxAttempts int
	// Public routes don't require a key.
	Public bool
	// PrefixAffinity is set if requests list the parts of their prompt.
	PrefixAffinity bool
	// Resumable streams can continue on another server.
	Resumable bool
}

// MayRepeat reports whether a request of the route may run more than once.
func (r Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// HasSoleService reports whether all requests of the route go to one service.
func (r Route) HasSoleService() bool {
	services := 0
	for _, target := range r.Targets {
		if target.Weight > 0 {
			services++
		}
	}
	return services == 1
}

// Service is a set of identical backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections to one server, from all clients
	// together.
	MaxConns int
	// ColdStart is how long a server stays cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold server can
	// handle, or 0 if the service has no cold start.
	ColdPerSecond float64
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the memory that running requests and cached prompts share, in
	// tokens.
	CacheTokens int
}

// Customer is one customer and its API keys.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is set.
	Priority *int
}

// Document is one complete version of the declared state.
type Document struct {
	Number    uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// RequiresKey is set if requests on non-public routes need a key.
	RequiresKey bool
}

// Faults returns all reasons why the document is invalid.
func (d Document) Faults() []string {
	f := faults{services: make(map[string]bool, len(d.Services))}
	for _, s := range d.Services {
		f.check(s.Name != "", "a service has no name")
		f.check(!f.services[s.Name], "service %q is listed twice", s.Name)
		f.services[s.Name] = true
	}
	routeByHostPrefix := make(map[[2]string]string, len(d.Routes))
	for _, r := range d.Routes {
		f.checkRoute(r)
		hostPrefix := [2]string{strings.ToLower(r.Host), r.Prefix}
		other, taken := routeByHostPrefix[hostPrefix]
		f.check(!taken, "routes %q and %q have the same host and prefix", other, r.Name)
		routeByHostPrefix[hostPrefix] = r.Name
	}
	customerByKey := make(map[string]string)
	for _, c := range d.Customers {
		f.check(c.Name != "", "a customer has no name")
		for _, key := range c.Keys {
			other, taken := customerByKey[key]
			f.check(!taken || other == c.Name, "customers %q and %q have the same key", other, c.Name)
			customerByKey[key] = c.Name
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

func (f *faults) checkRoute(r Route) {
	f.check(r.Timeout > 0, "route %q: timeout must be positive", r.Name)
	f.check(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "route %q: prefix %q must start and end with a slash", r.Name, r.Prefix)
	weights := 0
	for _, t := range r.Targets {
		f.check(f.services[t.Service], "route %q: service %q not found", r.Name, t.Service)
		f.check(t.Weight >= 0, "route %q: weight %d of %q is negative", r.Name, t.Weight, t.Service)
		weights += t.Weight
	}
	f.check(weights > 0, "route %q: weights add up to 0", r.Name)
}
