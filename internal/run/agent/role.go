// Package agent starts the agent role of one backend server and drains it.
package agent

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/agent/admission"
	"bronzerill/internal/agent/engine"
	"bronzerill/internal/agent/entry"
	"bronzerill/internal/agent/service"
	"bronzerill/internal/control/state"
	"bronzerill/internal/run/boot"
	"bronzerill/internal/run/limits"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/settings/file"
	wire "bronzerill/internal/wire/control"
	"bronzerill/internal/wire/httpport"
)

// Timing of the role.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	pollInterval      = 200 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// leavingDelay is the time until entries know that the server leaves: one renewal of the
	// agent and one of the entry.
	leavingDelay   = wire.AgentRenewalInterval + wire.EntryRenewalInterval
	controlTimeout = 5 * time.Second
)

// Config configures a Role.
type Config struct {
	Settings file.Settings
	Secret   string
	Client   *wire.Client
	Limits   limits.Limits
	Log      hclog.Logger
}

// Role is a running agent.
type Role struct {
	cfg      Config
	settings file.Agent
	renewer  *wire.LeaseRenewer
	server   *entry.Server
	port     *httpport.Port
	group    *errgroup.Group
	clock    func() time.Time
	// process is the ID of this process. It is the same in all attempts to register.
	process    string
	generation atomic.Uint64
	// registeredAt is when this process became the only writer of the server.
	registeredAt atomic.Pointer[time.Time]
	// engine and engineClient are nil if the server is a plain service.
	engine       *engine.Runner
	engineClient *engine.Client
	draining     atomic.Bool
	// engineLeaving is set while the engine states that it is about to stop.
	engineLeaving atomic.Bool
	// handedOver is set when the server is leaving and its caches have been
	// handed over.
	handedOver atomic.Bool
}

// Start listens on the entries' port and registers the process in the background.
func Start(ctx context.Context, group *errgroup.Group, cfg Config) (*Role, error) {
	settings := *cfg.Settings.Agent
	port, err := httpport.Listen(settings.Listen, cfg.Limits.CallerPort("agent.listen"))
	if err != nil {
		return nil, errors.Wrap(err, "agent.listen")
	}
	clock, err := boot.SystemClock(time.Now())
	if err != nil {
		_ = port.Close()
		return nil, err
	}
	r := &Role{cfg: cfg, settings: settings, port: port, group: group, clock: clock.Now, process: uuid.NewString()}
	r.renewer = wire.NewLeaseRenewer(wire.LeaseRenewerConfig{
		Client:          cfg.Client,
		Holder:          "agent/" + settings.Server,
		RenewalInterval: wire.AgentRenewalInterval,
		Clock:           r.clock,
		Log:             cfg.Log,
		Generation:      r.generation.Load,
		Status:          r.status,
		// Only the agent of a leaving server needs the server table, to find the
		// successors of its chats.
		WantServers: r.isLeaving,
	})
	r.server = entry.NewServer(ctx, group, entry.ServerConfig{
		Name:        settings.Server,
		Secret:      cfg.Secret,
		Runner:      r.newRunner(ctx),
		Trials:      trialClient{cfg.Client, settings.Server},
		View:        r.renewer.View,
		Clock:       r.clock,
		Log:         cfg.Log,
		Generation:  r.generation.Load,
		Pool:        settings.Pool,
		Zone:        cfg.Settings.Zone,
		ImportCache: r.cacheImporter(),
		Memory:      cfg.Limits.Memory,
	})
	r.serve(ctx)
	group.Go(func() error { return r.server.Run(ctx) })
	group.Go(func() error { return r.runLease(ctx) })
	return r, nil
}

// newRunner returns the runner for the kind of the server.
func (r *Role) newRunner(ctx context.Context) entry.Runner {
	if r.settings.Kind == string(bronzerill.PoolEngine) {
		return r.startEngine(ctx)
	}
	return service.NewRunner(service.RunnerConfig{
		Client:     service.NewClient(service.ClientConfig{Base: r.settings.Backend, Clock: r.clock}),
		Ledger:     r.cfg.Client,
		Memory:     r.cfg.Limits.Memory,
		Agent:      r.settings.Server,
		Pool:       r.settings.Pool,
		Generation: r.generation.Load,
		View:       r.renewer.View,
		Clock:      r.clock,
		Log:        r.cfg.Log,
		Background: func(work func(ctx context.Context)) {
			r.group.Go(func() error { work(ctx); return nil })
		},
	})
}

