// Package entry starts the entry role and drains it.
package entry

import (
	"context"
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
	"bronzerill/internal/run/boot"
	"bronzerill/internal/run/limits"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/settings/file"
	wire "bronzerill/internal/wire/control"
	"bronzerill/internal/wire/httpabort"
	"bronzerill/internal/wire/httpport"
)

// Limits of the callers' port and timing of the role.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	tickInterval      = time.Second
)

// Config configures a Role.
type Config struct {
	Settings file.Settings
	Secret   string
	Client   *wire.Client
	Limits   limits.Limits
	Log      hclog.Logger
}

// Role is a running entry.
type Role struct {
	settings file.Entry
	renewer  *wire.LeaseRenewer
	// leaseClock is the boot clock: the lease lapses also while the machine is suspended.
	leaseClock func() time.Time
	port       *httpport.Port
	draining   atomic.Bool
}

// Start listens on the callers' port and begins to renew the lease.
func Start(ctx context.Context, group *errgroup.Group, cfg Config) (*Role, error) {
	port, err := httpport.Listen(cfg.Settings.Entry.Listen, cfg.Limits.CallerPort("entry.listen"))
	if err != nil {
		return nil, errors.Wrap(err, "entry.listen")
	}
	leaseClock, err := boot.SystemClock(time.Now())
	if err != nil {
		_ = port.Close()
		return nil, err
	}
	rings := &rings{}
	renewer := wire.NewLeaseRenewer(wire.LeaseRenewerConfig{
		Client: cfg.Client,
		// The UUID prevents a process that resumes after a suspension from
		// sharing the lease of its replacement.
		Holder:          cfg.Settings.Name + "/" + uuid.NewString(),
		RenewalInterval: wire.EntryRenewalInterval,
		Clock:           leaseClock.Now,
		Log:             cfg.Log,
		OnChange:        rings.update,
		// An entry always needs the server table.
		WantServers: func() bool { return true },
	})
	client := agent.NewClient(agent.ClientConfig{Secret: cfg.Secret})
	forwarder := agent.NewForwarder(agent.ForwarderConfig{
		Client:     client,
		Fleet:      &fleet{renewer, rings},
		Crashes:    cfg.Client,
		Clock:      time.Now,
		LeaseClock: leaseClock.Now,
		Log:        cfg.Log,
		Seed:       xxhash.Sum64String(cfg.Settings.Name),
	})
	callerServer := caller.NewServer(caller.ServerConfig{
		Forwarder:  forwarder,
		View:       renewer.View,
		Clock:      time.Now,
		LeaseClock: leaseClock.Now,
		Log:        cfg.Log,
		Secret:     cfg.Secret,
		Memory:     cfg.Limits.Memory,
	})
	r := &Role{settings: *cfg.Settings.Entry, renewer: renewer, leaseClock: leaseClock.Now, port: port}
	httpServer := &http.Server{
		Handler:           httpport.CloseWhen(r.draining.Load, callerServer.Handler()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       httpabort.ConnContext,
		ErrorLog:          cfg.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	group.Go(func() error { return renewer.Run(ctx) })
	group.Go(func() error {
		return ticker.Every(ctx, tickInterval, func(context.Context) { forwarder.Tick(time.Now()) })
	})
	group.Go(func() error { return errors.Wrap(port.Serve(httpServer), "serve callers' port") })
	group.Go(func() error {
		<-ctx.Done()
		client.Close()
		return httpServer.Close()
	})
	return r, nil
}

// Ready reports whether the balancer should send callers to this entry: it holds
// a lease and isn't draining.
func (r *Role) Ready() bool {
	return !r.draining.Load() && r.renewer.View().HasLease(r.leaseClock())
}

// Drain reports the entry as not ready and keeps serving for BalancerDelay, while
// the balancer may still send callers. Then it closes the callers' port and waits
// for the running requests. Requests on open connections are still served.
func (r *Role) Drain(ctx context.Context) error {
	r.draining.Store(true)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(r.settings.BalancerDelay.Duration):
	}
	if err := r.port.Close(); err != nil {
		return errors.Wrap(err, "close callers' port")
	}
	return errors.Wrap(r.port.AwaitClosed(ctx), "finish callers' requests")
}
