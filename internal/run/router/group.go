package router

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/control/state"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/peer"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/wire/netrpc"
)

// Timing of the control group.
const (
	// membershipInterval is the time between requests to join, until the replica is a voter, and between
	// requests to leave.
	membershipInterval = 200 * time.Millisecond
	// bootstrapRetryDelay is the delay between requests to bootstrap the group.
	bootstrapRetryDelay = 100 * time.Millisecond
	// leaderRetryDelay is the delay before a call is retried at the current leader.
	leaderRetryDelay = 50 * time.Millisecond
	// leaderTimeout is the time without a leader after which a voter asks to join
	// again. It may have been replaced while it was away.
	leaderTimeout = 1500 * time.Millisecond
)

// group is this router's access to the control group. A router with a disk runs a
// replica. Other routers are clients of the group.
type group struct {
	router *Router
	secret netrpc.Secret
	mu     sync.Mutex
	// node is nil until the replica runs, and on instances without a disk.
	node     *replica.Node
	machine  *state.Machine
	founding founding
	// leaderSeenAt is when this replica last knew a leader.
	leaderSeenAt time.Time
	// lastContact is when an earlier node of this process last heard from a leader, zero before
	// the first one has failed.
	lastContact time.Time
	zoneOrders  zoneOrders
}

func newGroup(r *Router, secret netrpc.Secret) *group {
	return &group{router: r, secret: secret, founding: newFounding(time.Now(), r.settings.Router.DataFolder != "", r.settings.Router.Bootstrap)}
}

var (
	_ peer.Handler = (*group)(nil)
	_ newestReader = (*group)(nil)
)

func (g *group) start(ctx context.Context, tasks *errgroup.Group, listener net.Listener) error {
	rpc := netrpc.NewServer(g.secret, g.router.log)
	if err := rpc.Register(peer.ServiceName, peer.NewRPC(g, time.Now)); err != nil {
		return err
	}
	if err := rpc.Register(replica.Service, &replicaRPC{g}); err != nil {
		return err
	}
	tasks.Go(func() error { return rpc.Serve(ctx, listener) })
	if g.router.settings.Router.DataFolder == "" {
		return nil
	}
	tasks.Go(func() error { return g.superviseReplica(ctx) })
	return nil
}

// replicaRPC receives the messages of other replicas. It drops them while the replica
// does not run.
type replicaRPC struct{ group *group }

// Deliver passes messages to the replica.
func (r *replicaRPC) Deliver(b *replica.Batch, _ *replica.Ack) error {
	if node := r.group.replica(); node != nil {
		for _, m := range b.Messages {
			node.Deliver(m)
		}
	}
	return nil
}

func (g *group) replica() *replica.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node
}

// superviseReplica runs the replica. After a disk error it restarts the replica from its
// folder. Meanwhile the router serves callers like a router without a disk.
func (g *group) superviseReplica(ctx context.Context) error {
	for ctx.Err() == nil {
		err := g.runReplica(ctx)
		g.mu.Lock()
		if g.node != nil {
			g.lastContact = g.node.LastContact()
		}
		g.node = nil
		g.mu.Unlock()
		if ctx.Err() != nil {
			return nil
		}
		g.router.log.Error("replica failed", "folder", g.router.settings.Router.DataFolder, "error", fmt.Sprint(err))
		select {
		case <-ctx.Done():
		case <-time.After(replica.RestartDelay):
		}
	}
	return nil
}

// runReplica opens the data folder and runs the replica until its disk fails. An empty
// folder is initialized to bootstrap the group or to join it.
func (g *group) runReplica(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return g.openReplica(ctx, tasks) })
	return tasks.Wait()
}

