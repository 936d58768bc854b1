package router

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/control/state"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/neighbour"
	"bronzerill/internal/router/placing"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/wire/netrpc"
)

// Timing of the control group.
const (
	// joinInterval is the pause between requests to join, until the replica is a
	// voter.
	joinInterval = 200 * time.Millisecond
	// foundInterval is the pause between requests to found the group.
	foundInterval = 100 * time.Millisecond
	// retryPause is the pause before an order is tried at the next leader.
	retryPause = 50 * time.Millisecond
	// replicaPause is the pause before a replica is started again after an error of
	// its disk.
	replicaPause = time.Second
	// leaderless is the silence after which a replica asks to join again: it may
	// have been replaced while it was away.
	leaderless = 1500 * time.Millisecond
)

// group is this router's part in the control group: a replica where there is a
// disk, else a client of the others.
type group struct {
	router *Router
	secret netrpc.Secret
	mu     sync.Mutex
	// node is nil until the replica runs, and on instances without a disk.
	node    *replica.Node
	machine *state.Machine
	// granted is the replica that may found the group, as this router was the
	// first one to be asked.
	granted string
	// followed is when this replica last knew a leader.
	followed time.Time
}

func newGroup(r *Router, secret netrpc.Secret) *group {
	return &group{router: r, secret: secret}
}

var _ neighbour.Handler = (*group)(nil)

func (g *group) start(ctx context.Context, tasks *errgroup.Group, listener net.Listener) error {
	rpc := netrpc.NewServer(g.secret, g.router.log)
	if err := rpc.Register(neighbour.ServiceName, neighbour.NewRPC(g, time.Now)); err != nil {
		return err
	}
	if err := rpc.Register(replica.Service, &replicaFace{g}); err != nil {
		return err
	}
	tasks.Go(func() error { return rpc.Serve(ctx, listener) })
	if g.router.settings.Router.DataFolder == "" {
		return nil
	}
	tasks.Go(func() error { return g.keepReplica(ctx) })
	return nil
}

// replicaFace takes replicas' messages, also before the replica runs.
type replicaFace struct{ group *group }

// Deliver hands messages to the replica.
func (f *replicaFace) Deliver(b *replica.Batch, _ *replica.Ack) error {
	if node := f.group.replica(); node != nil {
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

// keepReplica runs the replica, and starts it again from its folder after an error
// of the disk. Meanwhile the router serves callers as one without a disk.
func (g *group) keepReplica(ctx context.Context) error {
	for ctx.Err() == nil {
		err := g.runReplica(ctx)
		g.mu.Lock()
		g.node = nil
		g.mu.Unlock()
		if ctx.Err() != nil {
			return nil
		}
		g.router.log.Error("disk lost", "folder", g.router.settings.Router.DataFolder, "error", fmt.Sprint(err))
		select {
		case <-ctx.Done():
		case <-time.After(replicaPause):
		}
	}
	return nil
}

// runReplica opens the data folder, founding the group or preparing to join it
// when the folder is empty, and runs the replica until its disk fails.
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
		return errors.Wrapf(err, "data folder %s", folder)
	}
	machine := state.NewMachine()
	node, err := replica.NewNode(replica.NodeConfig{
		Store:        store,
		StateMachine: &watchedMachine{Machine: machine, router: g.router},
		Transport:    replica.NewRPCTransport(ctx, tasks, g.secret, g.router.log),
		Log:          g.router.log,
		Clock:        time.Now,
		Seed:         xxhash.Sum64String(g.router.settings.Name) ^ uint64(time.Now().UnixNano()),
		Addr:         g.router.settings.Router.Reached(),
		SelfRepair:   true,
	})
	if err != nil {
		_ = store.Close()
		return err
	}
	g.mu.Lock()
	g.node = node
	g.machine = machine
	g.followed = time.Now()
	g.mu.Unlock()
	g.router.log.Info("replica started", "replica", node.Name(), "applied", node.Status(time.Now()).Applied)
	tasks.Go(func() error {
		return ticker.Every(ctx, joinInterval, func(ctx context.Context) { g.keepJoined(ctx, node, time.Now()) })
	})
	err = node.Run(ctx)
	if closeErr := store.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "replica")
}

// keepJoined asks to join until the replica is a voter that hears a leader.
func (g *group) keepJoined(ctx context.Context, node *replica.Node, now time.Time) {
	status := node.Status(now)
	if status.Leader != "" {
		g.followed = now
		if status.Members.IsVoter(status.Name) {
			return
		}
	} else if now.Sub(g.followed) < leaderless {
		return
	}
	leader, _ := g.router.peers.Leader(now)
	if leader == "" || leader == g.router.settings.Router.Reached() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, neighbour.CallTimeout)
	defer cancel()
	request := neighbour.JoinRequest{Name: node.Name(), Addr: g.router.settings.Router.Reached(), Spare: !g.router.settings.Router.Found}
	var reply neighbour.JoinReply
	err := g.router.clients.Call(ctx, leader, "Join", &request, &reply)
	if err == nil {
		err = neighbour.Err(reply.Kind, reply.Detail)
	}
	if err != nil {
		g.router.log.Debug("not joined", "leader", leader, "error", err.Error())
	}
}

