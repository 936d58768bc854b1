// Package control is the protocol between the control role and its lease holders.
// It contains the messages, a client that follows the leader, and a renewer for
// leases.
package control

import (
	"time"

	"bronzerill"
	"bronzerill/internal/control/state"
)

// Timing of leases.
const (
	// LeaseTerm is the duration of a lease, counted from the time at which the
	// holder sent the renewal. A change is in force everywhere at most this long
	// after it is committed.
	LeaseTerm = 3 * time.Second
	// EntryRenewalInterval is the time between the renewals of an entry.
	EntryRenewalInterval = time.Second
	// AgentRenewalInterval is the time between the renewals of an agent, which
	// also report its load.
	AgentRenewalInterval = 250 * time.Millisecond
)

// Service is the net/rpc name of the control service.
const Service = "Control"

// Failure is embedded in every reply. The zero value means success.
type Failure struct {
	Kind   bronzerill.Kind
	Detail string
	// Leader is the address of the leader, if known.
	Leader string
}

// GetFailure returns f, the failure that a reply embeds.
func (f *Failure) GetFailure() *Failure { return f }

// Err returns the failure as an error, or nil.
func (f *Failure) Err() error {
	if f.Kind == bronzerill.KindNone {
		return nil
	}
	return bronzerill.Errorf(f.Kind, "%s", f.Detail)
}

// ServerState is the state of a backend server as reported by its agent.
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

// AcceptsRequests reports whether the server accepts new requests.
func (s ServerState) AcceptsRequests() bool { return s == ServerReady || s == ServerCold }

// Server is one row of the server table.
type Server struct {
	Name  string
	Pool  string
	Zone  string
	Addr  string
	State ServerState
	// Generation identifies the agent process.
	Generation uint64
}

// Load is the load of a server as reported by its agent.
type Load struct {
	Running int
	// Limit is the number of requests that the agent would admit now, at most the
	// pool's slots.
	Limit int
}

// RenewRequest renews a lease and requests the changes since Revision.
type RenewRequest struct {
	Holder     string
	Generation uint64
	Revision   uint64
	// Server is set by agents only.
	Server *Server
	Load   Load
	// ServersTerm and ServersSeq are the entry's position in the updates of the
	// server table.
	ServersTerm uint64
	ServersSeq  uint64
	// WantServers requests updates of the server table. It is set by entries only.
	WantServers bool
	// Released means that the holder stops and its lease ends now.
	Released bool
}

// RenewReply grants a lease.
type RenewReply struct {
	Failure
	Delta   *bronzerill.Delta
	Servers *ServersDelta
	// Mean is the mean load of the agent's pool.
	Mean float64
	// Leaving means that the platform's list marks the agent's server as leaving.
	Leaving bool
}

// ServersDelta is one page of updates of the server table.
type ServersDelta struct {
	Term uint64
	Seq  uint64
	// Full means that the pages replace the whole table.
	Full bool
	// More means that the next renewal returns another page.
	More    bool
	Servers []Server
	// Gone contains the names of removed servers.
	Gone []string
}

// RegisterRequest registers a new agent process.
type RegisterRequest struct {
	Agent string
	// Process identifies the process. It is empty in earlier builds.
	Process string
}

// RegisterReply contains the generation of the process.
type RegisterReply struct {
	Failure
	Generation uint64
}

// ClaimRequest requests the right to send a non-idempotent call.
type ClaimRequest struct{ Claim state.Claim }

// ClaimReply contains the ledger's decision.
type ClaimReply struct {
	Failure
	Decision state.Decision
	Reply    state.Reply
}

// FinishRequest records the response of a call.
type FinishRequest struct{ Finish state.Finish }

// ReleaseRequest releases a claim.
type ReleaseRequest struct{ Release state.Release }

// MarkUnknownRequest records that a call's response was lost.
type MarkUnknownRequest struct{ MarkUnknown state.MarkUnknown }

// CrashRequest reports the requests that ran when a server crashed.
type CrashRequest struct {
	Crash state.Crash
	// Lost means that an entry reports this on behalf of a lost agent.
	Lost bool
}

// GoneRequest reports that an agent is lost.
type GoneRequest struct{ Pool, Agent string }

// RevisionReply contains the revision that includes the change.
type RevisionReply struct {
	Failure
	Revision uint64
}

// InForceRequest asks whether a revision is in force everywhere.
type InForceRequest struct{ Revision uint64 }

// InForceReply reports whether every holder has the revision.
type InForceReply struct {
	Failure
	InForce bool
}

// TrialRequest requests permission to run a suspect alone.
type TrialRequest struct{ Trial state.Trial }

// VerdictRequest ends a trial that did not crash its server.
type VerdictRequest struct{ Verdict state.Verdict }

// AckReply is the reply to requests without a result.
type AckReply struct{ Failure }
