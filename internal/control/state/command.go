// Package state implements the replicated state machine of the control role. It
// holds the configuration, the booking ledger, suspects and promises.
package state

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"bronzerill"
)

// Command is one entry of the log. Exactly one of its pointers is set.
type Command struct {
	// At is the time on the leader's clock when it proposed the command.
	At           time.Time      `msgpack:"at"`
	Ticket       *TicketCommand `msgpack:"tk,omitempty"`
	Register     *Register      `msgpack:"rg,omitempty"`
	Claim        *Claim         `msgpack:"cl,omitempty"`
	Finish       *Finish        `msgpack:"fi,omitempty"`
	Release      *Release       `msgpack:"re,omitempty"`
	MarkUnknown  *MarkUnknown   `msgpack:"do,omitempty"`
	Abandon      *Abandon       `msgpack:"ab,omitempty"`
	Crash        *Crash         `msgpack:"cr,omitempty"`
	Trial        *Trial         `msgpack:"tr,omitempty"`
	Verdict      *Verdict       `msgpack:"ve,omitempty"`
	ClearSuspect *ClearSuspect  `msgpack:"pa,omitempty"`
	Promise      *Promise       `msgpack:"pr,omitempty"`
	Expire       *Expire        `msgpack:"ex,omitempty"`
	Declare      *Declare       `msgpack:"dc,omitempty"`
	SetZone      *SetZone       `msgpack:"sz,omitempty"`
	// NoteVersions and ForgetVersion are unknown to earlier builds, which ignore them.
	NoteVersions  *NoteVersions  `msgpack:"nv,omitempty"`
	ForgetVersion *ForgetVersion `msgpack:"fv,omitempty"`
}

// Encode returns the encoding of the command for the log.
func (c Command) Encode() ([]byte, error) { return msgpack.Marshal(c) }

// OrderedZone returns the zone that an encoded command takes out or puts back, or an empty string
// for other commands.
func OrderedZone(data []byte) (string, error) {
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return "", errors.Wrap(err, "decode command")
	}
	if c.SetZone == nil {
		return "", nil
	}
	return c.SetZone.Zone, nil
}

// TicketCommand submits a change ticket.
type TicketCommand struct {
	Ticket bronzerill.Ticket `msgpack:"t"`
}

// Register registers a new process of an agent. Its generation is returned in
// Result.Generation.
type Register struct {
	Agent string `msgpack:"a"`
}

// Expire removes records, suspects and promises past their retention.
type Expire struct{}

// Result is the outcome of applying a command.
type Result struct {
	Kind   bronzerill.Kind
	Detail string
	// Faults lists every reason why a ticket was refused.
	Faults []string
	// Outcome is the result of TicketCommand.
	Outcome bronzerill.Outcome
	// Generation is the result of Register.
	Generation uint64
	// Decision is the result of Claim. Record is the ledger record that it is
	// based on.
	Decision Decision
	Record   Record
	// Revision is the configuration revision after the command.
	Revision uint64
}

// Err returns the failure of the command as an error, or nil.
func (r Result) Err() error {
	if r.Kind == bronzerill.KindNone {
		return nil
	}
	return bronzerill.Errorf(r.Kind, "%s", r.Detail)
}
