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
	"bronzerill/internal/wire/memory"
)

// Timing of claims.
const (
	// claimPollInterval is the pause before the next claim while another
	// attempt holds the key.
	claimPollInterval = 100 * time.Millisecond
	// settleTimeout limits how long a caller waits for the update of a claim.
	// After that, the update continues in the background.
	settleTimeout = time.Second
	// claimTimeout limits the wait for a claim before the call.
	claimTimeout = 3 * time.Second
	// commitTimeout limits the wait for the commit of the outcome after the
	// call, if the caller doesn't wait any longer.
	commitTimeout = 3 * time.Second
)

// Ledger is the replicated record of the calls that run at most once.
type Ledger interface {
	Claim(ctx context.Context, c state.Claim) (state.Decision, state.Reply, error)
	Finish(ctx context.Context, f state.Finish) error
	Release(ctx context.Context, r state.Release) error
	MarkUnknown(ctx context.Context, m state.MarkUnknown) error
}

// BackendClient sends calls to the backend server.
type BackendClient interface {
	Do(ctx context.Context, o exchange.Open, buffer *memory.Buffer) (state.Reply, error)
}

var _ BackendClient = (*Client)(nil)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Client BackendClient
	Ledger Ledger
	Agent  string
	Pool   string
	// Memory is what all replies may take. The default is defaultMemory.
	Memory *memory.Budget
	// Generation returns the generation of the agent process.
	Generation func() uint64
	View       func() *control.View
	Clock      func() time.Time
	Log        hclog.Logger
	// Background runs work that outlives the call. The context ends when the
	// agent stops.
	Background func(work func(ctx context.Context))
}

// Runner runs calls on one service.
type Runner struct {
	cfg RunnerConfig
}

var _ entry.Runner = (*Runner)(nil)

// defaultMemory is what replies may take in bytes unless the configuration says otherwise.
const defaultMemory = 256 << 20

// NewRunner returns a runner.
func NewRunner(cfg RunnerConfig) *Runner {
	if cfg.Memory == nil {
		cfg.Memory = memory.NewBudget(defaultMemory)
	}
	return &Runner{cfg: cfg}
}

// Run sends the call. It sends it under a claim unless the path is repeatable.
func (r *Runner) Run(ctx context.Context, o exchange.Open, sink entry.Sink) error {
	pool, _ := r.cfg.View().Config.Pool(r.cfg.Pool)
	if pool.IsRepeatable(o.Path) {
		buffer := r.cfg.Memory.NewBuffer(nil, 0)
		defer buffer.Free()
		reply, err := r.cfg.Client.Do(ctx, o, &buffer)
		if err != nil {
			return err
		}
		return writeReply(sink, reply, false)
	}
	if o.Key == "" {
		return bronzerill.Errorf(bronzerill.KindKeyRequired, "%s", o.Path)
	}
	return r.runOnce(ctx, o, sink)
}

func writeReply(sink entry.Sink, reply state.Reply, replayed bool) error {
	sink.WriteHead(reply.Status, reply.ContentType, false, replayed)
	_, err := sink.Write(reply.Body)
	return err
}

