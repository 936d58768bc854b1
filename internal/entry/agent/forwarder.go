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

// Bounds of the search for a server.
const (
	// maxWaiting bounds the requests that wait for a free slot.
	maxWaiting = 4096
	// crashReportTimeout bounds the wait until a crash is known everywhere.
	crashReportTimeout = 5 * time.Second
)

// Fleet is what the forwarder needs to know of the control role.
type Fleet interface {
	View() *control.View
	// Ring returns the ring of a pool in the present view.
	Ring(pool string) *ring.Ring
}

// CrashReporter tells control what ran on a server that is gone.
type CrashReporter interface {
	// ReportLostAgent reports a request that ran on an agent that is gone, unless so
	// many are gone that no request can be the cause.
	ReportLostAgent(ctx context.Context, c state.Crash) error
}

// ForwarderConfig configures a Forwarder.
type ForwarderConfig struct {
	Client  *Client
	Fleet   Fleet
	Crashes CrashReporter
	Clock   func() time.Time
	Log     hclog.Logger
	Seed    uint64
}

// Request is one request of a caller.
type Request struct {
	Open   exchange.Open
	Policy bronzerill.Policy
	// Preferred names the server that served the chat last; may be empty.
	Preferred string
	// Repeatable means that running it twice does no harm.
	Repeatable bool
}

// Forwarder finds a server for each request and brings back its whole answer.
type Forwarder struct {
	cfg      ForwarderConfig
	backoffs *Backoffs
	budget   *RetryBudget
	waiting  atomic.Int64
}

// NewForwarder returns a forwarder.
func NewForwarder(cfg ForwarderConfig) *Forwarder {
	return &Forwarder{cfg: cfg, backoffs: NewBackoffs(cfg.Seed), budget: NewRetryBudget(cfg.Clock())}
}

// Tick runs the systems over the forwarder's tables.
func (f *Forwarder) Tick(now time.Time) { f.backoffs.Tick(now) }

// search is the state of one request's way to a server.
type search struct {
	*Forwarder
	request       Request
	out           *trackingOutput
	queueDeadline time.Time
	attempts      int
	lastError     error
	// ranError is the failure of an attempt that may have run, when the
	// request was sent again after it.
	ranError error
}

// trackingOutput remembers whether the caller has seen a part of the answer.
type trackingOutput struct {
	Output
	headSent bool
}

// WriteHead passes the head on.
func (h *trackingOutput) WriteHead(head *exchange.Head) error {
	h.headSent = true
	return h.Output.WriteHead(head)
}

// Do runs the request. When it returns an error after the answer's head was
// given out, the caller's connection must be broken off.
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

// result keeps a refusal as not run from hiding an earlier attempt that ran.
func (s *search) finalError(err error) error {
	if err != nil && s.ranError != nil && bronzerill.KindOf(err).Response().Run == bronzerill.RunNot {
		return s.ranError
	}
	return err
}

func (s *search) plan(key uint64) (Plan, error) {
	now := s.cfg.Clock()
	view := s.cfg.Fleet.View()
	if !view.HasLease(now) {
		return Plan{}, bronzerill.Errorf(bronzerill.KindLeaseLapsed, "this entry has lost touch with control")
	}
	planner := Planner{Ring: s.cfg.Fleet.Ring(s.request.Policy.Pool), Config: view.Config, Backoffs: s.backoffs}
	plan := planner.Plan(now, key, s.request.Preferred, s.request.Policy.SpillHops)
	if len(plan.Servers) == 0 && plan.RetryAt.IsZero() && s.lastError == nil {
		s.lastError = bronzerill.Errorf(bronzerill.KindNoServer, "no server of %s takes work", s.request.Policy.Pool)
	}
	return plan, nil
}

// round asks the candidates one after the other. done means that err is the
// request's result.
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

// reportAgentGone makes the request a suspect, and holds its answer until every
// agent knows: the agent itself can't tell any more.
func (s *search) reportAgentGone(server control.Server, fingerprint string) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	id := strconv.FormatUint(server.Generation, 10) + "/gone"
	crash := state.Crash{Pool: server.Pool, Agent: server.Name, ID: id, Fingerprints: []string{fingerprint}}
	if err := s.cfg.Crashes.ReportLostAgent(ctx, crash); err != nil {
		s.cfg.Log.Warn("lost agent not reported", "server", server.Name, "error", err.Error())
	}
}

// canTryNext decides whether another server may be asked after an error.
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
		// A lost answer is never sent for again: the request may have been the
		// cause of the loss.
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

// pause waits until a server may be asked again, within the policy's queue timeout.
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
		return bronzerill.Errorf(bronzerill.KindTableFull, "%d requests wait for a slot", maxWaiting)
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

// timeoutError returns the last refusal: nothing ran, or the search would have ended.
func (s *search) timeoutError() error {
	if s.lastError != nil {
		return s.lastError
	}
	return bronzerill.Errorf(bronzerill.KindOverloaded, "no server of %s had room in time", s.request.Policy.Pool)
}
