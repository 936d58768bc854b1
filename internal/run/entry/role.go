// Package entry assembles the entry role.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/entry/agent"
	"bronzerill/internal/entry/caller"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/settings/file"
	wire "bronzerill/internal/wire/control"
)

// Limits of the callers' port.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	tickInterval      = time.Second
)

// Config configures the role.
type Config struct {
	Settings file.Settings
	Secret   string
	Client   *wire.Client
	Log      hclog.Logger
}

// Role is a running entry.
type Role struct {
	settings file.Entry
	keeper   *wire.LeaseRenewer
	web      *http.Server
	draining atomic.Bool
}

// Start opens the callers' port.
func Start(ctx context.Context, group *errgroup.Group, cfg Config) (*Role, error) {
	listener, err := net.Listen("tcp", cfg.Settings.Entry.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "entry.listen")
	}
	rings := &rings{}
	keeper := wire.NewLeaseRenewer(wire.LeaseRenewerConfig{
		Client: cfg.Client,
		// A process that was frozen and replaced must not share its lease.
		Holder:          cfg.Settings.Name + "/" + uuid.NewString(),
		RenewalInterval: wire.EntryRenewalInterval,
		Clock:           time.Now,
		Log:             cfg.Log,
		OnChange:        rings.update,
		// An entry always needs the table.
		WantServers: func() bool { return true },
	})
	client := agent.NewClient(agent.ClientConfig{Secret: cfg.Secret})
	forwarder := agent.NewForwarder(agent.ForwarderConfig{
		Client:  client,
		Fleet:   &fleet{keeper, rings},
		Crashes: cfg.Client,
		Clock:   time.Now,
		Log:     cfg.Log,
		Seed:    xxhash.Sum64String(cfg.Settings.Name),
	})
	handler := caller.NewServer(caller.ServerConfig{
		Forwarder: forwarder,
		View:      keeper.View,
		Clock:     time.Now,
		Log:       cfg.Log,
		Secret:    cfg.Secret,
	})
	web := &http.Server{
		Handler:           handler.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          cfg.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	r := &Role{settings: *cfg.Settings.Entry, keeper: keeper, web: web}
	group.Go(func() error { return keeper.Run(ctx) })
	group.Go(func() error {
		return ticker.Every(ctx, tickInterval, func(context.Context) { forwarder.Tick(time.Now()) })
	})
	group.Go(func() error {
		if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "callers' port")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		client.Close()
		return web.Close()
	})
	return r, nil
}

// Ready reports whether callers should be sent here.
func (r *Role) Ready() bool {
	return !r.draining.Load() && r.keeper.View().HasLease(time.Now())
}

// Drain goes on serving while the balancer still sends callers, then finishes
// what runs.
func (r *Role) Drain(ctx context.Context) error {
	r.draining.Store(true)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(r.settings.BalancerDelay.Duration):
	}
	return errors.Wrap(r.web.Shutdown(ctx), "finish callers' requests")
}
