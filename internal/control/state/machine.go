package state

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"bronzerill"
	"bronzerill/internal/router/declared"
)

// maxOutcomes bounds the number of outcomes that are stored to answer resent
// tickets.
const maxOutcomes = 100_000

// Machine is the replicated state machine. Apply is called with commands in log
// order. Its methods are safe for concurrent use.
type Machine struct {
	mu     sync.RWMutex
	config *bronzerill.Config
	ledger *Ledger
	// outcomes holds the outcomes by ticket number. outcomeOrder lists the numbers
	// in the order in which the tickets were accepted.
	outcomes     map[uint64]bronzerill.Outcome
	outcomeOrder []uint64
	// highestDropped is the highest ticket number whose outcome was dropped.
	highestDropped uint64
	// generations holds the newest generation of each agent. It never decreases.
	generations map[string]uint64
	promises    map[string]Promise
	declared    declared.State
	// versions holds the versions of servers at which streams may have begun, and the log index
	// at which each was noted last.
	versions map[ServiceVersion]uint64
}

// snapshot is the encoded form of a Machine. The names of its fields are part of
// the format.
type snapshot struct {
	Config   bronzerill.Delta
	Records  []Record
	Outcomes []bronzerill.Outcome
	// OldestTicket is the highest ticket number whose outcome was dropped.
	OldestTicket uint64
	Generations  map[string]uint64
	Promises     map[string]Promise
	Declared     declared.State
	Versions     []NotedVersion
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	return &Machine{
		config:      &bronzerill.Config{},
		ledger:      NewLedger(nil),
		outcomes:    make(map[uint64]bronzerill.Outcome),
		generations: make(map[string]uint64),
		promises:    make(map[string]Promise),
		versions:    make(map[ServiceVersion]uint64),
	}
}

// Config returns the current configuration.
func (m *Machine) Config() *bronzerill.Config {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.config
}

// Record returns the ledger record of a key.
func (m *Machine) Record(key Key) (Record, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Get(key)
}

// RunningAgents returns the agents that have running claims or trials. An agent
// can occur more than once.
func (m *Machine) RunningAgents() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	agents := m.ledger.RunningAgents()
	for _, s := range m.config.Suspects() {
		if s.State == bronzerill.SuspectTrial {
			agents = append(agents, s.Agent)
		}
	}
	return agents
}

// Generation returns the generation of the newest process that an agent has
// registered, or 0.
func (m *Machine) Generation(agent string) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.generations[agent]
}

// Outcome returns the outcome of a ticket.
func (m *Machine) Outcome(number uint64) (bronzerill.Outcome, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	o, ok := m.outcomes[number]
	return o, ok
}

// Outcomes returns the stored ticket outcomes, oldest first.
func (m *Machine) Outcomes() []bronzerill.Outcome {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.outcomeList()
}

func (m *Machine) outcomeList() []bronzerill.Outcome {
	list := make([]bronzerill.Outcome, 0, len(m.outcomeOrder))
	for _, number := range m.outcomeOrder {
		list = append(list, m.outcomes[number])
	}
	return list
}

// Promised returns the number of promised slots by pool at the given time.
func (m *Machine) Promised(now time.Time) map[string]int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	promised := make(map[string]int)
	for _, p := range m.promises {
		if now.Before(p.Until) {
			promised[p.Pool] += p.Slots
		}
	}
	return promised
}

// Apply applies the encoded command at a log index and returns its Result.
func (m *Machine) Apply(index uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return Result{Kind: bronzerill.KindInternal, Detail: err.Error()}
	}
	result := m.applyCommand(index, c)
	result.Revision = m.config.Revision()
	if result.Kind != bronzerill.KindNone && result.Detail == "" {
		result.Detail = result.Record.State.String()
	}
	return result
}

