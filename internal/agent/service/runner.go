package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/hashicorp/go-hclog"

	"bronzerill"
	"bronzerill/internal/agent/entry"
	"bronzerill/internal/control/state"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
)

// Timing of claims.
const (
	// waitPause is the pause between looks at a claim that another attempt
	// holds.
	waitPause = 100 * time.Millisecond
	// settleTimeout is how long a caller waits for the ledger to take note.
	settleTimeout = time.Second
	// claimTimeout bounds the wait for the ledger before a call.
	claimTimeout = 3 * time.Second
	// commitTimeout is how long the caller waits for its outcome to be
	// committed.
	commitTimeout = 3 * time.Second
)

// Ledger is the agreed record of calls that run at most once.
type Ledger interface {
	Claim(ctx context.Context, c state.Claim) (state.Decision, state.Reply, error)
	Finish(ctx context.Context, f state.Finish) error
	Release(ctx context.Context, r state.Release) error
	MarkUnknown(ctx context.Context, d state.MarkUnknown) error
}

// BackendClient sends one call to the service.
type BackendClient interface {
	Do(ctx context.Context, o exchange.Open) (state.Reply, error)
}

var _ BackendClient = (*Client)(nil)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Client BackendClient
	Ledger Ledger
	Agent  string
	Pool   string
	// Generation returns the agent's process.
	Generation func() uint64
	View       func() *control.View
	Clock      func() time.Time
	Log        hclog.Logger
	// Background runs work that outlives the call, until the agent stops.
	Background func(work func(ctx context.Context))
}

// Runner runs calls on one service.
type Runner struct {
	cfg RunnerConfig
}

var _ entry.Runner = (*Runner)(nil)

// NewRunner returns a runner.
func NewRunner(cfg RunnerConfig) *Runner { return &Runner{cfg: cfg} }

// Run sends the call, under a claim unless it may be repeated.
func (r *Runner) Run(ctx context.Context, o exchange.Open, sink entry.Sink) error {
	pool, _ := r.cfg.View().Config.Pool(r.cfg.Pool)
	if pool.IsRepeatable(o.Path) {
		reply, err := r.cfg.Client.Do(ctx, o)
		if err != nil {
			return err
		}
		return deliver(sink, reply, false)
	}
	if o.Key == "" {
		return bronzerill.Errorf(bronzerill.KindKeyRequired, "%s", o.Path)
	}
	return r.runOnce(ctx, o, sink)
}

func deliver(sink entry.Sink, reply state.Reply, replayed bool) error {
	sink.WriteHead(reply.Status, reply.ContentType, false, replayed)
	_, err := sink.Write(reply.Body)
	return err
}

// bodyHash identifies what a key stands for.
func bodyHash(o exchange.Open) string {
	sum := sha256.New()
	sum.Write([]byte(o.Method + "\x00" + o.Path + "\x00"))
	sum.Write(o.Body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

func (r *Runner) runOnce(ctx context.Context, o exchange.Open, sink entry.Sink) error {
	key := state.Key{Customer: o.Customer, Pool: o.Pool, Value: o.Key}
	attempt := state.Attempt{Agent: r.cfg.Agent, Generation: r.cfg.Generation(), ID: o.ID.Request + "." + o.ID.Attempt}
	claim := state.Claim{Key: key, BodyHash: bodyHash(o), Attempt: attempt}
	waited := false
	for {
		decision, reply, err := r.claim(ctx, claim)
		if waited && err != nil && bronzerill.KindOf(err).Response().Run == bronzerill.RunNot {
			// Another attempt was running, so "not run" could be untrue.
			return bronzerill.Errorf(bronzerill.KindInProgress, "lost sight of another attempt: %v", err)
		}
		if err != nil {
			return err
		}
		switch decision {
		case state.DecisionSend:
			return r.send(ctx, o, key, attempt, sink)
		case state.DecisionReplay:
			metrics.Count(metrics.EventReplayed)
			return deliver(sink, reply, true)
		}
		waited = true
		select {
		case <-ctx.Done():
			return bronzerill.Errorf(bronzerill.KindInProgress, "another attempt under this key runs")
		case <-time.After(waitPause):
		}
	}
}

// claim asks the ledger. When no answer comes, the claim may or may not have
// been granted, but nothing was sent: the attempt gives it back and never sends.
func (r *Runner) claim(ctx context.Context, c state.Claim) (state.Decision, state.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	decision, reply, err := r.cfg.Ledger.Claim(ctx, c)
	if bronzerill.KindOf(err) == bronzerill.KindNoQuorum {
		r.release(c.Key, c.Attempt)
		return decision, reply, bronzerill.Errorf(bronzerill.KindLeaseLapsed, "the ledger has no quorum; this attempt sent nothing")
	}
	return decision, reply, err
}

func (r *Runner) release(key state.Key, attempt state.Attempt) {
	r.settle("release", attempt, func(ctx context.Context) error {
		return r.cfg.Ledger.Release(ctx, state.Release{Key: key, Attempt: attempt})
	})
}

func (r *Runner) markUnknown(key state.Key, attempt state.Attempt) {
	r.settle("mark-unknown", attempt, func(ctx context.Context) error {
		return r.cfg.Ledger.MarkUnknown(ctx, state.MarkUnknown{Key: key, Attempt: attempt})
	})
}

// settle tells the ledger what became of a claim, now or in the background. If
// the agent stops first, its next process makes the claim unknown.
func (r *Runner) settle(what string, attempt state.Attempt, tell func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := tell(ctx); bronzerill.KindOf(err) != bronzerill.KindNoQuorum {
		return
	}
	r.cfg.Background(func(ctx context.Context) {
		if err := tell(ctx); err != nil {
			r.cfg.Log.Warn("claim not settled", "what", what, "attempt", attempt.ID, "error", err.Error())
		}
	})
}

// send runs the call under a claim and commits its outcome.
func (r *Runner) send(ctx context.Context, o exchange.Open, key state.Key, attempt state.Attempt, sink entry.Sink) error {
	if attempt.Generation != r.cfg.Generation() || !r.cfg.View().HasLease(r.cfg.Clock()) {
		// A freeze between claim and call: another process may have taken over.
		r.release(key, attempt)
		return bronzerill.Errorf(bronzerill.KindLeaseLapsed, "the lease lapsed before the call was sent")
	}
	reply, err := r.cfg.Client.Do(ctx, o)
	switch {
	case err == nil:
		return r.finish(key, attempt, reply, sink)
	case bronzerill.KindOf(err).Response().Run == bronzerill.RunNot:
		r.release(key, attempt)
		return err
	}
	r.markUnknown(key, attempt)
	return bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "%v", err)
}

// finish commits the outcome before the caller sees it.
func (r *Runner) finish(key state.Key, attempt state.Attempt, reply state.Reply, sink entry.Sink) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	kept := reply
	if len(kept.Body) > state.MaxAnswerBytes {
		kept.Body = nil
		kept.Dropped = true
	}
	f := state.Finish{Key: key, Attempt: attempt, Reply: kept}
	if err := r.cfg.Ledger.Finish(ctx, f); err != nil {
		r.settle("finish", attempt, func(ctx context.Context) error { return r.cfg.Ledger.Finish(ctx, f) })
		return bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "the call ran, but its outcome isn't committed: %v", err)
	}
	return deliver(sink, reply, false)
}
