package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"bronzerill"
	"bronzerill/internal/agent/entry"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
)

// Parameters of a run.
const (
	maxResumes     = 3
	maxAnswerBytes = 64 << 20
	copyBytes      = 16 << 10
	// crashNoticeTimeout is how long a failed request waits to learn whether its
	// engine has crashed.
	crashNoticeTimeout = 1500 * time.Millisecond
	crashPause         = 50 * time.Millisecond
	// slotTimeout bounds the wait for the end of an answer that is whole.
	slotTimeout = 100 * time.Millisecond
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Client *Client
	Pool   string
	View   func() *control.View
	Clock  func() time.Time
	Log    hclog.Logger
	// OnCold is called when the engine has turned cold.
	OnCold func()
	// OnSlots is called with the load that the engine says it bears.
	OnSlots func(slots int)
	// OnDown is called with the engine's reachability.
	OnDown func(down bool)
	// OnCrash is called once for each lost engine process, with its generation.
	// It returns when the requests that ran are known as suspects everywhere.
	OnCrash func(ctx context.Context, generation string)
}

// Runner runs chats on one engine and watches its health.
type Runner struct {
	cfg   RunnerConfig
	watch Monitor
	chats *chats
	// known closes once a crash is known everywhere, by generation.
	crashes crashes
}

var _ entry.Runner = (*Runner)(nil)

// NewRunner returns a runner for an engine that is taken to be cold.
func NewRunner(cfg RunnerConfig) *Runner { return &Runner{cfg: cfg, chats: newChats()} }

// Run sends the chat and copies its answer. It returns nil only for a whole
// answer to this very request.
func (r *Runner) Run(ctx context.Context, o exchange.Open, sink entry.Sink) error {
	generation := r.watch.Generation()
	id := o.ID.Request + "." + o.ID.Attempt
	err := r.run(ctx, o, id, sink)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		r.cfg.Client.cancel(id)
		return contextError(ctx)
	}
	if bronzerill.KindOf(err) == bronzerill.KindServerFailed {
		r.awaitCrash(ctx, generation)
	}
	return err
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "the deadline passed while the engine ran")
	}
	return bronzerill.Errorf(bronzerill.KindCanceled, "the caller hung up")
}

func (r *Runner) run(ctx context.Context, o exchange.Open, id string, sink entry.Sink) error {
	response, err := r.cfg.Client.post(ctx, o.Path, id, o.ContentType, o.Body)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		// The engine is overloaded below its stated slots: it is colder than
		// it seemed.
		r.coldStart("engine refused for load")
		return bronzerill.Errorf(bronzerill.KindServerFailed, "engine answers %s", response.Status)
	}
	if echoed := response.Header.Get(headerRequestID); echoed != "" && echoed != id {
		return bronzerill.Errorf(bronzerill.KindCrossed, "answer to %q came to %q", echoed, id)
	}
	contentType := response.Header.Get("Content-Type")
	if strings.HasPrefix(contentType, "text/event-stream") {
		return r.copyEvents(ctx, o, id, response, sink)
	}
	return r.copyWhole(o, response, contentType, sink)
}

// transportError tells a request that was never sent from one that may run.
func transportError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return bronzerill.Errorf(bronzerill.KindUnreachable, "engine: %v", err)
	}
	return bronzerill.Errorf(bronzerill.KindServerFailed, "engine: %v", err)
}

func (r *Runner) copyWhole(o exchange.Open, response *http.Response, contentType string, sink entry.Sink) error {
	sink.WriteHead(response.StatusCode, contentType, false, false)
	buffer := make([]byte, copyBytes)
	n, err := io.CopyBuffer(writerOnly{sink}, io.LimitReader(response.Body, maxAnswerBytes+1), buffer)
	switch {
	case err != nil:
		return bronzerill.Errorf(bronzerill.KindServerFailed, "answer cut off: %v", err)
	case n > maxAnswerBytes:
		return bronzerill.Errorf(bronzerill.KindTruncated, "answer over %d bytes", maxAnswerBytes)
	}
	if response.StatusCode == http.StatusOK && o.Chat != "" {
		r.chats.served(r.cfg.Clock(), o.Customer+"/"+o.Chat)
	}
	return nil
}

