package state

import (
	"time"

	"bronzerill"
)

// Limits and retention times of the ledger.
const (
	// MaxResponseBytes is the size of the largest response that is stored for replay.
	MaxResponseBytes = 64 << 10
	// ResponseRetention is how long a response can be replayed.
	ResponseRetention = 24 * time.Hour
	// KeyRetention is how long a key is stored after its response was dropped.
	KeyRetention = 7 * 24 * time.Hour
	// MaxRecords bounds the number of records. When the ledger is full, claims of
	// new keys are refused as not run.
	MaxRecords = 500_000
)

// ClaimState is the state of a claim.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimRunning means that the owner of the claim may send the call.
	ClaimRunning ClaimState = iota + 1
	// ClaimDone means that the call ran and its response is known.
	ClaimDone
	// ClaimUnknown means that the call may have run.
	ClaimUnknown
	// ClaimReleased means that the call was never sent.
	ClaimReleased
)

var claimStateNames = [...]string{"none", "running", "done", "unknown", "released"}

// String returns the kebab-case name of the state.
func (s ClaimState) String() string { return claimStateNames[s] }

// Key identifies a non-idempotent call within the fleet.
type Key struct {
	Customer string `msgpack:"c"`
	Pool     string `msgpack:"p"`
	// Value is the caller's idempotency key.
	Value string `msgpack:"v"`
}

// Attempt identifies one try of an agent process to send a call. At most one
// attempt holds the claim of a key.
type Attempt struct {
	Agent      string `msgpack:"agent"`
	Generation uint64 `msgpack:"generation"`
	ID         string `msgpack:"id"`
}

// Reply is the response of a backend server, stored for replay.
type Reply struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
	// Dropped means that the body isn't stored: it was too large, or its retention
	// has ended.
	Dropped bool `msgpack:"d,omitempty"`
}

// Record is the entry of the ledger for one key.
type Record struct {
	Key Key `msgpack:"k"`
	// BodyHash is the hash of the path and body. A resend has the same hash.
	BodyHash string `msgpack:"h"`
	Attempt  `msgpack:",inline"`
	State    ClaimState `msgpack:"s"`
	Reply    Reply      `msgpack:"r"`
	// ChangedAt is when the state last changed.
	ChangedAt time.Time `msgpack:"t"`
}

// Claim requests the right to send a call.
type Claim struct {
	Key      Key    `msgpack:"k"`
	BodyHash string `msgpack:"h"`
	Attempt  `msgpack:",inline"`
}

// Finish records the response of a call for the attempt that sent it.
type Finish struct {
	Key     Key `msgpack:"k"`
	Attempt `msgpack:",inline"`
	Reply   Reply `msgpack:"r"`
}

// Release releases a claim. The attempt hasn't sent the call and never will.
type Release struct {
	Key     Key `msgpack:"k"`
	Attempt `msgpack:",inline"`
}

// MarkUnknown records that a call was sent but its response was lost.
type MarkUnknown struct {
	Key     Key `msgpack:"k"`
	Attempt `msgpack:",inline"`
}

// Abandon marks the running claims of an agent as unknown, for all generations
// up to the given one.
type Abandon struct {
	Agent      string `msgpack:"a"`
	Generation uint64 `msgpack:"g"`
}

// Ledger is the table of claims. A record that is done or unknown never returns
// to a state that permits sending the call. Ledger isn't safe for concurrent use.
type Ledger struct {
	records map[Key]Record
	// running is an index of the running claims by agent.
	running map[string]map[Key]struct{}
}

