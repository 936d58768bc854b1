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
	"bronzerill/internal/wire/httpheader"
)

// Parameters of a run.
const (
	maxResumes = 3
	// resumePause is the pause before the second attempt to resume a stream, and
	// resumePauseFactor that by which it grows.
	resumePause       = 100 * time.Millisecond
	resumePauseFactor = 4
	// maxResumeWait is the longest pause that a stream waits for if its engine asks
	// for one.
	maxResumeWait    = 5 * time.Second
	maxResponseBytes = 64 << 20
	copyBytes        = 16 << 10
	// crashReportTimeout is how long a failed request waits for the detection of
	// a crash of its engine.
	crashReportTimeout = 1500 * time.Millisecond
	crashPollInterval  = 50 * time.Millisecond
	// processCheckTimeout limits how long a response waits for the news that its
	// engine is still alive.
	processCheckTimeout  = 5 * time.Second
	processCheckInterval = 50 * time.Millisecond
	// bodyEndTimeout limits the wait for the end of the body after the done
	// marker.
	bodyEndTimeout = 100 * time.Millisecond
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Client *Client
	Pool   string
	View   func() *control.View
	Clock  func() time.Time
	Log    hclog.Logger
	// OnCold is called when the engine counts as cold: it has started, crashed,
	// lost its cache or refused a request because of overload.
	OnCold func()
	// OnSlots is called with the number of slots of each load report.
	OnSlots func(slots int)
	// OnLeaving is called with each load report. It is true if the engine is about to stop.
	OnLeaving func(leaving bool)
	// OnDown is called with true when the engine is down, and with false after
	// each load report.
	OnDown func(down bool)
	// OnCrash is called once for each crashed engine process, with its
	// generation. It returns when all agents treat the requests that were
	// running as suspects.
	OnCrash func(ctx context.Context, generation string)
}

// Runner runs chats on one engine and monitors its health.
type Runner struct {
	cfg           RunnerConfig
	monitor       Monitor
	chatIndex     *chatIndex
	crashNotifier crashNotifier
}

var _ entry.Runner = (*Runner)(nil)

// NewRunner returns a runner. It expects no chat to be warm yet.
func NewRunner(cfg RunnerConfig) *Runner { return &Runner{cfg: cfg, chatIndex: newChatIndex()} }

// Run sends the chat and copies the response to the sink. It returns nil only
// if the response is complete and belongs to this request.
func (r *Runner) Run(ctx context.Context, o exchange.Open, sink entry.Sink) error {
	generation := r.monitor.Generation()
	id := o.ID.Request + "." + o.ID.Attempt
	err := r.run(ctx, o, id, generation, sink)
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
		return bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "deadline exceeded while the request was running on the engine")
	}
	return bronzerill.Errorf(bronzerill.KindCanceled, "request canceled while it was running on the engine")
}

func (r *Runner) run(ctx context.Context, o exchange.Open, id, generation string, sink entry.Sink) error {
	response, err := r.cfg.Client.post(ctx, o.Path, id, o.ContentType, o.Body)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		// The engine is overloaded although admission didn't exceed its slots,
		// so it is colder than assumed.
		r.coldStart("engine refused a request because of overload")
		return bronzerill.Errorf(bronzerill.KindServerFailed, "engine returned %s", response.Status)
	}
	if err := checkRequestID(response, id); err != nil {
		return err
	}
	if hasEvents(response) {
		return r.copyEvents(ctx, o, id, generation, response, sink)
	}
	return r.copyBody(ctx, o, generation, response, response.Header.Get("Content-Type"), sink)
}

// checkRequestID returns an error if the response names another request.
func checkRequestID(response *http.Response, id string) error {
	if echoed := response.Header.Get(headerRequestID); echoed != "" && echoed != id {
		return bronzerill.Errorf(bronzerill.KindCrossed, "received response to %q for request %q", echoed, id)
	}
	return nil
}

