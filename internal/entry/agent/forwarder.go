package agent

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/ring"
)

// Limits of the forwarder.
const (
	// maxWaiting bounds the number of requests that wait for a free slot.
	maxWaiting = 4096
	// crashReportTimeout bounds the wait until every lease holder has a crash report.
	crashReportTimeout = 5 * time.Second
)

// Fleet is the forwarder's view of the servers and their configuration.
type Fleet interface {
	View() *control.View
	// Ring returns the ring of a pool in the current view.
	Ring(pool string) *ring.Ring
}

// CrashReporter reports to control which requests ran on a lost server.
type CrashReporter interface {
	// ReportLostAgent reports a request that ran on a lost agent. Control ignores
	// the report if it lost too many agents for a request to be the cause.
	ReportLostAgent(ctx context.Context, c state.Crash) error
}

// ForwarderConfig configures a Forwarder.
type ForwarderConfig struct {
	Client  *Client
	Fleet   Fleet
	Crashes CrashReporter
	Clock   func() time.Time
	// LeaseClock is the clock of the lease. The default is Clock.
	LeaseClock func() time.Time
	Log        hclog.Logger
	Seed       uint64
}

// Request is a caller's request with its routing parameters.
type Request struct {
	Open   exchange.Open
	Policy bronzerill.Policy
	// Preferred is the name of the server that served the chat last, or empty.
	Preferred string
	// Repeatable means that the request is safe to run twice.
	Repeatable bool
}

// Forwarder sends each request to a server and copies the response to the
// caller. It is safe for concurrent use.
type Forwarder struct {
	cfg      ForwarderConfig
	backoffs *Backoffs
	budget   *RetryBudget
	waiting  atomic.Int64
}

// NewForwarder returns a forwarder.
func NewForwarder(cfg ForwarderConfig) *Forwarder {
	if cfg.LeaseClock == nil {
		cfg.LeaseClock = cfg.Clock
	}
	return &Forwarder{cfg: cfg, backoffs: NewBackoffs(cfg.Seed), budget: NewRetryBudget(cfg.Clock())}
}

// Tick removes expired backoffs.
func (f *Forwarder) Tick(now time.Time) { f.backoffs.Tick(now) }

// search is the state of one request while the forwarder looks for a server.
type search struct {
	*Forwarder
	request       Request
	out           *trackingOutput
	queueDeadline time.Time
	attempts      int
	lastError     error
	// ranError is the error of an attempt that may have run, set when the request
	// is retried after it.
	ranError error
}

// trackingOutput records whether the caller has received a part of the response.
type trackingOutput struct {
	Output
	headSent bool
}

// WriteHead forwards the head and records that it was sent.
func (o *trackingOutput) WriteHead(head *exchange.Head) error {
	o.headSent = true
	return o.Output.WriteHead(head)
}

// Do runs the request. If it returns an error after it wrote the response head to
// out, the caller's connection must be aborted.
func (f *Forwarder) Do(ctx context.Context, request Request, out Output) error {
	f.budget.CountRequest()
	now := f.cfg.Clock()
	s := &search{Forwarder: f, request: request, out: &trackingOutput{Output: out}, queueDeadline: now.Add(request.Policy.QueueTimeout())}
	key := ring.Key(request.Open.Customer, request.Open.Chat, request.Open.Fingerprint)
	for {
		plan, err := s.plan(key)
		if err != nil {
			return s.finalError(err)
		}
		done, err := s.tryCandidates(ctx, plan)
		if done {
			return s.finalError(err)
		}
		if err := s.waitUntil(ctx, plan.RetryAt); err != nil {
			return s.finalError(err)
		}
	}
}

// finalError replaces an error that means "not run" with ranError, because an
// earlier attempt may have run.
func (s *search) finalError(err error) error {
	if err != nil && s.ranError != nil && bronzerill.KindOf(err).Response().Run == bronzerill.RunNot {
		return s.ranError
	}
	return err
}

func (s *search) plan(key uint64) (Plan, error) {
	now := s.cfg.Clock()
	view := s.cfg.Fleet.View()
	if !view.HasLease(s.cfg.LeaseClock()) {
		return Plan{}, bronzerill.Errorf(bronzerill.KindLeaseLapsed, "this entry has no valid lease")
	}
	planner := Planner{Ring: s.cfg.Fleet.Ring(s.request.Policy.Pool), Config: view.Config, Backoffs: s.backoffs}
	plan := planner.Plan(now, key, s.request.Preferred, s.request.Policy.SpillHops)
	if len(plan.Servers) == 0 && plan.RetryAt.IsZero() && s.lastError == nil {
		s.lastError = bronzerill.Errorf(bronzerill.KindNoServer, "no server of pool %s accepts requests", s.request.Policy.Pool)
	}
	return plan, nil
}