// NewLedger returns a ledger with the given records.
func NewLedger(records []Record) *Ledger {
	l := &Ledger{records: make(map[Key]Record, len(records)), running: make(map[string]map[Key]struct{})}
	for _, r := range records {
		l.put(r)
	}
	return l
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Get returns the record of a key.
func (l *Ledger) Get(key Key) (Record, bool) { r, ok := l.records[key]; return r, ok }

// RunningAgents returns the agents that have running claims, in no particular
// order.
func (l *Ledger) RunningAgents() []string {
	agents := make([]string, 0, len(l.running))
	for agent := range l.running {
		agents = append(agents, agent)
	}
	return agents
}

func (l *Ledger) put(r Record) {
	if old, ok := l.records[r.Key]; ok && old.State == ClaimRunning {
		l.removeRunning(old)
	}
	l.records[r.Key] = r
	if r.State != ClaimRunning {
		return
	}
	if l.running[r.Agent] == nil {
		l.running[r.Agent] = make(map[Key]struct{})
	}
	l.running[r.Agent][r.Key] = struct{}{}
}

func (l *Ledger) removeRunning(r Record) {
	delete(l.running[r.Agent], r.Key)
	if len(l.running[r.Agent]) == 0 {
		delete(l.running, r.Agent)
	}
}

// Decision is the result of a claim: what the attempt must do next.
type Decision uint8

// The decisions on a claim. Only DecisionSend permits the attempt to send the
// call.
const (
	DecisionRefuse Decision = iota
	DecisionSend
	DecisionReplay
	DecisionWait
)

// Claim decides whether an attempt may send a call. If the claim is refused, the
// kind is the reason.
func (l *Ledger) Claim(now time.Time, c Claim) (Record, Decision, bronzerill.Kind) {
	record, ok := l.records[c.Key]
	if !ok && len(l.records) >= MaxRecords {
		return Record{}, DecisionRefuse, bronzerill.KindTableFull
	}
	if !ok {
		return l.grant(now, c), DecisionSend, bronzerill.KindNone
	}
	if record.BodyHash != c.BodyHash {
		return record, DecisionRefuse, bronzerill.KindKeyConflict
	}
	switch record.State {
	case ClaimRunning:
		return record, decideRunning(record, c), bronzerill.KindNone
	case ClaimDone:
		return l.decideDone(record)
	case ClaimReleased:
		if record.Attempt == c.Attempt {
			// This is a late duplicate: the attempt has already released its claim.
			return record, DecisionRefuse, bronzerill.KindAborted
		}
		return l.grant(now, c), DecisionSend, bronzerill.KindNone
	default:
		return record, DecisionRefuse, bronzerill.KindOutcomeUnknown
	}
}

func decideRunning(record Record, c Claim) Decision {
	if record.Attempt == c.Attempt {
		return DecisionSend
	}
	return DecisionWait
}

func (l *Ledger) decideDone(record Record) (Record, Decision, bronzerill.Kind) {
	if record.Reply.Dropped {
		return record, DecisionRefuse, bronzerill.KindAnswerNotKept
	}
	return record, DecisionReplay, bronzerill.KindNone
}

func (l *Ledger) grant(now time.Time, c Claim) Record {
	r := Record{Key: c.Key, BodyHash: c.BodyHash, Attempt: c.Attempt, State: ClaimRunning, ChangedAt: now}
	l.put(r)
	return r
}

// Finish records a response. It also accepts a response that arrives after its
// claim was abandoned, because that only resolves an unknown outcome.
func (l *Ledger) Finish(now time.Time, f Finish) bronzerill.Kind {
	record, ok := l.records[f.Key]
	if !ok || record.Attempt != f.Attempt {
		return bronzerill.KindAborted
	}
	if record.State == ClaimDone {
		return bronzerill.KindNone
	}
	if record.State == ClaimReleased {
		return bronzerill.KindAborted
	}
	record.State = ClaimDone
	record.Reply = f.Reply
	record.ChangedAt = now
	if len(f.Reply.Body) > MaxResponseBytes {
		record.Reply.Body = nil
		record.Reply.Dropped = true
	}
	l.put(record)
	return bronzerill.KindNone
}

// Release releases a claim. The record stays, so that a late duplicate of the
// claim isn't granted.
func (l *Ledger) Release(now time.Time, r Release) bronzerill.Kind {
	record, ok := l.records[r.Key]
	if !ok || record.Attempt != r.Attempt {
		return bronzerill.KindNone
	}
	if record.State != ClaimRunning {
		return bronzerill.KindAborted
	}
	record.State = ClaimReleased
	record.ChangedAt = now
	l.put(record)
	return bronzerill.KindNone
}

// MarkUnknown marks a running claim as unknown because its response was lost.
func (l *Ledger) MarkUnknown(now time.Time, m MarkUnknown) {
	record, ok := l.records[m.Key]
	if !ok || record.Attempt != m.Attempt || record.State != ClaimRunning {
		return
	}
	record.State = ClaimUnknown
	record.ChangedAt = now
	l.put(record)
}

// Abandon marks the running claims of an agent as unknown, for all generations
// up to a.Generation.
func (l *Ledger) Abandon(now time.Time, a Abandon) {
	for key := range l.running[a.Agent] {
		r := l.records[key]
		if r.Generation > a.Generation {
			continue
		}
		r.State = ClaimUnknown
		r.ChangedAt = now
		l.put(r)
	}
}

// Expire drops responses after ResponseRetention, and deletes records after a
// further KeyRetention. Running claims don't expire.
func (l *Ledger) Expire(now time.Time) {
	for key, r := range l.records {
		age := now.Sub(r.ChangedAt)
		switch {
		case r.State == ClaimRunning:
		case age > ResponseRetention+KeyRetention:
			delete(l.records, key)
		case r.State == ClaimDone && age > ResponseRetention && !r.Reply.Dropped:
			r.Reply = Reply{Status: r.Reply.Status, Dropped: true}
			l.records[key] = r
		}
	}
}

func (l *Ledger) list() []Record {
	list := make([]Record, 0, len(l.records))
	for _, r := range l.records {
		list = append(list, r)
	}
	return list
}
