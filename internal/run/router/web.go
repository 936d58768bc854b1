package router

import (
	"context"
	"expvar"
	"log"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/router/caller"
	"bronzerill/internal/wire/httpabort"
	"bronzerill/internal/wire/httpport"
)

// Limits of the HTTP ports.
const (
	// headerTimeout is the timeout for reading the headers of a request. It exceeds
	// 3 s, the maximum that callers are allowed.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than callers keep idle connections open.
	idleTimeout = 60 * time.Second
	// maxHeader is the maximum size of the headers of a request, or of a response to a
	// router's own calls, in bytes.
	maxHeader = 64 << 10
	// operatorBodyFactor is what a call of an operator takes, as a multiple of its body: the body and the
	// command with it.
	operatorBodyFactor = 2
)

// Timing of a graceful stop.
const (
	// balancerDelay is how long new requests may arrive after the router has become not
	// ready. The load balancer checks once a second and removes the router after two
	// failed checks. After this delay, only requests that can be completed before the process
	// is killed are taken.
	balancerDelay = 2500 * time.Millisecond
	// giveUpMargin is the time for the responses to requests that are given up at the end of
	// a stop.
	giveUpMargin = 200 * time.Millisecond
	// stopMargin is the time between the last moment at which drain returns and the
	// kill of the process.
	stopMargin = 400 * time.Millisecond
)

// Settings keys of the ports that are drained.
const (
	callersKey   = "router.callers"
	operatorsKey = "router.operators"
)

func (r *Router) startHTTP(ctx context.Context, tasks *errgroup.Group) error {
	s := r.settings.Router
	metrics := http.NewServeMux()
	metrics.Handle("/debug/vars", expvar.Handler())
	metrics.Handle("/metrics", expvar.Handler())
	ports := []struct {
		cfg     httpport.Config
		addr    string
		handler http.Handler
	}{
		{r.limits.CallerPort(callersKey), s.Callers, r.handler},
		{r.limits.OtherPort("router.readiness"), s.Readiness, r.adapter.ReadinessHandler(r.Ready)},
		{r.limits.OtherPort(operatorsKey), s.Operators, httpport.CountBodies(r.limits.Memory, operatorBodyFactor, r.adapter.OperatorHandler(r.group))},
		{r.limits.OtherPort("router.metrics"), s.Metrics, metrics},
	}
	for _, port := range ports {
		if port.addr == "" {
			continue
		}
		if err := r.serve(ctx, tasks, port.cfg, port.addr, port.handler); err != nil {
			return err
		}
	}
	return nil
}

func (r *Router) serve(ctx context.Context, tasks *errgroup.Group, cfg httpport.Config, addr string, handler http.Handler) error {
	key := cfg.Name
	port, err := httpport.Listen(addr, cfg)
	if err != nil {
		return errors.Wrap(err, key)
	}
	web := &http.Server{
		Handler:           httpport.CloseWhen(r.stopping.Load, handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnContext:       httpabort.ConnContext,
		ErrorLog:          log.New(errorWriter{r.log.Named(key)}, "", 0),
	}
	r.ports[key] = port
	tasks.Go(func() error { return errors.Wrap(port.Serve(web), key) })
	tasks.Go(func() error {
		<-ctx.Done()
		return web.Close()
	})
	return nil
}

// errorWriter writes the error messages of net/http to the log.
type errorWriter struct{ log hclog.Logger }

// Write logs one message.
func (w errorWriter) Write(p []byte) (int, error) {
	w.log.Debug("http", "message", string(p))
	return len(p), nil
}

// stopPlan holds the moments of a planned stop.
type stopPlan struct {
	// closePortAt is when the callers' port is closed.
	closePortAt time.Time
	// giveUpAt is when the open requests are given up.
	giveUpAt time.Time
	// endAt is when the connections that are still open are closed.
	endAt time.Time
}

func newStopPlan(now time.Time, timeout time.Duration) stopPlan {
	p := stopPlan{closePortAt: now.Add(balancerDelay), endAt: now.Add(timeout - stopMargin)}
	p.giveUpAt = p.endAt.Add(-giveUpMargin)
	if p.giveUpAt.Before(p.closePortAt) {
		p.closePortAt = p.giveUpAt
	}
	return p
}

// drain stops the router gracefully. The router becomes not ready, transfers leadership, gives up its vote
// if the group can spare it, and serves requests that still arrive. drain returns when no request of a caller or an operator
// is in flight, or shortly before the process is killed.
func (r *Router) drain(ctx context.Context) {
	plan := newStopPlan(time.Now(), r.settings.Router.StopTimeout.Duration)
	r.handler.BeginStop(caller.Stop{RefuseFrom: plan.closePortAt, GiveUpAt: plan.giveUpAt})
	r.stopping.Store(true)
	r.log.Info("stopping", "in-flight", r.handler.InFlight())
	if node := r.group.replica(); node != nil {
		node.TransferLeadership()
	}
	if !wait(ctx, plan.closePortAt) {
		return
	}
	r.closePort(callersKey)
	closed := r.awaitClosed(ctx, callersKey, plan.giveUpAt)
	r.closePort(operatorsKey)
	if !closed {
		if inFlight := r.handler.InFlight(); inFlight > 0 {
			r.log.Warn("requests aborted at stop", "in-flight", inFlight)
		}
		r.handler.GiveUp()
	}
	for _, key := range []string{callersKey, operatorsKey} {
		if !r.awaitClosed(ctx, key, plan.endAt) {
			r.log.Warn("connections closed at stop", "port", key)
		}
	}
}

// closePort closes a port to new connections, if it is open.
func (r *Router) closePort(key string) {
	port, found := r.ports[key]
	if !found {
		return
	}
	if err := port.Close(); err != nil {
		r.log.Error("port not closed", "port", key, "error", err.Error())
	}
}

// wait returns true at the given time, or false if ctx ends before.
func wait(ctx context.Context, until time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(until)):
		return true
	}
}

// awaitClosed waits until the connections of a closed port are closed. It returns true once all
// are closed or ctx has ended, and false at the given time.
func (r *Router) awaitClosed(ctx context.Context, key string, until time.Time) bool {
	port, found := r.ports[key]
	if !found {
		return true
	}
	limited, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return port.AwaitClosed(limited) == nil || ctx.Err() != nil
}