func (m *Machine) applyCommand(index uint64, c Command) Result {
	switch {
	case c.Ticket != nil:
		return m.applyTicket(c.Ticket.Ticket)
	case c.Register != nil:
		return m.applyRegister(index, c.At, *c.Register)
	case c.Claim != nil:
		return m.applyClaim(c.At, *c.Claim)
	case c.Finish != nil:
		return Result{Kind: m.ledger.Finish(c.At, *c.Finish)}
	case c.Release != nil:
		return Result{Kind: m.ledger.Release(c.At, *c.Release)}
	case c.MarkUnknown != nil:
		m.ledger.MarkUnknown(c.At, *c.MarkUnknown)
		return Result{}
	case c.Abandon != nil:
		m.abandon(c.At, *c.Abandon)
		return Result{}
	case c.Crash != nil:
		m.applySuspectChanges(crashChanges(m.config, c.At, *c.Crash))
		return Result{}
	case c.Trial != nil:
		changes, kind := trialChanges(m.config, *c.Trial)
		m.applySuspectChanges(changes)
		return Result{Kind: kind, Detail: c.Trial.Fingerprint}
	case c.Verdict != nil:
		return m.applyVerdict(*c.Verdict)
	case c.ClearSuspect != nil:
		return m.applyClearSuspect(*c.ClearSuspect)
	case c.Promise != nil:
		return m.applyPromise(c.At, *c.Promise)
	case c.Expire != nil:
		m.applyExpire(c.At)
		return Result{}
	case c.Declare != nil:
		return m.applyDeclare(index, *c.Declare)
	case c.SetZone != nil:
		return m.applySetZone(index, *c.SetZone)
	case c.NoteVersions != nil:
		return m.applyNoteVersions(index, *c.NoteVersions)
	case c.ForgetVersion != nil:
		return m.applyForgetVersion(*c.ForgetVersion)
	}
	return Result{Kind: bronzerill.KindInternal, Detail: "command is empty"}
}

// applySuspectChanges applies changes of suspects and removals as a new revision.
// If changes has neither, the revision stays the same.
func (m *Machine) applySuspectChanges(changes bronzerill.Changes) {
	if len(changes.Suspects)+len(changes.Removals) > 0 {
		m.config = m.config.WithChanges(changes)
	}
}

func (m *Machine) applyTicket(t bronzerill.Ticket) Result {
	digest := t.Digest()
	if outcome, ok := m.outcomes[t.Number]; ok {
		if outcome.Digest == digest {
			return Result{Outcome: outcome}
		}
		detail := fmt.Sprintf("number %d is already used by the ticket with digest %s at revision %d", t.Number, outcome.Digest, outcome.Revision)
		return Result{Kind: bronzerill.KindTicketConflict, Detail: detail, Outcome: outcome}
	}
	if t.Number <= m.highestDropped {
		detail := fmt.Sprintf("number %d is too old to compare with earlier tickets; use a number above %d", t.Number, m.highestDropped)
		return Result{Kind: bronzerill.KindTicketConflict, Detail: detail}
	}
	if faults := t.Faults(m.config); len(faults) > 0 {
		return Result{Kind: bronzerill.KindTicketInvalid, Detail: fmt.Sprintf("%d faults", len(faults)), Faults: faults}
	}
	m.config = m.config.WithChanges(t.Changes)
	outcome := bronzerill.Outcome{Number: t.Number, Digest: digest, Revision: m.config.Revision()}
	m.addOutcome(outcome)
	return Result{Outcome: outcome}
}

func (m *Machine) addOutcome(o bronzerill.Outcome) {
	m.outcomes[o.Number] = o
	m.outcomeOrder = append(m.outcomeOrder, o.Number)
	if len(m.outcomeOrder) > maxOutcomes {
		m.highestDropped = max(m.highestDropped, m.outcomeOrder[0])
		delete(m.outcomes, m.outcomeOrder[0])
		m.outcomeOrder = m.outcomeOrder[1:]
	}
}

func (m *Machine) applyRegister(index uint64, now time.Time, r Register) Result {
	m.abandon(now, Abandon{Agent: r.Agent, Generation: m.generations[r.Agent]})
	// The log index never decreases, so it serves as the generation.
	m.generations[r.Agent] = index
	return Result{Generation: index}
}

func (m *Machine) abandon(now time.Time, a Abandon) {
	m.ledger.Abandon(now, a)
	m.applySuspectChanges(lostTrials(m.config, now, a.Agent))
}

