// Package process runs the roles of a settings file until the process is
// stopped.
package process

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/operator/journal"
	"bronzerill/internal/operator/server"
	"bronzerill/internal/run/agent"
	"bronzerill/internal/run/control"
	"bronzerill/internal/run/entry"
	"bronzerill/internal/run/limits"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/settings/file"
	wire "bronzerill/internal/wire/control"
	"bronzerill/internal/wire/httpport"
	"bronzerill/internal/wire/netrpc"
)

// Limits of the operator port.
const (
	// readHeaderTimeout is the time allowed to read the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a connection may stay open between two requests.
	idleTimeout = 2 * time.Minute
	// operatorBodyFactor is what a call of an operator takes, as a multiple of its body: the body and the
	// command with it.
	operatorBodyFactor = 2
	// operatorDrainTimeout is how long a stopping process waits for operators' requests.
	operatorDrainTimeout = 5 * time.Second
)

// Role is a running role.
type Role interface {
	// Ready reports whether the role accepts new requests.
	Ready() bool
	// Drain prepares the role for the stop of the process. It returns when the
	// running requests are done, or when ctx ends.
	Drain(ctx context.Context) error
}

// Run runs the process until ctx ends, SIGTERM or an interrupt arrives, or a role
// fails. It returns nil after a graceful shutdown, or the error of the role. It never waits for the output of
// the log.
func Run(ctx context.Context, s file.Settings, output io.Writer) error {
	sink := journal.NewSink(output)
	outputCtx, closeOutput := context.WithCancel(context.Background())
	var writer errgroup.Group
	writer.Go(func() error { return sink.Run(outputCtx) })
	defer func() {
		closeOutput()
		_ = writer.Wait() // it never fails
	}()
	return run(ctx, s, hclog.New(&hclog.LoggerOptions{
		Name: s.Name, Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: sink,
	}))
}

func run(ctx context.Context, s file.Settings, log hclog.Logger) error {
	// A log that nobody reads any more doesn't end the process.
	signal.Ignore(syscall.SIGPIPE)
	secret, err := file.ReadSecret(s.SecretFile)
	if err != nil {
		return err
	}
	stopCtx, cancelStop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancelStop()
	workCtx, cancelWork := context.WithCancel(ctx)
	defer cancelWork()
	group, workCtx := errgroup.WithContext(workCtx)
	processLimits, err := limits.Apply(s)
	if err != nil {
		return err
	}
	p := &process{settings: s, secret: secret, log: log, group: group, limits: processLimits}
	if err := p.start(workCtx); err != nil {
		cancelWork()
		return firstError(err, group.Wait())
	}
	log.Info("started", "name", s.Name, "zone", s.Zone)
	select {
	case <-stopCtx.Done():
		log.Info("stopping", "name", s.Name)
	case <-workCtx.Done():
	}
	p.drain(workCtx)
	cancelWork()
	err = group.Wait()
	log.Info("stopped", "name", s.Name)
	return err
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// process holds the state that the roles of one process share.
type process struct {
	settings file.Settings
	secret   string
	log      hclog.Logger
	group    *errgroup.Group
	limits   limits.Limits
	operator *server.Server
	// operatorPort is nil without an operator port.
	operatorPort *httpport.Port
	// roles are in the order in which they are drained.
	roles []Role
}

// start starts the configured roles and the operator port.
func (p *process) start(ctx context.Context) error {
	client := p.client()
	if p.settings.Entry != nil {
		role, err := entry.Start(ctx, p.group, entry.Config{Settings: p.settings, Secret: p.secret, Client: client, Limits: p.limits, Log: p.log.Named("entry")})
		if err != nil {
			return err
		}
		p.roles = append(p.roles, role)
	}
	if p.settings.Agent != nil {
		role, err := agent.Start(ctx, p.group, agent.Config{Settings: p.settings, Secret: p.secret, Client: client, Limits: p.limits, Log: p.log.Named("agent")})
		if err != nil {
			return err
		}
		p.roles = append(p.roles, role)
	}
	var api http.Handler
	if p.settings.Replica != nil {
		role, err := control.Start(ctx, p.group, control.Config{Settings: p.settings, Secret: p.secret, Log: p.log.Named("control")})
		if err != nil {
			return err
		}
		p.roles = append(p.roles, role)
		api = role.API()
	}
	return p.startOperator(ctx, api)
}

// client returns the client of the control role, or nil if no control addresses
// are set.
func (p *process) client() *wire.Client {
	if len(p.settings.Control) == 0 {
		return nil
	}
	return wire.NewClient(wire.ClientConfig{Addrs: p.settings.Control, Secret: netrpc.Secret(p.secret)})
}

func (p *process) startOperator(ctx context.Context, api http.Handler) error {
	if p.settings.Operator == nil {
		return nil
	}
	secret, err := file.ReadSecret(p.settings.Operator.SecretFile)
	if err != nil {
		return err
	}
	p.operator, err = server.NewServer(server.Config{Secret: secret, Allow: p.settings.Operator.Allow, API: api})
	if err != nil {
		return err
	}
	port, err := httpport.Listen(p.settings.Operator.Listen, p.limits.OtherPort("operator.listen"))
	if err != nil {
		return errors.Wrap(err, "operator.listen")
	}
	p.operatorPort = port
	handler := httpport.CountBodies(p.limits.Memory, operatorBodyFactor, p.operator.Handler())
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	p.group.Go(func() error { return errors.Wrap(port.Serve(httpServer), "serve operator port") })
	p.group.Go(func() error {
		<-ctx.Done()
		return httpServer.Close()
	})
	p.group.Go(func() error { return p.watchReady(ctx) })
	return nil
}

// watchReady regularly updates the readiness at the operator port. The process is
// ready while all its roles are.
func (p *process) watchReady(ctx context.Context) error {
	return ticker.Every(ctx, wire.AgentRenewalInterval, func(context.Context) {
		ready := true
		for _, role := range p.roles {
			ready = ready && role.Ready()
		}
		p.operator.SetReady(ready)
	})
}

// drain drains the roles one after the other. The agent and the control role
// keep running until the entry in the same process has finished its requests. Then it
// finishes the operators' requests.
func (p *process) drain(ctx context.Context) {
	for _, role := range p.roles {
		if err := role.Drain(ctx); err != nil {
			p.log.Error("drain failed", "error", err.Error())
		}
	}
	if p.operatorPort == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, operatorDrainTimeout)
	defer cancel()
	err := p.operatorPort.Close()
	if err == nil {
		err = p.operatorPort.AwaitClosed(ctx)
	}
	if err != nil {
		p.log.Warn("operators' requests not finished", "error", err.Error())
	}
}
