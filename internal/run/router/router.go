// Package router runs the router role. A router forwards callers' requests to backend
// servers, and the routers together replicate the declared state.
package router

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/operator/journal"
	"bronzerill/internal/router/caller"
	"bronzerill/internal/router/peer"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/router/server"
	"bronzerill/internal/run/boot"
	"bronzerill/internal/run/limits"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/settings/file"
	"bronzerill/internal/wire/httpport"
	"bronzerill/internal/wire/netrpc"
	"bronzerill/platform"
)

// Parameters of the role.
const (
	// maintenanceInterval is the time between two rounds of maintenance.
	maintenanceInterval = 250 * time.Millisecond
	// reloadInterval is the time between checks of the settings file, which may change
	// without a signal.
	reloadInterval = time.Second
)

// Router is a running router.
type Router struct {
	settings     file.Settings
	settingsPath string
	adapter      platform.Adapter
	log          hclog.Logger
	peers        *peer.Table
	clients      *peer.Clients
	// fetchClients are for declared states, which may be large: other calls must not wait behind one.
	fetchClients *peer.Clients
	gossip       *peer.Gossip
	servers      *placement.Table
	client       *server.Client
	handler      *caller.Handler
	holder       *stateHolder
	group        *group
	limits       limits.Limits
	list         *listPoller
	directory    *directoryClient
	streams      *streamRegistry
	versions     *versionHistory
	// ports holds the open ports by the keys of their settings.
	ports    map[string]*httpport.Port
	stopping atomic.Bool
	// loggedLeader is the leader that was logged last.
	loggedLeader string
}