func (m *Machine) applyClaim(now time.Time, c Claim) Result {
	if c.Generation != m.generations[c.Agent] {
		return Result{Kind: bronzerill.KindAborted, Detail: "a newer process of the agent has registered"}
	}
	record, decision, kind := m.ledger.Claim(now, c)
	return Result{Kind: kind, Decision: decision, Record: record}
}

func (m *Machine) applyVerdict(v Verdict) Result {
	s, ok := m.config.Suspect(v.Fingerprint)
	if !ok || s.State != bronzerill.SuspectTrial || s.Agent != v.Agent {
		return Result{}
	}
	if v.Cleared {
		m.applySuspectChanges(bronzerill.Changes{Removals: []bronzerill.Removal{suspectRemoval(v.Fingerprint)}})
		return Result{}
	}
	s.State = bronzerill.SuspectHeld
	s.Agent = ""
	m.applySuspectChanges(bronzerill.Changes{Suspects: []bronzerill.Suspect{s}})
	return Result{}
}

func (m *Machine) applyClearSuspect(c ClearSuspect) Result {
	if _, ok := m.config.Suspect(c.Fingerprint); !ok {
		return Result{Kind: bronzerill.KindBadRequest, Detail: "fingerprint not found"}
	}
	m.applySuspectChanges(bronzerill.Changes{Removals: []bronzerill.Removal{suspectRemoval(c.Fingerprint)}})
	return Result{}
}

func (m *Machine) applyPromise(now time.Time, p Promise) Result {
	if fault := p.fault(m.config); fault != "" {
		return Result{Kind: bronzerill.KindBadRequest, Detail: fault}
	}
	if p.Slots == 0 {
		delete(m.promises, p.ID)
		return Result{}
	}
	if _, ok := m.promises[p.ID]; !ok && len(m.promises) >= maxPromises {
		return Result{Kind: bronzerill.KindTableFull, Detail: "too many promises"}
	}
	if !now.Before(p.Until) {
		return Result{Kind: bronzerill.KindBadRequest, Detail: "until: time is in the past"}
	}
	m.promises[p.ID] = p
	return Result{}
}

func (m *Machine) applyExpire(now time.Time) {
	m.ledger.Expire(now)
	m.applySuspectChanges(expiredSuspects(m.config, now))
	for id, p := range m.promises {
		if now.After(p.Until) {
			delete(m.promises, id)
		}
	}
}

// Snapshot captures the current state and returns a function that encodes it.
// The function may run while further commands are applied.
func (m *Machine) Snapshot() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	config := m.config
	s := snapshot{
		Records:      m.ledger.list(),
		Outcomes:     m.outcomeList(),
		OldestTicket: m.highestDropped,
		Generations:  maps.Clone(m.generations),
		Promises:     maps.Clone(m.promises),
		Declared:     m.declared,
		Versions:     m.versionList(),
	}
	return func() ([]byte, error) {
		s.Config = config.DeltaSince(0)
		data, err := msgpack.Marshal(s)
		return data, errors.Wrap(err, "encode state")
	}
}

// Restore replaces the state with that of an encoded snapshot.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode state")
	}
	restored := NewMachine()
	if s.Config.To > 0 {
		config, ok := restored.config.WithDelta(s.Config)
		if !ok {
			return errors.New("snapshot has no valid configuration")
		}
		restored.config = config
	}
	for _, o := range s.Outcomes {
		restored.addOutcome(o)
	}
	for _, version := range s.Versions {
		restored.versions[version.ServiceVersion] = version.Noted
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config = restored.config
	m.ledger = NewLedger(s.Records)
	m.outcomes = restored.outcomes
	m.outcomeOrder = restored.outcomeOrder
	m.highestDropped = s.OldestTicket
	m.generations = orEmpty(s.Generations)
	m.promises = orEmpty(s.Promises)
	m.declared = s.Declared
	m.versions = restored.versions
	return nil
}

func orEmpty[T any](table map[string]T) map[string]T {
	if table == nil {
		return make(map[string]T)
	}
	return table
}
