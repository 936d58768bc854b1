package replica

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill"
)

// Defaults and bounds of a Node.
const (
	tickInterval = 20 * time.Millisecond
	// defaultSnapshotEvery is the number of entries applied between two
	// snapshots.
	defaultSnapshotEvery = 8192
	// defaultSnapshotBytes is the size of the commands applied between two
	// snapshots. It is a sixteenth of the smallest disk, because the disk holds
	// the log, the old snapshot and the new one at the same time.
	defaultSnapshotBytes = 4 << 20
	inputQueueSize       = 1024
	// RestartDelay is the delay before a replica is started again after a disk error.
	RestartDelay = 250 * time.Millisecond
)

// StateMachine is the replicated state machine. The node calls it from one
// goroutine, with committed entries in log order.
type StateMachine interface {
	Apply(index uint64, command []byte) any
	// Snapshot returns a function that encodes the current state. The function
	// may run while further commands are applied.
	Snapshot() (encode func() ([]byte, error))
	Restore(data []byte) error
}

// Transport sends messages to other replicas. It doesn't block, and it may lose
// messages.
type Transport interface {
	Send(m Message, addr string)
}

// NodeConfig configures a Node.
type NodeConfig struct {
	Store        Store
	StateMachine StateMachine
	Transport    Transport
	Log          hclog.Logger
	// Clock returns the current time.
	Clock func() time.Time
	// LastContact is that of the replica's earlier Node in this process, or zero.
	LastContact time.Time
	Seed        uint64
	// Addr is the address of this replica. Its messages carry the address, so
	// that a receiver can reply to a replica outside the member list.
	Addr string
	// SnapshotEvery is the number of entries applied between two snapshots. 0
	// means the default.
	SnapshotEvery uint64
	// SnapshotBytes is the size of the commands applied between two snapshots. 0
	// means the default.
	SnapshotBytes int
	// SelfRepair lets the leader promote learners and replace lost voters
	// without an operator.
	SelfRepair bool
	// Losses is the number of disks that may be lost at once.
	Losses int
}

// Status is a replica's view of its group.
type Status struct {
	Name     string  `json:"name"`
	Leader   string  `json:"leader"`
	IsLeader bool    `json:"is-leader"`
	Term     uint64  `json:"term"`
	Applied  uint64  `json:"applied"`
	Members  Members `json:"members"`
	// Lease reports whether the replica holds the leader lease.
	Lease bool `json:"lease"`
}

// Node drives one replica: it saves, sends and applies the work of the core.
// Its methods may be called concurrently, but Run only once.
type Node struct {
	cfg  NodeConfig
	name string
	// founders are the members for which the data folder was initialised.
	founders         Members
	core             *Core
	messages         chan Message
	proposals        chan proposal
	transfer         chan struct{}
	reads            chan chan error
	pendingReads     []pendingRead
	pendingProposals map[uint64]pendingProposal
	// loggedMembers is the index of the member list that was logged last, and progressLoggedAt is when the
	// progress of the members was.
	loggedMembers    uint64
	progressLoggedAt time.Time
	// snapshotIndex is the applied index of the last snapshot, finished or in
	// progress.
	snapshotIndex uint64
	// bytesSinceSnapshot is the size of the commands applied since that snapshot.
	bytesSinceSnapshot int
	// snapshots has a buffer for the one snapshot in progress, so that its writer
	// doesn't block after the loop has ended.
	snapshots    chan snapshotResult
	snapshotting bool
	group        *errgroup.Group
	// senderAddrs maps a sender to the address in its latest message.
	senderAddrs map[string]string
	// stopped is closed at the end of Run. Nothing that waits gets a reply after that.
	stopped chan struct{}
	mu      sync.Mutex
	status  Status
	failed  error
}

// NewNode loads the saved state and restores the state machine from it.
func NewNode(cfg NodeConfig) (*Node, error) {
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = defaultSnapshotEvery
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = defaultSnapshotBytes
	}
	saved, err := cfg.Store.Load()
	if err != nil {
		return nil, err
	}
	if saved.Snapshot != nil {
		if err := cfg.StateMachine.Restore(saved.Snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	core := NewCore(CoreConfig{
		Name:        saved.Identity.Name,
		Identity:    saved.Identity.Folder,
		Seed:        cfg.Seed,
		Now:         cfg.Clock(),
		LastContact: cfg.LastContact,
		HardState:   saved.HardState,
		Members:     saved.Identity.Members,
		Snapshot:    saved.Snapshot,
		Entries:     saved.Entries,

		SelfRepair: cfg.SelfRepair,
		Losses:     cfg.Losses,
	})
	n := &Node{
		cfg:              cfg,
		name:             saved.Identity.Name,
		founders:         saved.Identity.Members,
		core:             core,
		messages:         make(chan Message, inputQueueSize),
		proposals:        make(chan proposal, inputQueueSize),
		transfer:         make(chan struct{}, 1),
		reads:            make(chan chan error, maxPendingReads),
		pendingProposals: make(map[uint64]pendingProposal),
		snapshotIndex:    core.Applied(),
		senderAddrs:      make(map[string]string),
		snapshots:        make(chan snapshotResult, 1),
		stopped:          make(chan struct{}),
	}
	n.publishStatus()
	return n, nil
}

// Name returns the replica's name.
func (n *Node) Name() string { return n.name }

// Founders returns the members that founded the group, none if the replica joins a group.
func (n *Node) Founders() Members { return n.founders }

// Status returns the replica's view of its group. The lease is checked at now.
func (n *Node) Status(now time.Time) Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	status := n.status
	status.Lease = n.failed == nil && n.core.HasLease(now)
	return status
}

