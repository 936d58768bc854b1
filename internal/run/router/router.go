// Package router assembles the router role: it takes callers' requests to
// backend servers by itself, and keeps the declared state with other routers.
package router

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/operator/journal"
	"bronzerill/internal/router/caller"
	"bronzerill/internal/router/neighbour"
	"bronzerill/internal/router/placing"
	"bronzerill/internal/router/server"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/settings/file"
	"bronzerill/internal/wire/netrpc"
	"bronzerill/platform"
)

// Timing of the role.
const (
	// houseInterval is the pause between rounds of upkeep.
	houseInterval = 250 * time.Millisecond
	// heapPercent of the memory is what the heap may grow to before garbage is
	// collected more often; the rest is for sockets and what the heap lags.
	heapPercent = 40
	// reloadInterval is the pause between looks at the settings file, which may
	// change without a signal.
	reloadInterval = time.Second
)

// Router is a running router.
type Router struct {
	settings  file.Settings
	path      string
	adapter   platform.Adapter
	log       hclog.Logger
	peers     *neighbour.Table
	clients   *neighbour.Clients
	gossip    *neighbour.Gossip
	servers   *placing.Table
	client    *server.Client
	handler   *caller.Handler
	holder    *holder
	group     *group
	list      *poller
	directory *directoryClient
	// callers is the port for callers.
	callers  *http.Server
	stopping atomic.Bool
	// knownLeader is the leader that was logged last.
	knownLeader string
}

// Run runs a router until SIGTERM. It returns nil after a graceful stop.
func Run(ctx context.Context, s file.Settings, path string, adapter platform.Adapter) error {
	signal.Ignore(syscall.SIGPIPE)
	if limit := s.Router.MemoryMB; limit > 0 {
		debug.SetMemoryLimit(int64(limit) << 20 * heapPercent / 100)
	}
	stop, cancelStop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancelStop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	work, cancelWork := context.WithCancel(ctx)
	defer cancelWork()
	tasks, work := errgroup.WithContext(work)
	sink := journal.NewSink(os.Stdout)
	tasks.Go(func() error { return sink.Run(work) })
	log := hclog.New(&hclog.LoggerOptions{
		Name: s.Name, Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: sink,
	})
	r, err := newRouter(s, path, adapter, log)
	if err != nil {
		return err
	}
	if err := r.start(work, tasks); err != nil {
		cancelWork()
		if waitErr := tasks.Wait(); waitErr != nil {
			log.Error("not started", "error", waitErr.Error())
		}
		return err
	}
	log.Info("started", "zone", s.Zone, "data-folder", s.Router.DataFolder, "found", s.Router.Found)
	tasks.Go(func() error { return r.watchSettings(work, reload) })
	select {
	case <-stop.Done():
		r.drain(work)
	case <-work.Done():
	}
	log.Info("stopped", "in-flight", r.handler.InFlight())
	cancelWork()
	return tasks.Wait()
}

func newRouter(s file.Settings, path string, adapter platform.Adapter, log hclog.Logger) (*Router, error) {
	seeds, err := internalSeeds(*s.Router)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	secret, err := optionalSecret(s.SecretFile)
	if err != nil {
		return nil, err
	}
	seed := xxhash.Sum64String(s.Name) ^ uint64(now.UnixNano())
	self := neighbour.Peer{Name: s.Name, Addr: s.Router.Reached(), Zone: s.Zone, Started: now.UnixNano()}
	r := &Router{
		settings: s, path: path, adapter: adapter, log: log,
		peers:   neighbour.NewTable(self, seeds, seed),
		clients: neighbour.NewClients(secret),
		servers: placing.NewTable(placing.Config{Name: s.Name, Zone: s.Zone, Seed: seed}),
		client:  server.NewClient(server.Config{Clock: time.Now}),
	}
	remembered, err := readRemembered(s.Router.DataFolder)
	if err != nil {
		// The seeds do as well, only later.
		log.Warn("routers not remembered", "error", err.Error())
	}
	r.peers.SetSavedPeers(remembered, now.Add(rememberFor))
	r.servers.SetLimits(limits(*s.Router))
	r.holder = newHolder(adapter, r.servers, log)
	r.gossip, err = neighbour.NewGossip(neighbour.GossipConfig{
		Self: self, Listen: s.Router.Internal, Table: r.peers, Fill: r.fill, Received: r.received, Clock: time.Now, Log: log,
	})
	if err != nil {
		return nil, err
	}
	r.holder.changed = r.gossip.Trigger
	r.list = newPoller(r)
	r.directory = newDirectoryClient(now, r)
	r.group = newGroup(r, secret)
	r.handler = caller.NewHandler(caller.Config{
		Dialect: adapter, Servers: r.servers, Client: r.client, Routes: r.holder.Table, Clock: time.Now, Log: log,
	})
	return r, nil
}

func optionalSecret(path string) (netrpc.Secret, error) {
	if path == "" {
		return nil, nil
	}
	secret, err := file.ReadSecret(path)
	return netrpc.Secret(secret), err
}