func (g *group) openReplica(ctx context.Context, tasks *errgroup.Group) error {
	folder := g.router.settings.Router.DataFolder
	store, err := replica.OpenStore(folder)
	if errors.Is(err, replica.ErrNoData) {
		if err := g.initFolder(ctx, folder); err != nil || ctx.Err() != nil {
			return err
		}
		store, err = replica.OpenStore(folder)
	}
	if err != nil {
		return errors.Wrapf(err, "open data folder %s", folder)
	}
	g.mu.Lock()
	lastContact := g.lastContact
	g.mu.Unlock()
	machine := state.NewMachine()
	node, err := replica.NewNode(replica.NodeConfig{
		Store:        store,
		StateMachine: &notifyingMachine{Machine: machine, router: g.router},
		Transport:    replica.NewRPCTransport(ctx, tasks, g.secret, g.router.log),
		Log:          g.router.log,
		Clock:        time.Now,
		LastContact:  lastContact,
		Seed:         xxhash.Sum64String(g.router.settings.Name) ^ uint64(time.Now().UnixNano()),
		Addr:         g.router.settings.Router.AdvertisedAddr(),
		SelfRepair:   true,
		Losses:       g.router.settings.Router.Losses,
	})
	if err != nil {
		_ = store.Close()
		return err
	}
	g.mu.Lock()
	g.node = node
	g.machine = machine
	g.founding.setOpened(node.Founders())
	g.leaderSeenAt = time.Now()
	g.mu.Unlock()
	g.router.log.Info("replica started", "replica", node.Name(), "applied", node.Status(time.Now()).Applied)
	tasks.Go(func() error {
		return ticker.Every(ctx, membershipInterval, func(ctx context.Context) { g.maintainMembership(ctx, node, time.Now()) })
	})
	err = node.Run(ctx)
	if closeErr := store.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "run replica")
}

// leader returns the address and the term of the leader. The address is empty if no
// leader is known.
func (g *group) leader(now time.Time) (addr string, term uint64) {
	addr, term = g.router.peers.Leader(now)
	node := g.replica()
	if node == nil {
		return addr, term
	}
	status := node.Status(now)
	if member, ok := status.Members.Get(status.Leader); ok && status.Term >= term {
		return member.Addr, status.Term
	}
	return addr, term
}

// hasLeader reports whether a leader is known, here or elsewhere.
func (g *group) hasLeader(now time.Time) bool {
	addr, _ := g.leader(now)
	return addr != ""
}

// localLeader returns this router's replica and whether it is the leader.
func (g *group) localLeader(now time.Time) (*replica.Node, bool) {
	node := g.replica()
	if node == nil {
		return nil, false
	}
	return node, node.Status(now).IsLeader
}

// State returns the declared state and whether its revision is greater than above.
func (g *group) State(above uint64) (declared.State, bool) {
	current := g.router.holder.State()
	return current, current.Revision > above
}

// List returns the list of servers, its age and whether there is a list.
func (g *group) List(now time.Time) ([]placement.Server, time.Duration, bool) {
	list, readAt := g.router.list.current()
	return list, now.Sub(readAt), !readAt.IsZero()
}

// Directory returns the prefix directory.
func (g *group) Directory(now time.Time) placement.DirectorySnapshot {
	return g.router.servers.Directory(now)
}

// StreamVersion returns the version at which a stream began, if this router knows it.
func (g *group) StreamVersion(stream peer.StreamKey) (placement.VersionKey, bool) {
	return g.router.streams.records.Version(stream)
}

// Propose replicates a command if this router is the leader. An order for a zone is replicated
// only if no other was accepted since base.
func (g *group) Propose(ctx context.Context, command []byte, base peer.ZoneRevision) (uint64, error) {
	node, isLeader := g.localLeader(time.Now())
	if !isLeader {
		return 0, bronzerill.Errorf(bronzerill.KindNotLeader, "this router is not the leader")
	}
	if err := g.checkVoters(node); err != nil {
		return 0, err
	}
	value, err := g.submit(ctx, node, command, base)
	if err != nil {
		return 0, err
	}
	result, ok := value.(state.Result)
	if !ok {
		return 0, bronzerill.Errorf(bronzerill.KindInternal, "unexpected result of type %T from the state machine", value)
	}
	return g.machine.Declared().Revision, result.Err()
}