// hasEvents reports whether a response states that its body consists of events.
func hasEvents(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// transportError returns KindUnreachable if no connection was made, so that the
// request was never sent, KindOverloaded if it was withheld in a pause, and otherwise
// KindServerFailed.
func transportError(err error) error {
	if bronzerill.KindOf(err) == bronzerill.KindOverloaded {
		return err
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return bronzerill.Errorf(bronzerill.KindUnreachable, "engine: %v", err)
	}
	return bronzerill.Errorf(bronzerill.KindServerFailed, "engine: %v", err)
}

func (r *Runner) copyBody(ctx context.Context, o exchange.Open, generation string, response *http.Response, contentType string, sink entry.Sink) error {
	sink.WriteHead(response.StatusCode, contentType, false, false)
	buffer := make([]byte, copyBytes)
	n, err := io.CopyBuffer(writerOnly{sink}, io.LimitReader(response.Body, maxResponseBytes+1), buffer)
	switch {
	case err != nil:
		return bronzerill.Errorf(bronzerill.KindServerFailed, "response is incomplete: %v", err)
	case n > maxResponseBytes:
		return bronzerill.Errorf(bronzerill.KindTruncated, "response exceeds %d bytes", maxResponseBytes)
	case !httpheader.IsFramed(response) && !r.isSameProcess(ctx, generation):
		return bronzerill.Errorf(bronzerill.KindServerFailed, "response ended with its connection, and perhaps with the engine")
	}
	if response.StatusCode == http.StatusOK && o.Chat != "" {
		r.chatIndex.recordServed(r.cfg.Clock(), o.Customer+"/"+o.Chat)
	}
	return nil
}

// writerOnly hides the other methods of the sink from io.CopyBuffer.
type writerOnly struct{ io.Writer }

func (r *Runner) copyEvents(ctx context.Context, o exchange.Open, id, generation string, response *http.Response, sink entry.Sink) error {
	pool, _ := r.cfg.View().Config.Pool(r.cfg.Pool)
	e := &eventCopier{sink: sink}
	if pool.EchoesRequestID {
		e.requestID = id
	}
	sink.WriteHead(response.StatusCode, response.Header.Get("Content-Type"), response.Header.Get("X-Cache") == "hit", false)
	err := e.copy(response.Body)
	defer awaitBodyEnd(response.Body)
	pause := time.Duration(0)
	for tries := 0; !e.done && tries < maxResumes && isInterrupted(err) && r.awaitResume(ctx, pause); tries++ {
		err = r.resume(ctx, id, generation, e, err)
		pause = max(resumePause, resumePauseFactor*pause)
	}
	if e.done {
		r.recordWarmth(o, e.cachedTokens > 0)
		return nil
	}
	if isInterrupted(err) {
		return bronzerill.Errorf(bronzerill.KindServerFailed, "stream interrupted after %d bytes: %v", e.offset, err)
	}
	return err
}

// awaitBodyEnd reads the body to its end after the done marker. Only the end of
// the body shows that the engine has freed the slot.
func awaitBodyEnd(body io.ReadCloser) {
	timer := time.AfterFunc(bodyEndTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, maxLoadBytes)
}

// isInterrupted reports whether err is a read error, such as an early end of
// the stream. Other errors have a kind, whereas KindOf returns KindInternal for
// a read error.
func isInterrupted(err error) bool {
	return err != nil && bronzerill.KindOf(err) == bronzerill.KindInternal
}

// resume copies the rest of an interrupted stream. It returns the cause of the
// interruption if the engine doesn't resume the stream, or isn't the process that began
// it: another one may generate something else.
func (r *Runner) resume(ctx context.Context, id, generation string, e *eventCopier, cause error) error {
	response, err := r.cfg.Client.resume(ctx, id, e.offset)
	if err != nil {
		return cause
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusGone {
		return bronzerill.Errorf(bronzerill.KindServerFailed, "stream interrupted after %d bytes, and its engine doesn't know it: %v", e.offset, cause)
	}
	if response.StatusCode != http.StatusOK || !hasEvents(response) || checkRequestID(response, id) != nil {
		return cause
	}
	// The process is asked for after it has answered, so it can't be replaced in between.
	if !r.isSameProcess(ctx, generation) {
		return cause
	}
	metrics.Count(metrics.EventEngineResume)
	return e.copy(response.Body)
}

// awaitResume waits for the pause, and for that which the engine asks for. It reports whether the
// stream may be resumed then.
func (r *Runner) awaitResume(ctx context.Context, pause time.Duration) bool {
	pause = max(pause, r.cfg.Client.pauseRemaining())
	if pause > maxResumeWait {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// isSameProcess reports whether the engine's process is known to be the one of the generation.
// It asks again for processCheckTimeout while the engine doesn't answer.
func (r *Runner) isSameProcess(ctx context.Context, generation string) bool {
	if generation == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, processCheckTimeout)
	defer cancel()
	for {
		load, err := r.cfg.Client.Load(ctx)
		if err == nil {
			return load.Generation == generation
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(processCheckInterval):
		}
	}
}

// recordWarmth updates the chat index after a complete response. It begins a
// cold start after missesToCold cache misses in a row of chats expected to be
// warm.
func (r *Runner) recordWarmth(o exchange.Open, warm bool) {
	if o.Chat == "" {
		return
	}
	if warm {
		metrics.Count(metrics.EventWarm)
	}
	expectedWarm := r.chatIndex.recordServed(r.cfg.Clock(), o.Customer+"/"+o.Chat)
	if r.monitor.RecordResponse(expectedWarm, warm).Cold {
		r.coldStart("engine has no cache of recent chats")
	}
}

// coldStart clears the chat index and reports that the engine is cold.
func (r *Runner) coldStart(reason string) {
	metrics.Count(metrics.EventColdStart)
	r.cfg.Log.Warn("server is cold", "reason", reason)
	r.chatIndex.reset()
	r.cfg.OnCold()
}

// Poll fetches one load report and handles the state change that it shows.
func (r *Runner) Poll(ctx context.Context) {
	load, err := r.cfg.Client.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	previous := r.monitor.Generation()
	var change StateChange
	if err != nil {
		change = r.monitor.RecordFailure(errors.Is(err, syscall.ECONNREFUSED))
	} else {
		change = r.monitor.RecordLoad(r.cfg.Clock(), load)
		r.cfg.OnSlots(load.Slots)
		r.cfg.OnLeaving(load.Leaving)
	}
	if err == nil || change.Down {
		r.cfg.OnDown(change.Down)
	}
	if change.Cold {
		r.coldStart("engine process started or ended")
	}
	if change.Crashed {
		metrics.Count(metrics.EventCrash)
		r.cfg.Log.Error("engine crashed", "generation", previous)
		r.cfg.OnCrash(ctx, previous)
		r.crashNotifier.notify(previous)
	}
}

// awaitCrash delays the failure of a request until Poll has reported the crash
// of its engine to all agents, so that a retry is treated as a suspect
// everywhere. If no crash is detected, it returns after crashReportTimeout.
func (r *Runner) awaitCrash(ctx context.Context, generation string) {
	deadline := time.NewTimer(crashReportTimeout)
	defer deadline.Stop()
	for {
		if r.monitor.HasCrashed(generation) {
			r.crashNotifier.wait(ctx, generation)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-time.After(crashPollInterval):
		}
	}
}

// RecentChats returns at most limit chats for a hand-over, most recently served
// first.
func (r *Runner) RecentChats(limit int) []ServedChat { return r.chatIndex.recent(limit) }
