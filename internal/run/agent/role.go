// Package agent assembles the agent role beside one backend server.
package agent

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/agent/admission"
	"bronzerill/internal/agent/engine"
	"bronzerill/internal/agent/entry"
	"bronzerill/internal/agent/service"
	"bronzerill/internal/control/state"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/settings/file"
	wire "bronzerill/internal/wire/control"
)

// Timing of the role.
const (
	readHeaderTimeout = 5 * time.Second
	pollInterval      = 200 * time.Millisecond
	drainPause        = 50 * time.Millisecond
	crashTimeout      = 5 * time.Second
)

// Config configures the role.
type Config struct {
	Settings file.Settings
	Secret   string
	Client   *wire.Client
	Log      hclog.Logger
}

// Role is a running agent.
type Role struct {
	cfg        Config
	settings   file.Agent
	keeper     *wire.LeaseRenewer
	server     *entry.Server
	group      *errgroup.Group
	generation atomic.Uint64
	// registeredAt is when this process became the server's only writer.
	registeredAt atomic.Pointer[time.Time]
	// engine and engineClient are nil beside a plain service.
	engine       *engine.Runner
	engineClient *engine.Client
	draining     atomic.Bool
	// handedOver is set once the caches of this departure are handed over.
	handedOver atomic.Bool
}

// Start opens the entries' port and registers the process.
func Start(ctx context.Context, group *errgroup.Group, cfg Config) (*Role, error) {
	settings := *cfg.Settings.Agent
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "agent.listen")
	}
	r := &Role{cfg: cfg, settings: settings, group: group}
	r.keeper = wire.NewLeaseRenewer(wire.LeaseRenewerConfig{
		Client:          cfg.Client,
		Holder:          "agent/" + settings.Server,
		RenewalInterval: wire.AgentRenewalInterval,
		Clock:           time.Now,
		Log:             cfg.Log,
		Generation:      r.generation.Load,
		Status:          r.status,
		// Only a departing agent needs to know where its chats go.
		WantServers: r.departs,
	})
	r.server = entry.NewServer(ctx, group, entry.ServerConfig{
		Name:        settings.Server,
		Secret:      cfg.Secret,
		Runner:      r.runner(ctx),
		Trials:      trials{cfg.Client, settings.Server},
		View:        r.keeper.View,
		Clock:       time.Now,
		Log:         cfg.Log,
		Generation:  r.generation.Load,
		Pool:        settings.Pool,
		Zone:        cfg.Settings.Zone,
		ImportCache: r.importCache(),
	})
	r.serve(ctx, listener)
	group.Go(func() error { return r.server.Run(ctx) })
	group.Go(func() error { return r.runLease(ctx) })
	return r, nil
}

func (r *Role) runner(ctx context.Context) entry.Runner {
	if r.settings.Kind == string(bronzerill.PoolEngine) {
		return r.startEngine(ctx)
	}
	return service.NewRunner(service.RunnerConfig{
		Client:     service.NewClient(r.settings.Backend),
		Ledger:     r.cfg.Client,
		Agent:      r.settings.Server,
		Pool:       r.settings.Pool,
		Generation: r.generation.Load,
		View:       r.keeper.View,
		Clock:      time.Now,
		Log:        r.cfg.Log,
		Background: func(work func(ctx context.Context)) {
			r.group.Go(func() error { work(ctx); return nil })
		},
	})
}

func (r *Role) startEngine(ctx context.Context) entry.Runner {
	client := engine.NewClient(r.settings.Backend)
	r.engineClient = client
	r.engine = engine.NewRunner(engine.RunnerConfig{
		Client:  client,
		Pool:    r.settings.Pool,
		View:    r.keeper.View,
		Clock:   time.Now,
		Log:     r.cfg.Log,
		OnCold:  func() { r.server.WithGate(func(g *admission.Gate) { g.StartCold() }) },
		OnSlots: func(slots int) { r.server.WithGate(func(g *admission.Gate) { g.SetReportedSlots(slots) }) },
		OnDown:  func(down bool) { r.server.WithGate(func(g *admission.Gate) { g.SetDown(down) }) },
		OnCrash: r.reportCrash,
	})
	r.group.Go(func() error { return ticker.Every(ctx, pollInterval, r.engine.Poll) })
	r.group.Go(func() error { return ticker.Every(ctx, pollInterval, r.watchDeparture) })
	orders := newOrders(client, r.settings.Server, r.cfg.Log)
	r.group.Go(func() error {
		return ticker.Every(ctx, pollInterval, func(ctx context.Context) { r.giveOrder(ctx, orders) })
	})
	return r.engine
}

