// Package control starts the control role and drains it.
package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/control/holder"
	"bronzerill/internal/control/operator"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/control/state"
	"bronzerill/internal/platform/list"
	"bronzerill/internal/run/boot"
	"bronzerill/internal/settings/file"
	wire "bronzerill/internal/wire/control"
	"bronzerill/internal/wire/netrpc"
)

// Timing of the leadership transfer before a stop.
const (
	transferTimeout      = 2 * time.Second
	transferPollInterval = 20 * time.Millisecond
)

// Config configures a Role.
type Config struct {
	Settings file.Settings
	Secret   string
	Log      hclog.Logger
}

// Role is a running control replica.
type Role struct {
	node *replica.Node
	api  *operator.API
	// clock is the boot clock: a leader's lease lapses also while its machine is suspended.
	clock func() time.Time
}

// Start opens the data folder, listens for the other replicas and for the
// clients of the control role, and joins the replica group.
func Start(ctx context.Context, group *errgroup.Group, cfg Config) (*Role, error) {
	settings := *cfg.Settings.Replica
	store, err := replica.OpenStore(settings.DataFolder)
	if err != nil {
		return nil, errors.Wrapf(err, "control.data-folder %s", settings.DataFolder)
	}
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		_ = store.Close()
		return nil, errors.Wrap(err, "control.listen")
	}
	clock, err := boot.SystemClock(time.Now())
	if err != nil {
		_ = store.Close()
		_ = listener.Close()
		return nil, err
	}
	secret := netrpc.Secret(cfg.Secret)
	machine := state.NewMachine()
	node, err := replica.NewNode(replica.NodeConfig{
		Store:        store,
		StateMachine: machine,
		Transport:    replica.NewRPCTransport(ctx, group, secret, cfg.Log),
		Log:          cfg.Log,
		Clock:        clock.Now,
		Seed:         xxhash.Sum64String(cfg.Settings.Name),
		Addr:         settings.Listen,
	})
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	service := newService(settings, node, machine, clock.Now, cfg.Log)
	rpc := netrpc.NewServer(secret, cfg.Log)
	if err := rpc.Register(replica.Service, replica.NewRPC(node)); err != nil {
		return nil, err
	}
	if err := rpc.Register(wire.Service, holder.NewRPC(service)); err != nil {
		return nil, err
	}
	group.Go(func() error {
		err := node.Run(ctx)
		return firstError(err, store.Close())
	})
	group.Go(func() error { return rpc.Serve(ctx, listener) })
	group.Go(func() error { return service.Run(ctx) })
	group.Go(func() error { return service.RunList(ctx) })
	api := operator.NewAPI(operator.Config{Control: service, Members: node, Machine: machine, Clock: clock.Now})
	return &Role{node: node, api: api, clock: clock.Now}, nil
}

func firstError(err, second error) error {
	if err != nil {
		return err
	}
	return second
}

func newService(settings file.Replica, node *replica.Node, machine *state.Machine, clock func() time.Time, log hclog.Logger) *holder.Service {
	var source list.Source
	if settings.InstanceList != "" {
		source = list.NewSource(settings.InstanceList)
	}
	return holder.NewService(holder.ServiceConfig{
		Group:   node,
		Machine: machine,
		List:    source,
		Clock:   clock,
		Log:     log,
		LeaderAddr: func(name string) string {
			member, _ := node.Status(clock()).Members.Get(name)
			return member.Addr
		},
	})
}

// API returns the HTTP handler of the operator API.
func (r *Role) API() http.Handler { return r.api.Handler() }

// Ready reports whether the group has a leader.
func (r *Role) Ready() bool { return r.node.Status(r.clock()).Leader != "" }

// Drain transfers the leadership to another replica. It does nothing if this
// replica isn't the leader.
func (r *Role) Drain(ctx context.Context) error {
	if !r.node.Status(r.clock()).IsLeader {
		return nil
	}
	r.node.TransferLeadership()
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for r.node.Status(r.clock()).IsLeader {
		select {
		case <-ctx.Done():
			return errors.New("no other replica took over leadership in time")
		case <-time.After(transferPollInterval):
		}
	}
	return nil
}
