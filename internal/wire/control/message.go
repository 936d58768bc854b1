// Package control is the protocol between the control role and the holders of
// its leases, with the client side: a client that follows the leader and a
// keeper that renews the lease.
package control

import (
	"time"

	"bronzerill"
	"bronzerill/internal/control/state"
)

// Timing of leases.
const (
	// LeaseTerm is how long a holder may act on a renewal, from the moment it
	// sent the request. Every change is in force after it.
	LeaseTerm = 3 * time.Second
	// EntryRenewalInterval is the pause between an entry's renewals.
	EntryRenewalInterval = time.Second
	// AgentRenewalInterval is the pause between an agent's renewals, which also carry
	// its load.
	AgentRenewalInterval = 250 * time.Millisecond
)

// Service is the name of the control service on net/rpc.
const Service = "Control"

// Failure is embedded in every reply; the zero value is success.
type Failure struct {
	Kind   bronzerill.Kind
	Detail string
	// Leader is the address to ask instead, when known.
	Leader string
}

// Failed returns the failure itself.
func (f *Failure) GetFailure() *Failure { return f }

// Err returns the failure as an error, or nil.
func (f *Failure) Err() error {
	if f.Kind == bronzerill.KindNone {
		return nil
	}
	return bronzerill.Errorf(f.Kind, "%s", f.Detail)
}

// ServerState is what an agent says of its backend server.
type ServerState uint8

// The states of a backend server.
const (
	ServerReady ServerState = iota + 1
	ServerCold
	ServerLeaving
	ServerDown
)

var serverStateNames = [...]string{"none", "ready", "cold", "leaving", "down"}

// String returns the kebab-case name of the state.
func (s ServerState) String() string { return serverStateNames[s] }

// TakesWork reports whether the server may get new work.
func (s ServerState) TakesWork() bool { return s == ServerReady || s == ServerCold }

// Server is one row of the table of backend servers.
type Server struct {
	Name  string
	Pool  string
	Zone  string
	Addr  string
	State ServerState
	// Generation is the agent's process.
	Generation uint64
}

// Load is what an agent reports beside its server's row.
type Load struct {
	Running int
	// Limit is the most requests the agent would admit now; at most the
	// pool's slots.
	Limit int
}

// RenewRequest renews a lease and asks for what changed.
type RenewRequest struct {
	Holder     string
	Generation uint64
	Revision   uint64
	// Server is set by agents.
	Server *Server
	Load   Load
	// ServersTerm and ServersSeq are the entry's position in the server table.
	ServersTerm uint64
	ServersSeq  uint64
	// WantServers is set by entries.
	WantServers bool
	// Released means that the holder stops: its lease ends now.
	Released bool
}

// RenewReply grants a lease.
type RenewReply struct {
	Failure
	Delta   *bronzerill.Delta
	Servers *ServersDelta
	// Mean is the mean load of the agent's pool.
	Mean float64
	// Leaving means that the platform's list calls the agent's server leaving.
	Leaving bool
}

// ServersDelta is a page of the table of backend servers.
type ServersDelta struct {
	Term uint64
	Seq  uint64
	// Full starts the table anew.
	Full bool
	// More means that another page follows at the next renewal.
	More    bool
	Servers []Server
	Gone    []string
}

// RegisterRequest announces a new agent process.
type RegisterRequest struct{ Agent string }

// RegisterReply carries the generation of the process.
type RegisterReply struct {
	Failure
	Generation uint64
}

// ClaimRequest asks for the right to send a non-idempotent call.
type ClaimRequest struct{ Claim state.Claim }

// ClaimReply carries the ledger's decision.
type ClaimReply struct {
	Failure
	Decision state.Decision
	Reply    state.Reply
}

// FinishRequest records the answer of a call.
type FinishRequest struct{ Finish state.Finish }

// ReleaseRequest gives a claim back.
type ReleaseRequest struct{ Release state.Release }

// MarkUnknownRequest records that a call's answer was lost.
type MarkUnknownRequest struct{ MarkUnknown state.MarkUnknown }

// CrashRequest reports what ran when a server crashed.
type CrashRequest struct {
	Crash state.Crash
	// Lost means that an entry reports for an agent that is gone.
	Lost bool
}

// GoneRequest tells that an agent was found gone.
type GoneRequest struct{ Pool, Agent string }

// RevisionReply carries the revision that holds the change.
type RevisionReply struct {
	Failure
	Revision uint64
}

// InForceRequest asks whether a revision is in force everywhere.
type InForceRequest struct{ Revision uint64 }

// InForceReply answers whether every holder has the revision.
type InForceReply struct {
	Failure
	InForce bool
}

// TrialRequest asks to run a suspect alone.
type TrialRequest struct{ Trial state.Trial }

// VerdictRequest ends a trial that went well.
type VerdictRequest struct{ Verdict state.Verdict }

// AckReply answers requests that carry nothing back.
type AckReply struct{ Failure }