// importCache returns how a cache reaches the engine, or nil without one.
func (r *Role) importCache() func(ctx context.Context, chat string, data []byte) error {
	if r.engineClient == nil {
		return nil
	}
	return r.engineClient.ImportCache
}

func (r *Role) serve(ctx context.Context, listener net.Listener) {
	web := &http.Server{Handler: r.server.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	r.group.Go(func() error {
		if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "entries' port")
		}
		return nil
	})
	r.group.Go(func() error {
		<-ctx.Done()
		return web.Close()
	})
}

// runLease registers the process and then keeps its lease.
func (r *Role) runLease(ctx context.Context) error {
	for r.generation.Load() == 0 {
		generation, err := r.register(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.cfg.Log.Warn("not registered", "error", err.Error())
			continue
		}
		now := time.Now()
		r.registeredAt.Store(&now)
		r.generation.Store(generation)
	}
	return r.keeper.Run(ctx)
}

func (r *Role) register(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	return r.cfg.Client.Register(ctx, r.settings.Server)
}

func (r *Role) status(time.Time) (wire.Server, wire.Load) {
	view := r.keeper.View()
	server := wire.Server{Name: r.settings.Server, Pool: r.settings.Pool, Zone: r.cfg.Settings.Zone, Addr: r.settings.Listen}
	var load wire.Load
	r.server.WithGate(func(g *admission.Gate) {
		server.State = g.State(view)
		load = g.Load(view)
	})
	return server, load
}

// reportCrash makes suspects of what runs, and returns when every agent knows.
func (r *Role) reportCrash(ctx context.Context, lost string) {
	var fingerprints []string
	r.server.WithGate(func(g *admission.Gate) { fingerprints = g.Fingerprints() })
	if len(fingerprints) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	id := strconv.FormatUint(r.generation.Load(), 10) + "/" + lost
	crash := state.Crash{Pool: r.settings.Pool, Agent: r.settings.Server, ID: id, Fingerprints: fingerprints}
	if err := r.cfg.Client.ReportCrash(ctx, crash); err != nil {
		r.cfg.Log.Error("crash not known everywhere", "error", err.Error())
	}
}

// Ready reports whether the agent takes new work.
func (r *Role) Ready() bool { return r.keeper.View().HasLease(time.Now()) }

// Drain refuses new work at once and waits for what runs.
func (r *Role) Drain(ctx context.Context) error {
	r.server.WithGate(func(g *admission.Gate) { g.Drain() })
	r.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, r.settings.DrainTimeout.Duration)
	defer cancel()
	for r.server.Busy() || r.engine != nil && !r.handedOver.Load() {
		select {
		case <-ctx.Done():
			return errors.Errorf("requests still run after %s", r.settings.DrainTimeout.Duration)
		case <-time.After(drainPause):
		}
	}
	return nil
}

// trials asks control about suspects on behalf of one agent.
type trials struct {
	client *wire.Client
	agent  string
}

var _ entry.Trials = trials{}

// StartTrial asks for the right to run a suspect alone.
func (t trials) StartTrial(ctx context.Context, fingerprint string) error {
	return t.client.StartTrial(ctx, state.Trial{Fingerprint: fingerprint, Agent: t.agent})
}

// EndTrial reports what the trial showed.
func (t trials) EndTrial(ctx context.Context, fingerprint string, cleared bool) error {
	return t.client.EndTrial(ctx, state.Verdict{Fingerprint: fingerprint, Agent: t.agent, Cleared: cleared})
}
