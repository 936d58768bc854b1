// Package replica keeps the replicated log of the control role: elections,
// replication, membership changes and snapshots, over replicas with disks.
package replica

import "time"

// MessageType names the purpose of a message between replicas.
type MessageType uint8

// The message types.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageTimeoutNow
)

var messageNames = [...]string{"none", "pre-vote", "pre-vote-reply", "vote", "vote-reply", "append", "append-reply", "snapshot", "timeout-now"}

// String returns the kebab-case name of the type.
func (t MessageType) String() string {
	if int(t) >= len(messageNames) {
		return "invalid"
	}
	return messageNames[t]
}

// Message is a one-way message between two replicas. It may be lost, doubled
// or late: every receiver compares terms and indexes.
type Message struct {
	Type MessageType
	From string
	To   string
	// Identity is the sender's data folder; a receiver ignores a sender whose
	// identity has changed.
	Identity string
	// FromAddr is where the sender takes messages.
	FromAddr string
	Term     uint64
	// Index and LogTerm are the entry before Entries, the last entry of a
	// candidate, or the last entry that a reply accepts.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Reject refuses a vote or an append.
	Reject bool
	// Transfer lifts the leader's lease: the leader itself asked for the vote.
	Transfer bool
	// SentAt is the leader's clock at sending, echoed in the reply.
	SentAt   time.Duration
	Snapshot *Snapshot
}

// isTentative reports whether the message's term is only proposed, so that it
// must not move the receiver's term on.
func (m Message) isTentative() bool {
	return m.Type == MessagePreVote || m.Type == MessagePreVoteReply && !m.Reject
}

// EntryType tells commands from membership changes.
type EntryType uint8

// The entry types.
const (
	EntryNone EntryType = iota
	EntryCommand
	EntryMembers
)

// Entry is one record of the log.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Type  EntryType `msgpack:"k"`
	Data  []byte    `msgpack:"d"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64  `msgpack:"i"`
	Term    uint64  `msgpack:"t"`
	Members Members `msgpack:"m"`
	Data    []byte  `msgpack:"d"`
}

// minTransferRate is the least rate, in bytes a second, that a snapshot is given to
// cross a link.
const minTransferRate = 4 << 20

// transferTimeout returns how long the snapshot may take to cross a link; nil takes
// none.
func (s *Snapshot) transferTimeout() time.Duration {
	if s == nil {
		return 0
	}
	return time.Duration(len(s.Data)) * time.Second / minTransferRate
}

// HardState is what a replica must not forget before it answers.
type HardState struct {
	Term   uint64 `msgpack:"t"`
	Vote   string `msgpack:"v"`
	Commit uint64 `msgpack:"c"`
}

// Ready is the work that the core asks its driver to do, in this order: save,
// report Persisted, send, apply.
type Ready struct {
	Hard *HardState
	// Entries replace the stored log from the first one's index on.
	Entries   []Entry
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.Hard == nil && len(r.Entries) == 0 && r.Snapshot == nil &&
		len(r.Messages) == 0 && len(r.Committed) == 0
}
