package bronzerill

import (
	"strings"
	"time"
)

// Zone is a data centre.
type Zone struct {
	Versioned `msgpack:",inline"`
	Name      string `json:"name" toml:"name" msgpack:"n"`
	// Out means that the zone receives no new requests.
	Out bool `json:"out" toml:"out" msgpack:"o"`
}

// PoolKind states whether the servers of a pool are model engines or plain
// services.
type PoolKind string

// The kinds of serving pools.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool is a serving pool: a set of interchangeable backend servers.
type Pool struct {
	Versioned `msgpack:",inline"`
	Name      string   `json:"name" toml:"name" msgpack:"n"`
	Kind      PoolKind `json:"kind" toml:"kind" msgpack:"k"`
	// LoadMultiple is the load bound of a server, as a multiple of the pool's
	// mean load; at least 1.
	LoadMultiple float64 `json:"load-multiple" toml:"load-multiple" msgpack:"l"`
	// Slots is the maximum number of concurrent requests on one server; at
	// least 1.
	Slots int `json:"slots" toml:"slots" msgpack:"s"`
	// FloorSlots is the minimum load bound of a warm server, however low the
	// mean load is; between 1 and Slots.
	FloorSlots int `json:"floor-slots" toml:"floor-slots" msgpack:"f"`
	// ColdSlots is the load bound of a server at the beginning of its cold
	// start; between 1 and Slots.
	ColdSlots int `json:"cold-slots" toml:"cold-slots" msgpack:"c"`
	// RampStep is the number of finished requests after which the load bound
	// of a cold server rises by one; at least 1.
	RampStep int `json:"ramp-step" toml:"ramp-step" msgpack:"a"`
	// RepeatablePaths lists the paths of a service whose calls are idempotent.
	// Calls to all other paths need an idempotency key.
	RepeatablePaths []string `json:"repeatable-paths,omitempty" toml:"repeatable-paths" msgpack:"p"`
	// ChecksFencing means that the engines refuse orders with an outdated
	// fencing number.
	ChecksFencing bool `json:"checks-fencing" toml:"checks-fencing" msgpack:"e"`
	// EchoesRequestID means that every chunk of an engine's response contains
	// the request ID, so that the response to another request is detected.
	EchoesRequestID bool `json:"echoes-request-id" toml:"echoes-request-id" msgpack:"i"`
}

// IsRepeatable reports whether a call to the path may run more than once. It
// ignores the query of the path.
func (p Pool) IsRepeatable(path string) bool {
	path, _, _ = strings.Cut(path, "?")
	for _, repeatable := range p.RepeatablePaths {
		if path == repeatable {
			return true
		}
	}
	return false
}

// Customer is a tenant of the fleet.
type Customer struct {
	Versioned `msgpack:",inline"`
	Name      string `json:"name" toml:"name" msgpack:"n"`
	// KeyHash is the SHA-256 of the customer's API key, in lower-case
	// hexadecimal.
	KeyHash string `json:"key-hash" toml:"key-hash" msgpack:"h"`
	// Weight is the customer's relative share of slots under overload; at
	// least 1.
	Weight int `json:"weight" toml:"weight" msgpack:"w"`
}

// Policy is a routing policy: it maps a model or service name to a pool.
type Policy struct {
	Versioned `msgpack:",inline"`
	Name      string `json:"name" toml:"name" msgpack:"n"`
	Pool      string `json:"pool" toml:"pool" msgpack:"p"`
	// SpillHops is the maximum number of servers tried in one round; at least
	// 1.
	SpillHops int `json:"spill-hops" toml:"spill-hops" msgpack:"s"`
	// QueueTimeoutMillis is how long an entry looks for a free slot, in
	// milliseconds.
	QueueTimeoutMillis int `json:"queue-timeout-ms" toml:"queue-timeout-ms" msgpack:"t"`
}

// QueueTimeout returns how long an entry looks for a free slot.
func (p Policy) QueueTimeout() time.Duration {
	return time.Duration(p.QueueTimeoutMillis) * time.Millisecond
}

// Order is an instruction to one model engine. Its fencing number is the
// revision of the ticket that contained it.
type Order struct {
	Versioned `msgpack:",inline"`
	// Name is the server that receives the order. A later order for the same
	// server replaces this one.
	Name   string `json:"server" toml:"server" msgpack:"n"`
	Pool   string `json:"pool" toml:"pool" msgpack:"p"`
	Action string `json:"action" toml:"action" msgpack:"a"`
	Value  string `json:"value" toml:"value" msgpack:"v"`
}

// SuspectState is the state of a suspect, a request that was running when a
// backend server crashed.
type SuspectState string

// The states of a suspect.
const (
	SuspectHeld        SuspectState = "held"
	SuspectTrial       SuspectState = "trial"
	SuspectQuarantined SuspectState = "quarantined"
)

// Suspect is the fingerprint of a request that may crash backend servers.
type Suspect struct {
	Versioned `msgpack:",inline"`
	// Name is the fingerprint: a hash of customer, route and body.
	Name  string       `json:"fingerprint" toml:"-" msgpack:"n"`
	Pool  string       `json:"pool" toml:"-" msgpack:"p"`
	State SuspectState `json:"state" toml:"-" msgpack:"s"`
	// Crashes is the number of servers lost while the request ran; at most 2.
	Crashes int `json:"crashes" toml:"-" msgpack:"c"`
	// LastCrash is the ID of the last crash counted.
	LastCrash string `json:"last-crash" toml:"-" msgpack:"l"`
	// Agent is the agent that runs the trial; empty outside a trial.
	Agent string `json:"agent,omitempty" toml:"-" msgpack:"a"`
	// Expiry is when the fingerprint is released.
	Expiry time.Time `json:"expiry" toml:"-" msgpack:"x"`
}