// leader returns the address of the leader and its term, as far as it is known.
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

// local returns this router's replica if it leads.
func (g *group) local(now time.Time) (*replica.Node, bool) {
	node := g.replica()
	if node == nil {
		return nil, false
	}
	return node, node.Status(now).IsLeader
}

// State returns the held state if its revision is above the given one.
func (g *group) State(above uint64) (declared.State, bool) {
	held := g.router.holder.State()
	return held, held.Revision > above
}

// List returns the held list of servers.
func (g *group) List(now time.Time) ([]placing.Server, time.Duration, bool) {
	list, readAt := g.router.list.current()
	return list, now.Sub(readAt), !readAt.IsZero()
}

// Directory returns which prompts servers keep.
func (g *group) Directory(now time.Time) placing.DirectorySnapshot {
	return g.router.servers.Directory(now)
}

// Propose replicates a command, at the leader.
func (g *group) Propose(ctx context.Context, command []byte) (uint64, error) {
	node, leads := g.local(time.Now())
	if !leads {
		return 0, bronzerill.Errorf(bronzerill.KindNotLeader, "this router doesn't lead")
	}
	if err := g.isFounded(node); err != nil {
		return 0, err
	}
	value, err := node.Propose(ctx, command)
	if err != nil {
		return 0, err
	}
	result, ok := value.(state.Result)
	if !ok {
		return 0, bronzerill.Errorf(bronzerill.KindInternal, "the state machine answered %T", value)
	}
	return g.machine.Declared().Revision, result.Err()
}

// isFounded refuses the first changes until so many voters hold them that the
// promised losses leave a majority. The founder alone could lose what it has
// acknowledged.
func (g *group) isFounded(node *replica.Node) error {
	if g.machine.Declared().Revision > 0 {
		return nil
	}
	voters, needed := node.Status(time.Now()).Members.Voters(), 2*g.router.settings.Router.Losses+1
	if voters < needed {
		return bronzerill.Errorf(bronzerill.KindNoQuorum, "the group has %d of %d voters", voters, needed)
	}
	return nil
}

// Read returns the newest state, at the leader.
func (g *group) Read(ctx context.Context) (declared.State, error) {
	node, leads := g.local(time.Now())
	if !leads {
		return declared.State{}, bronzerill.Errorf(bronzerill.KindNotLeader, "this router doesn't lead")
	}
	if err := node.AwaitReadIndex(ctx); err != nil {
		return declared.State{}, err
	}
	return g.machine.Declared(), nil
}

// Join adds a replica, at the leader.
func (g *group) Join(ctx context.Context, r neighbour.JoinRequest) error {
	node, leads := g.local(time.Now())
	if !leads {
		return bronzerill.Errorf(bronzerill.KindNotLeader, "this router doesn't lead")
	}
	if _, changed := node.Status(time.Now()).Members.WithJoined(r.Name, r.Addr, r.Spare); !changed {
		return nil
	}
	g.router.log.Info("replica joins", "replica", r.Name, "address", r.Addr, "spare", r.Spare)
	return node.ChangeMembers(ctx, func(m replica.Members) (replica.Members, error) {
		next, _ := m.WithJoined(r.Name, r.Addr, r.Spare)
		return next, nil
	})
}

// atLeader runs a call at the leader, here or elsewhere, and follows the lead
// until ctx ends. Calls must be idempotent.
func (g *group) atLeader(ctx context.Context, here func() error, there func(addr string) error) error {
	err := bronzerill.Errorf(bronzerill.KindNoQuorum, "no leader is known")
	for ctx.Err() == nil {
		now := time.Now()
		if _, leads := g.local(now); leads {
			err = here()
		} else if addr, _ := g.leader(now); addr != "" && addr != g.router.settings.Router.Reached() {
			err = there(addr)
		}
		if !mayPass(err) {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return bronzerill.Errorf(bronzerill.KindNoQuorum, "%v", err)
}

// mayPass reports whether an error may be gone at the next try or leader.
func mayPass(err error) bool {
	switch bronzerill.KindOf(err) {
	case bronzerill.KindNotLeader, bronzerill.KindNoQuorum, bronzerill.KindInternal, bronzerill.KindTableFull:
		return true
	}
	return false
}

// watchedMachine tells the router of each change of the declared state.
type watchedMachine struct {
	*state.Machine
	router *Router
}

var _ replica.StateMachine = (*watchedMachine)(nil)

// Apply runs one command.
func (m *watchedMachine) Apply(index uint64, command []byte) any {
	result := m.Machine.Apply(index, command)
	m.router.holder.update(m.Declared(), "log")
	return result
}

// Restore replaces the state by a snapshot's.
func (m *watchedMachine) Restore(data []byte) error {
	err := m.Machine.Restore(data)
	if err == nil {
		m.router.holder.update(m.Declared(), "snapshot")
	}
	return err
}