// startEngine creates the runner of a model engine. It starts to poll the engine,
// to send its orders and to watch whether the server is leaving.
func (r *Role) startEngine(ctx context.Context) entry.Runner {
	client := engine.NewClient(engine.ClientConfig{Base: r.settings.Backend, Clock: r.clock})
	r.engineClient = client
	r.engine = engine.NewRunner(engine.RunnerConfig{
		Client:  client,
		Pool:    r.settings.Pool,
		View:    r.renewer.View,
		Clock:   r.clock,
		Log:     r.cfg.Log,
		OnCold:  func() { r.server.WithGate(func(g *admission.Gate) { g.StartCold() }) },
		OnSlots: func(slots int) { r.server.WithGate(func(g *admission.Gate) { g.SetReportedSlots(slots) }) },
		OnLeaving: func(leaving bool) {
			r.engineLeaving.Store(leaving)
			r.server.WithGate(func(g *admission.Gate) { g.SetLeaving(leaving) })
		},
		OnDown:  func(down bool) { r.server.WithGate(func(g *admission.Gate) { g.SetDown(down) }) },
		OnCrash: r.reportCrash,
	})
	r.group.Go(func() error { return ticker.Every(ctx, pollInterval, r.engine.Poll) })
	r.group.Go(func() error { return ticker.Every(ctx, pollInterval, r.handOverWhenLeaving) })
	dispatcher := newOrderDispatcher(client, r.settings.Server, r.cfg.Log)
	r.group.Go(func() error {
		return ticker.Every(ctx, pollInterval, func(ctx context.Context) { r.sendOrder(ctx, dispatcher) })
	})
	return r.engine
}

// cacheImporter returns the function that imports a cache into the engine, or nil
// if the server is a plain service.
func (r *Role) cacheImporter() func(ctx context.Context, chat string, data []byte) error {
	if r.engineClient == nil {
		return nil
	}
	return r.engineClient.ImportCache
}

func (r *Role) serve(ctx context.Context) {
	handler := httpport.CloseWhen(r.draining.Load, r.server.Handler())
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	r.group.Go(func() error { return errors.Wrap(r.port.Serve(httpServer), "serve entries' port") })
	r.group.Go(func() error {
		<-ctx.Done()
		return httpServer.Close()
	})
}

// runLease registers the process, then renews its lease until ctx ends.
func (r *Role) runLease(ctx context.Context) error {
	for r.generation.Load() == 0 {
		generation, err := r.register(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.cfg.Log.Warn("failed to register", "error", err.Error())
			continue
		}
		now := r.clock()
		r.registeredAt.Store(&now)
		r.generation.Store(generation)
	}
	return r.renewer.Run(ctx)
}

func (r *Role) register(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return r.cfg.Client.Register(ctx, r.settings.Server, r.process)
}

// status returns the state and the load of the server for a lease renewal.
func (r *Role) status(time.Time) (wire.Server, wire.Load) {
	view := r.renewer.View()
	server := wire.Server{Name: r.settings.Server, Pool: r.settings.Pool, Zone: r.cfg.Settings.Zone, Addr: r.settings.Listen}
	var load wire.Load
	r.server.WithGate(func(g *admission.Gate) {
		server.State = g.State(view)
		load = g.Load(view)
	})
	return server, load
}

// reportCrash reports the running requests as suspects. It returns when every
// agent knows them, or after controlTimeout.
func (r *Role) reportCrash(ctx context.Context, lostGeneration string) {
	var fingerprints []string
	r.server.WithGate(func(g *admission.Gate) { fingerprints = g.Fingerprints() })
	if len(fingerprints) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	id := strconv.FormatUint(r.generation.Load(), 10) + "/" + lostGeneration
	crash := state.Crash{Pool: r.settings.Pool, Agent: r.settings.Server, ID: id, Fingerprints: fingerprints}
	if err := r.cfg.Client.ReportCrash(ctx, crash); err != nil {
		r.cfg.Log.Error("failed to report crash to all agents", "error", err.Error())
	}
}

// Ready reports whether the agent accepts new requests.
func (r *Role) Ready() bool { return r.renewer.View().HasLease(r.clock()) }

// Drain refuses new requests immediately. It waits for the running requests, for an engine for
// the hand-over of caches, and until entries send no more requests. It fails after DrainTimeout.
func (r *Role) Drain(ctx context.Context) error {
	leavingUntil := r.clock().Add(leavingDelay)
	r.server.WithGate(func(g *admission.Gate) { g.Drain() })
	r.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, r.settings.DrainTimeout.Duration)
	defer cancel()
	for r.server.Busy() || r.engine != nil && !r.handedOver.Load() || r.clock().Before(leavingUntil) {
		select {
		case <-ctx.Done():
			return errors.Errorf("requests or cache hand-over not finished after %s", r.settings.DrainTimeout.Duration)
		case <-time.After(drainPollInterval):
		}
	}
	if err := r.port.Close(); err != nil {
		return errors.Wrap(err, "close entries' port")
	}
	return errors.Wrap(r.port.AwaitClosed(ctx), "finish entries' requests")
}

// trialClient requests and reports trials of suspects for one agent.
type trialClient struct {
	client *wire.Client
	agent  string
}

var _ entry.Trials = trialClient{}

// StartTrial requests permission to run a suspect alone.
func (t trialClient) StartTrial(ctx context.Context, fingerprint string) error {
	return t.client.StartTrial(ctx, state.Trial{Fingerprint: fingerprint, Agent: t.agent})
}

// EndTrial reports the result of a trial.
func (t trialClient) EndTrial(ctx context.Context, fingerprint string, cleared bool) error {
	return t.client.EndTrial(ctx, state.Verdict{Fingerprint: fingerprint, Agent: t.agent, Cleared: cleared})
}
