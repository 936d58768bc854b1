// Package replica implements the replicated log of the control role in the
// style of Raft: elections, replication, membership changes and snapshots.
// Every replica keeps its state on disk.
package replica

import "time"

// MessageType is the type of a message between replicas.
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

// Message is a one-way message between two replicas. It may be lost, duplicated
// or delayed, so every receiver compares terms and indexes.
type Message struct {
	Type MessageType
	From string
	To   string
	// Identity is the ID of the sender's data folder. A receiver ignores a sender
	// whose folder has changed.
	Identity string
	// FromAddr is the address at which the sender receives messages.
	FromAddr string
	Term     uint64
	// Index and LogTerm identify the entry before Entries in an append, and the
	// candidate's last entry in a vote request. In an append reply, Index is the
	// last entry that matches, or after a rejection the last that may match.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Reject denies a vote or rejects an append.
	Reject bool
	// Transfer marks a vote request of a leadership transfer. It overrides the
	// leader's lease, because the leader itself asked for the election.
	Transfer bool
	// SentAt is the leader's clock when it sent the message. The reply echoes it.
	SentAt   time.Duration
	Snapshot *Snapshot
}

// isTentative reports whether the message carries a term that is only proposed,
// as in a pre-vote. The receiver must not adopt such a term.
func (m Message) isTentative() bool {
	return m.Type == MessagePreVote || m.Type == MessagePreVoteReply && !m.Reject
}

// EntryType distinguishes commands from membership changes.
type EntryType uint8

// The entry types.
const (
	EntryNone EntryType = iota
	EntryCommand
	EntryMembers
)

// Entry is one entry of the log.
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

// minTransferRate is the lowest rate, in bytes per second, that the timeouts
// assume for the transfer of data.
const minTransferRate = 4 << 20

// transferTimeout returns the time allowed for the transfer of the snapshot. It
// returns 0 for a nil snapshot.
func (s *Snapshot) transferTimeout() time.Duration {
	if s == nil {
		return 0
	}
	return deliveryTime(len(s.Data))
}

func deliveryTime(size int) time.Duration {
	return time.Duration(size) * time.Second / minTransferRate
}

// bytes returns the size of the message's data.
func (m *Message) bytes() int {
	size := entryBytes(m.Entries)
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

// HardState is the state that a replica must save before it replies to a
// message.
type HardState struct {
	Term   uint64 `msgpack:"t"`
	Vote   string `msgpack:"v"`
	Commit uint64 `msgpack:"c"`
}

// Ready is the work that the core asks its driver to do. The driver saves the
// state, calls Persisted, sends the messages and applies the committed entries,
// in this order.
type Ready struct {
	HardState *HardState
	// Entries replace the stored log from the index of the first one on.
	Entries   []Entry
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
}

// Empty reports whether there is no work.
func (r Ready) Empty() bool {
	return r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil &&
		len(r.Messages) == 0 && len(r.Committed) == 0
}
