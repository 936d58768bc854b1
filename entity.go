package bronzerill

import (
	"strings"
	"time"
)

// Zone is a data centre.
type Zone struct {
	Versioned `msgpack:",inline"`
	Name      string `json:"name" toml:"name" msgpack:"n"`
	// Out means that the zone receives no new work.
	Out bool `json:"out" toml:"out" msgpack:"o"`
}

// PoolKind tells model engines from plain services.
type PoolKind string

// The kinds of serving pools.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool is a serving pool: backend servers that can stand in for each other.
type Pool struct {
	Versioned `msgpack:",inline"`
	Name      string   `json:"name" toml:"name" msgpack:"n"`
	Kind      PoolKind `json:"kind" toml:"kind" msgpack:"k"`
	// LoadMultiple bounds a server's load as a multiple of the pool's mean;
	// at least 1.
	LoadMultiple float64 `json:"load-multiple" toml:"load-multiple" msgpack:"l"`
	// Slots is the most requests that one server runs at once; at least 1.
	Slots int `json:"slots" toml:"slots" msgpack:"s"`
	// FloorSlots is the load that a warm server may carry whatever the mean;
	// between 1 and Slots.
	FloorSlots int `json:"floor-slots" toml:"floor-slots" msgpack:"f"`
	// ColdSlots is the load that a server in cold start may carry; between 1
	// and Slots.
	ColdSlots int `json:"cold-slots" toml:"cold-slots" msgpack:"c"`
	// RampStep is the number of finished requests that add one slot to a cold
	// server; at least 1.
	RampStep int `json:"ramp-step" toml:"ramp-step" msgpack:"a"`
	// RepeatablePaths lists the paths of a service whose calls are idempotent.
	// Calls to every other path need an idempotency key.
	RepeatablePaths []string `json:"repeatable-paths,omitempty" toml:"repeatable-paths" msgpack:"p"`
	// ChecksFencing means that the engines refuse orders with an old number.
	ChecksFencing bool `json:"checks-fencing" toml:"checks-fencing" msgpack:"e"`
	// EchoesRequestID means that every chunk of an engine's answer carries the
	// request's id, so that a crossed answer shows.
	EchoesRequestID bool `json:"echoes-request-id" toml:"echoes-request-id" msgpack:"i"`
}

// IsRepeatable reports whether a call to the path, leaving its query out of
// account, may run more than once.
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
	// KeyHash is the lower-case hexadecimal SHA-256 of the customer's API key.
	KeyHash string `json:"key-hash" toml:"key-hash" msgpack:"h"`
	// Weight is the customer's share of slots under pressure; at least 1.
	Weight int `json:"weight" toml:"weight" msgpack:"w"`
}

// Policy is a routing policy: it maps a model or service name to a pool.
type Policy struct {
	Versioned `msgpack:",inline"`
	Name      string `json:"name" toml:"name" msgpack:"n"`
	Pool      string `json:"pool" toml:"pool" msgpack:"p"`
	// SpillHops is the most servers asked in one round; at least 1.
	SpillHops int `json:"spill-hops" toml:"spill-hops" msgpack:"s"`
	// QueueTimeoutMillis is how long an entry looks for a free slot.
	QueueTimeoutMillis int `json:"queue-timeout-ms" toml:"queue-timeout-ms" msgpack:"t"`
}

// QueueTimeout returns how long an entry looks for a free slot.
func (p Policy) QueueTimeout() time.Duration {
	return time.Duration(p.QueueTimeoutMillis) * time.Millisecond
}

// Order is an instruction to one model engine. Its fencing number is the
// revision of the ticket that carried it.
type Order struct {
	Versioned `msgpack:",inline"`
	// Name is the server the order is for; a later order replaces it.
	Name   string `json:"server" toml:"server" msgpack:"n"`
	Pool   string `json:"pool" toml:"pool" msgpack:"p"`
	Action string `json:"action" toml:"action" msgpack:"a"`
	Value  string `json:"value" toml:"value" msgpack:"v"`
}

// SuspectState is the state of a request that was running when a backend
// server crashed.
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
	// Name is the fingerprint of customer, route and body.
	Name  string       `json:"fingerprint" toml:"-" msgpack:"n"`
	Pool  string       `json:"pool" toml:"-" msgpack:"p"`
	State SuspectState `json:"state" toml:"-" msgpack:"s"`
	// Crashes counts the servers lost while the request ran; never above 2.
	Crashes int `json:"crashes" toml:"-" msgpack:"c"`
	// LastCrash is the id of the crash that was counted last.
	LastCrash string `json:"last-crash" toml:"-" msgpack:"l"`
	// Agent runs the trial; empty outside a trial.
	Agent string `json:"agent,omitempty" toml:"-" msgpack:"a"`
	// Expiry is when the fingerprint is released.
	Expiry time.Time `json:"expiry" toml:"-" msgpack:"x"`
}