// HasLease reports whether this replica holds the leader lease at now.
func (n *Node) HasLease(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed == nil && n.core.HasLease(now)
}

// LastContact returns when the replica last heard from a leader, or led the group itself.
func (n *Node) LastContact() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.LastContact(n.cfg.Clock())
}

// Deliver queues a message from another replica. A full queue drops the
// message.
func (n *Node) Deliver(m Message) {
	select {
	case n.messages <- m:
	default:
	}
}

// TransferLeadership starts a transfer of leadership to another voter. It is
// called before a shutdown.
func (n *Node) TransferLeadership() {
	select {
	case n.transfer <- struct{}{}:
	default:
	}
}

// Leave records, at the leader, that a member is about to stop for a time or for good. It returns
// an error at other replicas.
func (n *Node) Leave(name string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Leave(n.cfg.Clock(), name)
}

// Run drives the replica until ctx ends or the disk fails.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	n.group, ctx = errgroup.WithContext(ctx)
	n.group.Go(func() error { return n.loop(ctx) })
	return n.group.Wait()
}

func (n *Node) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.withLock(func(now time.Time) {
				n.core.Tick(now)
				n.logProgress(now)
			})
		case m := <-n.messages:
			n.withLock(func(now time.Time) { n.drainMessages(now, m) })
		case p := <-n.proposals:
			n.withLock(func(now time.Time) { n.drainProposals(now, p) })
		case reply := <-n.reads:
			n.withLock(func(now time.Time) { n.startRead(now, reply) })
		case r := <-n.snapshots:
			if err := n.finishSnapshot(r); err != nil {
				return n.fail(err)
			}
		case <-n.transfer:
			n.withLock(func(now time.Time) { n.core.TransferLeadership(now) })
		}
		if err := n.processReady(); err != nil {
			return n.fail(err)
		}
		if len(n.pendingReads) > 0 {
			n.withLock(n.finishReads)
		}
	}
}

// fail stops the replica for good. After a disk error, the content of the disk
// is unknown.
func (n *Node) fail(err error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failed = err
	return err
}

func (n *Node) withLock(step func(now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	step(n.cfg.Clock())
}

func (n *Node) drainMessages(now time.Time, first Message) {
	n.step(now, first)
	for range len(n.messages) {
		n.step(now, <-n.messages)
	}
}

func (n *Node) step(now time.Time, m Message) {
	if m.To == n.name && m.FromAddr != "" {
		n.senderAddrs[m.From] = m.FromAddr
	}
	n.core.Step(now, m)
}

func (n *Node) processReady() error {
	for {
		n.mu.Lock()
		r := n.core.Ready()
		n.mu.Unlock()
		if r.Empty() {
			return nil
		}
		if err := n.save(r); err != nil {
			return err
		}
		n.withLock(func(time.Time) { n.core.Persisted(r) })
		if r.Snapshot != nil {
			if err := n.cfg.StateMachine.Restore(r.Snapshot.Data); err != nil {
				return errors.Wrap(err, "restore received snapshot")
			}
			n.snapshotIndex = r.Snapshot.Index
		}
		n.sendAll(r.Messages)
		for _, e := range r.Committed {
			n.apply(e)
		}
		n.startSnapshot()
		n.mu.Lock()
		n.publishStatus()
		n.mu.Unlock()
	}
}

func (n *Node) sendAll(messages []Message) {
	for _, m := range messages {
		m.FromAddr = n.cfg.Addr
		n.mu.Lock()
		member, ok := n.core.Members().Get(m.To)
		n.mu.Unlock()
		addr := member.Addr
		if !ok {
			addr = n.senderAddrs[m.To]
		}
		if addr != "" {
			n.cfg.Transport.Send(m, addr)
		}
	}
}

func (n *Node) apply(e Entry) {
	var value any
	n.bytesSinceSnapshot += len(e.Data)
	if e.Type == EntryCommand {
		value = n.cfg.StateMachine.Apply(e.Index, e.Data)
	}
	pending, ok := n.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(n.pendingProposals, e.Index)
	if pending.term == e.Term {
		pending.reply <- proposalResult{value: value}
		return
	}
	// Another leader's entry has this index, so the proposal can't be committed
	// any more.
	pending.reply <- proposalResult{err: bronzerill.Errorf(bronzerill.KindNotLeader, "leadership was lost")}
}

func (n *Node) publishStatus() {
	if index := n.core.membersIndex; index != n.loggedMembers {
		n.loggedMembers = index
		n.cfg.Log.Info("members changed", "index", index, "voters", n.core.Members().names(true), "learners", n.core.Members().names(false), "leads", n.core.IsLeader())
	}
	n.status = Status{
		Name:     n.name,
		Leader:   n.core.Leader(),
		IsLeader: n.core.IsLeader(),
		Term:     n.core.Term(),
		Applied:  n.core.Applied(),
		Members:  n.core.Members(),
	}
}