// writerOnly hides the sink's other methods from io.Copy.
type writerOnly struct{ io.Writer }

func (r *Runner) copyEvents(ctx context.Context, o exchange.Open, id string, response *http.Response, sink entry.Sink) error {
	pool, _ := r.cfg.View().Config.Pool(r.cfg.Pool)
	e := &events{sink: sink}
	if pool.EchoesRequestID {
		e.requestID = id
	}
	sink.WriteHead(response.StatusCode, response.Header.Get("Content-Type"), response.Header.Get("X-Cache") == "hit", false)
	err := e.copy(response.Body)
	defer awaitEnd(response.Body)
	for tries := 0; !e.done && tries < maxResumes && isCut(err) && ctx.Err() == nil; tries++ {
		err = r.resume(ctx, id, e, err)
	}
	if e.done {
		r.noteWarmth(o, e.cached > 0)
		return nil
	}
	if isCut(err) {
		return bronzerill.Errorf(bronzerill.KindServerFailed, "stream cut off after %d bytes: %v", e.offset, err)
	}
	return err
}

// awaitEnd reads to the end of an answer after its closing mark: only then has
// the engine given the slot free.
func awaitEnd(body io.ReadCloser) {
	timer := time.AfterFunc(slotTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, maxLoadBytes)
}

// isCut reports whether the stream ended early without another fault.
func isCut(err error) bool {
	return err != nil && bronzerill.KindOf(err) == bronzerill.KindInternal
}

func (r *Runner) resume(ctx context.Context, id string, e *events, cause error) error {
	response, err := r.cfg.Client.resume(ctx, id, e.offset)
	if err != nil {
		return cause
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return cause
	}
	metrics.Count(metrics.EventEngineResume)
	return e.copy(response.Body)
}

func (r *Runner) noteWarmth(o exchange.Open, warm bool) {
	if o.Chat == "" {
		return
	}
	if warm {
		metrics.Count(metrics.EventWarm)
	}
	expected := r.chats.served(r.cfg.Clock(), o.Customer+"/"+o.Chat)
	if r.watch.RecordAnswer(expected, warm).Cold {
		r.coldStart("returning chats find no cache")
	}
}

func (r *Runner) coldStart(reason string) {
	metrics.Count(metrics.EventColdStart)
	r.cfg.Log.Warn("server is cold", "reason", reason)
	r.chats.forget()
	r.cfg.OnCold()
}

// Poll takes one load report.
func (r *Runner) Poll(ctx context.Context) {
	load, err := r.cfg.Client.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	before := r.watch.Generation()
	var change StateChange
	if err != nil {
		change = r.watch.RecordFailure(errors.Is(err, syscall.ECONNREFUSED))
	} else {
		change = r.watch.RecordLoad(r.cfg.Clock(), load)
		r.cfg.OnSlots(load.Slots)
	}
	if err == nil || change.Down {
		r.cfg.OnDown(change.Down)
	}
	if change.Cold {
		r.coldStart("engine process is new")
	}
	if change.Crashed {
		metrics.Count(metrics.EventCrash)
		r.cfg.Log.Error("engine crashed", "generation", before)
		r.cfg.OnCrash(ctx, before)
		r.crashes.settle(before)
	}
}

// awaitCrash holds back a failed answer until the poll loop has either seen the
// engine alive or made its crash known everywhere. So a caller that sends the
// request again meets the suspicion at every agent.
func (r *Runner) awaitCrash(ctx context.Context, generation string) {
	deadline := time.NewTimer(crashNoticeTimeout)
	defer deadline.Stop()
	for {
		if r.watch.HasCrashed(generation) {
			r.crashes.wait(ctx, generation)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-time.After(crashPause):
		}
	}
}

// RecentChats returns the chats that were served last, for a hand-over.
func (r *Runner) RecentChats(limit int) []ServedChat { return r.chats.recent(limit) }