// bodyHash hashes the method, path and body of a call, to detect another call
// under the same key.
func bodyHash(o exchange.Open) string {
	sum := sha256.New()
	sum.Write([]byte(o.Method + "\x00" + o.Path + "\x00"))
	sum.Write(o.Body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// runOnce sends the call under a claim, replays the recorded reply, or waits
// for another attempt under the same key.
func (r *Runner) runOnce(ctx context.Context, o exchange.Open, sink entry.Sink) error {
	key := state.Key{Customer: o.Customer, Pool: o.Pool, Value: o.Key}
	attempt := state.Attempt{Agent: r.cfg.Agent, Generation: r.cfg.Generation(), ID: o.ID.Request + "." + o.ID.Attempt}
	claim := state.Claim{Key: key, BodyHash: bodyHash(o), Attempt: attempt}
	waited := false
	for {
		decision, reply, err := r.claim(ctx, claim)
		if waited && err != nil && bronzerill.KindOf(err).Response().Run == bronzerill.RunNot {
			// Another attempt was running, so "not run" may be false.
			return bronzerill.Errorf(bronzerill.KindInProgress, "state of another attempt under this key is unknown: %v", err)
		}
		if err != nil {
			return err
		}
		switch decision {
		case state.DecisionSend:
			return r.send(ctx, o, key, attempt, sink)
		case state.DecisionReplay:
			metrics.Count(metrics.EventReplayed)
			return writeReply(sink, reply, true)
		}
		waited = true
		select {
		case <-ctx.Done():
			return bronzerill.Errorf(bronzerill.KindInProgress, "another attempt under this key is running")
		case <-time.After(claimPollInterval):
		}
	}
}

// claim requests a claim from the ledger. Without a reply the claim may have
// been granted, but nothing was sent: the attempt releases it and never sends
// the call.
func (r *Runner) claim(ctx context.Context, c state.Claim) (state.Decision, state.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	decision, reply, err := r.cfg.Ledger.Claim(ctx, c)
	if bronzerill.KindOf(err) == bronzerill.KindNoQuorum {
		r.release(c.Key, c.Attempt)
		return decision, reply, bronzerill.Errorf(bronzerill.KindLeaseLapsed, "the ledger has no quorum; the call was not sent")
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

// settle updates a claim in the ledger. Without a quorum, it retries in the
// background. If the agent stops before that, the start of its next process
// sets the claim to unknown.
func (r *Runner) settle(operation string, attempt state.Attempt, update func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := update(ctx); bronzerill.KindOf(err) != bronzerill.KindNoQuorum {
		return
	}
	r.cfg.Background(func(ctx context.Context) {
		if err := update(ctx); err != nil {
			r.cfg.Log.Warn("could not update claim", "what", operation, "attempt", attempt.ID, "error", err.Error())
		}
	})
}

// send runs the call under a claim and commits its outcome.
func (r *Runner) send(ctx context.Context, o exchange.Open, key state.Key, attempt state.Attempt, sink entry.Sink) error {
	if attempt.Generation != r.cfg.Generation() || !r.cfg.View().HasLease(r.cfg.Clock()) {
		// The process was suspended between the claim and the call. Another
		// process may have replaced it.
		r.release(key, attempt)
		return bronzerill.Errorf(bronzerill.KindLeaseLapsed, "the lease expired before the call was sent")
	}
	if ctx.Err() != nil {
		r.release(key, attempt)
		return bronzerill.Errorf(bronzerill.KindAborted, "the request ended before the call was sent")
	}
	buffer := r.cfg.Memory.NewBuffer(nil, 0)
	defer buffer.Free()
	reply, err := r.call(ctx, o, &buffer)
	switch {
	case err == nil:
		return r.finish(ctx, key, attempt, reply, sink)
	case bronzerill.KindOf(err).Response().Run == bronzerill.RunNot:
		r.release(key, attempt)
		return err
	}
	r.markUnknown(key, attempt)
	return bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "%v", err)
}

// call sends a call under a claim. It goes on until its deadline when the caller leaves: what was
// cut off stays unknown, and a resend gets the reply of a call that wasn't.
func (r *Runner) call(ctx context.Context, o exchange.Open, buffer *memory.Buffer) (state.Reply, error) {
	type result struct {
		reply state.Reply
		err   error
	}
	done := make(chan result, 1)
	r.cfg.Background(func(agentCtx context.Context) {
		if deadline, ok := ctx.Deadline(); ok {
			var cancel context.CancelFunc
			agentCtx, cancel = context.WithDeadline(agentCtx, deadline)
			defer cancel()
		}
		reply, err := r.cfg.Client.Do(agentCtx, o, buffer)
		done <- result{reply, err}
	})
	received := <-done
	return received.reply, received.err
}

// finish commits the outcome before it writes the reply to the caller. A body
// over state.MaxResponseBytes isn't stored in the ledger.
func (r *Runner) finish(ctx context.Context, key state.Key, attempt state.Attempt, reply state.Reply, sink entry.Sink) error {
	committed := reply
	if len(committed.Body) > state.MaxResponseBytes {
		committed.Body = nil
		committed.Dropped = true
	}
	f := state.Finish{Key: key, Attempt: attempt, Reply: committed}
	if err := r.commit(ctx, f); err != nil {
		r.settle("finish", attempt, func(ctx context.Context) error { return r.cfg.Ledger.Finish(ctx, f) })
		return bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "the call ran, but its outcome could not be committed: %v", err)
	}
	return writeReply(sink, reply, false)
}

// commit commits an outcome within commitTimeout, or later while the caller still waits.
func (r *Runner) commit(ctx context.Context, f state.Finish) error {
	commitCtx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	err := r.cfg.Ledger.Finish(commitCtx, f)
	if bronzerill.KindOf(err) == bronzerill.KindNoQuorum && ctx.Err() == nil {
		return r.cfg.Ledger.Finish(ctx, f)
	}
	return err
}