// checkVoters rejects the first change until the group has enough voters to keep a
// majority after the configured number of losses. The replica that bootstrapped the
// group could otherwise lose what it had acknowledged alone.
func (g *group) checkVoters(node *replica.Node) error {
	if g.machine.Declared().Revision > 0 {
		return nil
	}
	voters, needed := node.Status(time.Now()).Members.Voters(), 2*g.router.settings.Router.Losses+1
	if voters < needed {
		return bronzerill.Errorf(bronzerill.KindNoQuorum, "the control group has %d of %d required voters", voters, needed)
	}
	return nil
}

// Read returns the newest declared state by a linearizable read if this router is the
// leader.
func (g *group) Read(ctx context.Context) (declared.State, error) {
	node, isLeader := g.localLeader(time.Now())
	if !isLeader {
		return declared.State{}, bronzerill.Errorf(bronzerill.KindNotLeader, "this router is not the leader")
	}
	if err := node.AwaitReadIndex(ctx); err != nil {
		return declared.State{}, err
	}
	return g.machine.Declared(), nil
}

// replicaVersions returns the noted versions of this router's replica, nil without one.
func (g *group) replicaVersions() []state.NotedVersion {
	g.mu.Lock()
	machine := g.machine
	g.mu.Unlock()
	if machine == nil {
		return nil
	}
	return machine.Versions()
}

// KnownVersions returns the noted versions that this router knows.
func (g *group) KnownVersions(now time.Time) []state.ServiceVersion {
	return slices.Collect(maps.Keys(g.router.versions.known(now)))
}

// Versions returns the noted versions by a linearizable read if this router is the leader.
func (g *group) Versions(ctx context.Context) ([]state.NotedVersion, error) {
	node, isLeader := g.localLeader(time.Now())
	if !isLeader {
		return nil, bronzerill.Errorf(bronzerill.KindNotLeader, "this router is not the leader")
	}
	if err := node.AwaitReadIndex(ctx); err != nil {
		return nil, err
	}
	return g.replicaVersions(), nil
}

// callLeader runs a call at the leader, local or remote. It retries at the current leader
// until ctx is done. A call may take effect more than once, and after callLeader has returned,
// when newer calls have taken effect. It must be harmless then.
func (g *group) callLeader(ctx context.Context, local func() error, remote func(addr string) error) error {
	err := bronzerill.Errorf(bronzerill.KindNoQuorum, "no leader is known")
	for ctx.Err() == nil {
		now := time.Now()
		if _, isLeader := g.localLeader(now); isLeader {
			err = local()
		} else if addr, _ := g.leader(now); addr != "" && addr != g.router.settings.Router.AdvertisedAddr() {
			err = remote(addr)
		}
		if !isRetryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderRetryDelay):
		}
	}
	return bronzerill.Errorf(bronzerill.KindNoQuorum, "%v", err)
}

// isRetryable reports whether a call that failed with err may succeed later or at another
// leader.
func isRetryable(err error) bool {
	switch bronzerill.KindOf(err) {
	case bronzerill.KindNotLeader, bronzerill.KindNoQuorum, bronzerill.KindInternal, bronzerill.KindTableFull:
		return true
	}
	return false
}

// notifyingMachine passes each change of the declared state to the router's holder.
type notifyingMachine struct {
	*state.Machine
	router *Router
}

var _ replica.StateMachine = (*notifyingMachine)(nil)

// Apply applies one command.
func (m *notifyingMachine) Apply(index uint64, command []byte) any {
	result := m.Machine.Apply(index, command)
	m.router.holder.updateFromLog(m.Declared(), "log")
	return result
}

// Restore replaces the state by that of a snapshot.
func (m *notifyingMachine) Restore(data []byte) error {
	err := m.Machine.Restore(data)
	if err == nil {
		m.router.holder.updateFromLog(m.Declared(), "snapshot")
	}
	return err
}