// tryCandidates sends the request to the planned servers in order. done means
// that err is the request's result.
func (s *search) tryCandidates(ctx context.Context, plan Plan) (done bool, err error) {
	for _, server := range plan.Servers {
		err := s.attempt(ctx, server)
		if err == nil {
			s.backoffs.RecordSuccess(server.Name)
			return true, nil
		}
		s.lastError = err
		if !s.canTryNext(ctx, server, err) {
			return true, err
		}
	}
	return false, nil
}

func (s *search) attempt(ctx context.Context, server control.Server) error {
	s.attempts++
	open := s.request.Open
	open.ID.Attempt = strconv.Itoa(s.attempts)
	open.Server = server.Name
	open.Generation = server.Generation
	if deadline, ok := ctx.Deadline(); ok {
		open.Timeout = deadline.Sub(s.cfg.Clock())
	}
	err := s.cfg.Client.Exchange(ctx, server.Addr, open, s.out)
	if err != nil {
		s.cfg.Log.Debug("attempt failed", "request", open.ID.Request, "attempt", open.ID.Attempt, "server", server.Name, "kind", bronzerill.KindOf(err).String())
	}
	if bronzerill.KindOf(err) == bronzerill.KindAgentGone && open.Fingerprint != "" {
		s.reportAgentGone(server, open.Fingerprint)
	}
	return err
}

// reportAgentGone reports the request as a suspect, since the lost agent can't. It
// returns once the report is in force at every agent, or after
// crashReportTimeout.
func (s *search) reportAgentGone(server control.Server, fingerprint string) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	id := strconv.FormatUint(server.Generation, 10) + "/gone"
	crash := state.Crash{Pool: server.Pool, Agent: server.Name, ID: id, Fingerprints: []string{fingerprint}}
	if err := s.cfg.Crashes.ReportLostAgent(ctx, crash); err != nil {
		s.cfg.Log.Warn("failed to report lost agent", "server", server.Name, "error", err.Error())
	}
}

// canTryNext reports whether the next server may be tried after an error. It also
// updates the server's backoff and charges retries to the budget.
func (s *search) canTryNext(ctx context.Context, server control.Server, err error) bool {
	kind := bronzerill.KindOf(err)
	now := s.cfg.Clock()
	if ctx.Err() != nil || s.out.headSent {
		return false
	}
	if isLoadRefusal(kind) {
		s.backoffs.RecordRefusal(now, server.Name)
		metrics.Spilled(kind)
		return true
	}
	switch {
	case isUnavailable(kind):
		s.backoffs.RecordFailure(now, server.Name)
		metrics.Spilled(kind)
		return true
	case kind.Response().Run == bronzerill.RunNot && kind.Response().Retry == bronzerill.RetryElsewhere:
		s.backoffs.RecordFailure(now, server.Name)
	case s.request.Repeatable && s.ranError == nil && kind == bronzerill.KindCrossed:
		// A request whose response was lost is never retried, since it may have
		// caused the loss.
		s.ranError = err
	default:
		return false
	}
	if !s.budget.Take(now) {
		metrics.Refused(bronzerill.KindRetryBudget)
		return false
	}
	metrics.Retried(kind)
	return true
}

// waitUntil waits until the given time, at which a server may be tried again. It
// fails if the time is after the policy's queue timeout, or if too many requests
// are already waiting.
func (s *search) waitUntil(ctx context.Context, until time.Time) error {
	now := s.cfg.Clock()
	if until.IsZero() {
		until = now.Add(overloadPause)
	}
	if until.After(s.queueDeadline) {
		return s.timeoutError()
	}
	if s.waiting.Add(1) > maxWaiting {
		s.waiting.Add(-1)
		return bronzerill.Errorf(bronzerill.KindTableFull, "%d requests are already waiting for a slot", maxWaiting)
	}
	defer s.waiting.Add(-1)
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return s.timeoutError()
	case <-timer.C:
		return nil
	}
}

// timeoutError returns the last refusal, or KindOverloaded if no server was tried.
// finalError replaces it if an attempt may have run.
func (s *search) timeoutError() error {
	if s.lastError != nil {
		return s.lastError
	}
	return bronzerill.Errorf(bronzerill.KindOverloaded, "no server of pool %s had capacity before the queue timeout", s.request.Policy.Pool)
}