func limits(r file.Router) placing.Limits {
	return placing.Limits{
		RetryRatio:   float64(r.Bounds.RetryRatio),
		RetrySlack:   float64(r.Bounds.RetrySlack),
		LoadMultiple: float64(r.Bounds.LoadMultiple),
	}
}

// internalSeeds turns the operators' addresses of routers into their internal
// ones; ports are the same at all routers.
func internalSeeds(r file.Router) ([]string, error) {
	own, err := netip.ParseAddrPort(r.Reached())
	if err != nil {
		return nil, errors.Wrap(err, "router.advertise")
	}
	seeds := make([]string, 0, len(r.Seeds))
	for _, seed := range r.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil {
			return nil, errors.Wrap(err, "router.seeds")
		}
		seeds = append(seeds, netip.AddrPortFrom(addr.Addr(), own.Port()).String())
	}
	return seeds, nil
}

func (r *Router) start(ctx context.Context, tasks *errgroup.Group) error {
	listener, err := net.Listen("tcp", r.settings.Router.Internal)
	if err != nil {
		return errors.Wrap(err, "router.internal")
	}
	if err := r.group.start(ctx, tasks, listener); err != nil {
		return err
	}
	tasks.Go(func() error { return r.gossip.Run(ctx) })
	tasks.Go(func() error { return r.holder.runCompile(ctx) })
	tasks.Go(func() error { return r.holder.runFetch(ctx, r) })
	tasks.Go(func() error { return r.list.run(ctx) })
	tasks.Go(func() error { return r.directory.run(ctx) })
	tasks.Go(func() error { return r.keepRemembered(ctx) })
	tasks.Go(func() error { return ticker.Every(ctx, houseInterval, r.keepHouse) })
	return r.startWeb(ctx, tasks)
}

// keepHouse expires what is old.
func (r *Router) keepHouse(context.Context) {
	now := time.Now()
	r.peers.Expire(now)
	r.servers.SetRouters(r.peers.Names())
	r.client.Sweep(now)
	r.noteLeader(now)
}

// noteLeader logs the loss and the change of the control group's leader.
func (r *Router) noteLeader(now time.Time) {
	leader, term := r.group.leader(now)
	if leader != r.knownLeader {
		r.log.Info("leader changed", "leader", leader, "term", term, "before", r.knownLeader, "routers-alive", r.peers.Alive(now))
		r.knownLeader = leader
	}
}

// fill completes a digest.
func (r *Router) fill(now time.Time, d *neighbour.Digest) {
	d.Revision = r.holder.Revision()
	d.Leader, d.Term = r.group.leader(now)
	d.ListAge, d.ListSum = r.list.age(now)
	d.HasDirectory = r.directory.informed.Load()
	d.Disk = r.settings.Router.DataFolder != ""
	*d = d.WithObservations(r.servers.Observations(now))
	if d.Full {
		d.Locations = neighbour.CompactLocations(r.servers.LocationsToGossip(now))
		d.Suspects = r.servers.SuspectsToGossip(now)
	}
}

// received takes what a digest shows to be new.
func (r *Router) received(now time.Time, d neighbour.Digest) {
	r.servers.SetPeerLoads(now, d.From.Name, d.Loads)
	if d.Full {
		r.servers.SetPeerObservations(now, d.From.Name, d.Observations())
		r.servers.AddPeerLocations(now, d.Placements())
		r.servers.SetPeerSuspects(now, d.From.Name, d.Suspects)
	}
	if d.Revision > r.holder.Revision() {
		r.holder.fetchFrom(d.From.Addr)
	}
}

// Ready reports whether callers may come.
func (r *Router) Ready() bool {
	_, listed := r.servers.ListAge(time.Now())
	return !r.stopping.Load() && r.holder.Table() != nil && listed
}

// watchSettings takes changed settings, at a signal and without one.
func (r *Router) watchSettings(ctx context.Context, reload <-chan os.Signal) error {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	var last time.Time
	if info, err := os.Stat(r.path); err == nil {
		last = info.ModTime()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
		case <-tick.C:
			info, err := os.Stat(r.path)
			if err != nil || info.ModTime().Equal(last) {
				continue
			}
			last = info.ModTime()
		}
		r.reload()
	}
}

// reload takes the settings that may change while the process runs; faulty ones
// are logged and left aside.
func (r *Router) reload() {
	s, err := file.Load(r.path)
	if err == nil && s.Router == nil {
		err = errors.New("the section router is gone")
	}
	var seeds []string
	if err == nil {
		seeds, err = internalSeeds(*s.Router)
	}
	if err != nil {
		r.log.Error("settings not reloaded", "error", err.Error())
		return
	}
	r.peers.SetSeeds(seeds)
	r.servers.SetLimits(limits(*s.Router))
	r.list.setAddress(s.Router.InstanceList)
	r.log.Info("settings reloaded", "seeds", seeds)
}