// Run runs a router until SIGTERM or an interrupt. It returns nil after a graceful stop.
func Run(ctx context.Context, s file.Settings, settingsPath string, adapter platform.Adapter) error {
	// A write beyond a limit on the size of files fails then, as on a full disk.
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
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
	r, err := newRouter(s, settingsPath, adapter, log)
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
	log.Info("started", "zone", s.Zone, "data-folder", s.Router.DataFolder, "found", s.Router.Bootstrap)
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

func newRouter(s file.Settings, settingsPath string, adapter platform.Adapter, log hclog.Logger) (*Router, error) {
	seeds, err := internalSeeds(*s.Router)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	secret, err := optionalSecret(s.SecretFile)
	if err != nil {
		return nil, err
	}
	processLimits, err := limits.Apply(s)
	if err != nil {
		return nil, err
	}
	clock, err := boot.SystemClock(now)
	if err != nil {
		return nil, err
	}
	seed := xxhash.Sum64String(s.Name) ^ uint64(now.UnixNano())
	self := peer.Peer{Name: s.Name, Addr: s.Router.AdvertisedAddr(), Zone: s.Zone, Started: now.UnixNano()}
	r := &Router{
		settings: s, settingsPath: settingsPath, adapter: adapter, log: log,
		ports:   make(map[string]*httpport.Port),
		peers:   peer.NewTable(self, seeds, seed),
		clients: peer.NewClients(secret), fetchClients: peer.NewClients(secret),
		servers: placement.NewTable(placement.Config{Name: s.Name, Zone: s.Zone, Seed: seed}),
		limits:  processLimits,
	}
	r.client = server.NewClient(server.Config{Clock: time.Now, Memory: r.limits.Memory})
	savedPeers, err := readSavedPeers(s.Router.DataFolder)
	if err != nil {
		// The router also finds its peers through the seeds, but later.
		log.Warn("saved peers not read", "error", err.Error())
	}
	r.peers.SetSavedPeers(savedPeers, now.Add(savedPeersFor))
	r.updateRouters(now)
	r.servers.SetLimits(placementLimits(*s.Router))
	r.holder = newHolder(adapter, r.servers, clock.Now, log)
	r.streams = newStreamRegistry(r, peer.NewClients(secret))
	r.gossip, err = peer.NewGossip(peer.GossipConfig{
		Self: self, Listen: s.Router.Internal, Table: r.peers, Fill: r.fillDigest, Received: r.applyDigest,
		ReceivedStream: r.streams.records.Add, Clock: time.Now, Log: log,
	})
	if err != nil {
		return nil, err
	}
	r.holder.onChange = r.gossip.Trigger
	r.versions = newVersionHistory(now, r)
	r.holder.onFetched = r.versions.setFetched
	r.list = newListPoller(r)
	r.directory = newDirectoryClient(now, r)
	r.group = newGroup(r, secret)
	r.holder.newest = r.group
	r.handler = caller.NewHandler(caller.Config{
		Dialect: adapter, Servers: r.servers, Client: r.client, Streams: r.streams, States: r.holder, Clock: time.Now, Log: log, Memory: r.limits.Memory,
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

func placementLimits(r file.Router) placement.Limits {
	return placement.Limits{
		RetryRatio:   float64(r.Bounds.RetryRatio),
		RetrySlack:   float64(r.Bounds.RetrySlack),
		LoadMultiple: float64(r.Bounds.LoadMultiple),
	}
}

// internalSeeds converts the operator addresses of the seeds to their internal addresses.
// All routers use the same ports.
func internalSeeds(r file.Router) ([]string, error) {
	own, err := netip.ParseAddrPort(r.AdvertisedAddr())
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
	tasks.Go(func() error { return r.holder.runFetch(ctx, r.fetchClients) })
	tasks.Go(func() error { return r.holder.runConfirm(ctx) })
	tasks.Go(func() error { return r.list.run(ctx) })
	tasks.Go(func() error { return ticker.Every(ctx, noteInterval, r.versions.maintain) })
	tasks.Go(func() error { return r.directory.run(ctx) })
	tasks.Go(func() error { return r.savePeers(ctx) })
	tasks.Go(func() error { return ticker.Every(ctx, maintenanceInterval, r.maintain) })
	return r.startHTTP(ctx, tasks)
}

// maintain removes expired peers and connections, and logs a change of the leader.
func (r *Router) maintain(context.Context) {
	now := time.Now()
	r.peers.Expire(now)
	r.updateRouters(now)
	r.client.Sweep(now)
	r.logLeaderChange(now)
	r.holder.logBehind(now)
	r.holder.beat(r.holder.clock())
}

// updateRouters passes the known routers to the table of servers, which computes this
// router's shares.
func (r *Router) updateRouters(now time.Time) {
	r.servers.SetRouters(r.peers.Names(), r.peers.Count(now))
}

// logLeaderChange logs when the leader of the control group changes or is lost.
func (r *Router) logLeaderChange(now time.Time) {
	leader, term := r.group.leader(now)
	if leader != r.loggedLeader {
		r.log.Info("leader changed", "leader", leader, "term", term, "before", r.loggedLeader, "routers-alive", r.peers.Alive(now))
		r.loggedLeader = leader
	}
}

// fillDigest adds this router's data to a digest.
func (r *Router) fillDigest(now time.Time, d *peer.Digest) {
	d.Revision = r.holder.Revision()
	d.Leader, d.Term = r.group.leader(now)
	d.ListAge, d.ListSum = r.list.age(now)
	d.HasDirectory = r.directory.loaded.Load()
	d.Disk = r.settings.Router.DataFolder != ""
	d.Extension.Routers = len(r.peers.Names())
	*d = d.WithObservations(r.servers.Observations(now))
	if d.Full {
		d.Locations = peer.CompactLocations(r.servers.LocationsToGossip(now))
		d.Suspects = r.servers.SuspectsToGossip(now)
		d.Extension.RateLimits = r.servers.RateLimitsToGossip(now)
		d.Extension.Backoffs = r.servers.BackoffsToGossip(now)
		d.Extension.MixedServices = r.servers.MixedServices(now)
	}
}

// applyDigest applies a peer's digest to the table of servers. If the peer has a newer
// declared state, it requests a fetch of that state.
func (r *Router) applyDigest(now time.Time, d peer.Digest) {
	if d.Extension.Routers > r.servers.RouterCount() {
		r.updateRouters(now)
	}
	r.servers.SetPeerLoads(now, d.From.Name, d.Loads)
	if d.Full {
		r.servers.SetPeerObservations(now, d.From.Name, d.Observations())
		r.servers.AddPeerLocations(now, d.CacheLocations())
		r.servers.SetPeerSuspects(now, d.From.Name, d.Suspects)
		r.servers.SetPeerRateLimits(now, d.Extension.RateLimits)
		r.servers.SetPeerBackoffs(now, d.From.Name, d.Extension.Backoffs)
		r.servers.SetPeerMixedServices(now, d.Extension.MixedServices)
	}
	if d.Revision > r.holder.Revision() {
		r.holder.noteHeard(now, d.Revision, d.From.Addr)
		r.holder.requestFetch(d.From.Addr)
	}
}

// Ready reports whether the router can serve callers.
func (r *Router) Ready() bool {
	_, listed := r.servers.ListAge(time.Now())
	return !r.stopping.Load() && r.holder.Table() != nil && listed
}

// watchSettings reloads the settings after a signal or a change of the file.
func (r *Router) watchSettings(ctx context.Context, reload <-chan os.Signal) error {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	var modified time.Time
	if info, err := os.Stat(r.settingsPath); err == nil {
		modified = info.ModTime()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
		case <-tick.C:
			info, err := os.Stat(r.settingsPath)
			if err != nil || info.ModTime().Equal(modified) {
				continue
			}
			modified = info.ModTime()
		}
		r.reload()
	}
}

// reload applies the settings that may change while the process runs. Invalid settings
// are logged and ignored.
func (r *Router) reload() {
	s, err := file.Load(r.settingsPath)
	if err == nil && s.Router == nil {
		err = errors.New("section router is missing")
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
	r.servers.SetLimits(placementLimits(*s.Router))
	r.list.setAddress(s.Router.InstanceList)
	r.log.Info("settings reloaded", "seeds", seeds)
}
