package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/router/server"
)

// Parameters of the detection of silent servers.
const (
	// silenceFactor is the multiple of an objective for which a server may be silent
	// before a repeatable request moves to another server.
	silenceFactor = 3
	// minSilence is the shortest silence that cancels an attempt. A lost packet alone
	// causes a delay of 200 ms.
	minSilence = 350 * time.Millisecond
)

// silenceTimer cancels an attempt whose server is silent for too long.
type silenceTimer struct {
	cancel context.CancelFunc
	timer  *time.Timer
}

// newSilenceTimer returns a context that is canceled after timeout, and a timer whose
// reset method postpones that. A timeout of 0 never cancels the context.
func newSilenceTimer(ctx context.Context, timeout time.Duration) (context.Context, *silenceTimer) {
	attemptCtx, cancel := context.WithCancel(ctx)
	t := &silenceTimer{cancel: cancel}
	if timeout > 0 {
		t.timer = time.AfterFunc(timeout, cancel)
	}
	return attemptCtx, t
}

func (t *silenceTimer) reset(timeout time.Duration) {
	if t.timer == nil {
		return
	}
	if timeout <= 0 {
		t.timer.Stop()
		return
	}
	t.timer.Reset(timeout)
}

func (t *silenceTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel()
}

// firstEventTimeout returns how long the picked server may take until its first
// event or its complete response. It returns 0, which means no limit, if no retry
// is possible.
func (e *exchange) firstEventTimeout(now time.Time) time.Duration {
	if !e.mayRunAgain(e.runs + 1) {
		return 0
	}
	timeout := max(minSilence, e.route.Objective)
	if e.route.Kind == declared.Stream {
		timeout = max(minSilence, silenceFactor*e.route.Objective)
	}
	// A server that responds late because all servers are busy isn't silent.
	timeout = max(timeout, silenceFactor*e.choice.Wait)
	if now.Add(timeout + minRemaining).After(e.deadline) {
		return 0
	}
	return timeout
}

// pauseTimeout returns how long a stream may pause before it moves to another
// server, or 0 if it can't move.
func (e *exchange) pauseTimeout() time.Duration {
	if !e.mayRunAgain(e.runs) {
		return 0
	}
	return max(minSilence, silenceFactor*e.route.PauseObjective)
}

// mayRunAgain reports whether another server may run the request after the given
// number of runs.
func (e *exchange) mayRunAgain(runs int) bool {
	return e.route.MayRepeat() && runs < e.route.MaxAttempts
}

// eventSeparator ends each event of a stream.
var eventSeparator = []byte("\n\n")

// streamBufferSize is the size of the read buffer, in bytes.
const streamBufferSize = 8 << 10

// forwardStream forwards events as they arrive. It forwards only complete events of a
// resumable stream, since another server resumes the stream after a complete event.
func (e *exchange) forwardStream(ctx context.Context, response *server.Response, timer *silenceTimer, now time.Time, latency *time.Duration) attempt {
	info := e.cfg.Dialect.ParseResponse(response.Status, response.Header)
	if !info.Signed && !e.headWritten {
		return attempt{kind: bronzerill.KindCrossed, run: bronzerill.RunDone, outcome: placement.OutcomeFailed}
	}
	controller := http.NewResponseController(e.w)
	var pending []byte
	survived := false
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if *latency == 0 {
				e.answerBeganAt = e.cfg.Clock()
				*latency = e.answerBeganAt.Sub(now)
				e.cfg.Servers.ResponseStarted(e.cfg.Clock(), &e.choice)
				metrics.FirstToken.Record(*latency)
			}
			if !survived && e.cfg.Clock().Sub(e.answerBeganAt) >= answerGrace {
				survived = true
				e.cfg.Servers.Answered(e.prints)
			}
			timer.reset(e.pauseTimeout())
			pending = append(pending, buffer[:n]...)
			complete := pending
			if e.route.Resumable {
				complete = pending[:completeEvents(pending)]
			}
			if len(complete) > 0 && !e.forwardEvents(response, controller, complete) {
				return attempt{kind: bronzerill.KindCanceled, run: bronzerill.RunDone, outcome: placement.OutcomeNone}
			}
			pending = pending[len(complete):]
		}
		if err == io.EOF {
			a := e.finishStream(response, controller, pending)
			if a.kind == bronzerill.KindNone && !survived {
				e.cfg.Servers.Answered(e.prints)
			}
			return a
		}
		if err != nil {
			e.reportLost(ctx)
			return attempt{kind: bronzerill.KindTruncated, run: bronzerill.RunDone, outcome: placement.OutcomeFailed, detail: err.Error()}
		}
	}
}

// completeEvents returns the length of the complete events at the start of data.
func completeEvents(data []byte) int {
	last := bytes.LastIndex(data, eventSeparator)
	if last < 0 {
		return 0
	}
	return last + len(eventSeparator)
}

// finishStream completes a stream after the server ended its response.
func (e *exchange) finishStream(response *server.Response, controller *http.ResponseController, pending []byte) attempt {
	if len(pending) > 0 {
		// The response ended in the middle of an event.
		return attempt{kind: bronzerill.KindTruncated, run: bronzerill.RunDone, outcome: placement.OutcomeFailed, detail: "ended inside an event"}
	}
	if !e.headWritten && !e.forwardEvents(response, controller, nil) {
		return attempt{kind: bronzerill.KindCanceled, run: bronzerill.RunDone, outcome: placement.OutcomeNone}
	}
	metrics.Count(metrics.EventResponse)
	e.logOutcome(bronzerill.KindNone, response.Status)
	return attempt{outcome: placement.OutcomeAnswered}
}

// forwardEvents writes events to the caller, after the header of the first server's
// response. It reports whether the write succeeded.
func (e *exchange) forwardEvents(response *server.Response, controller *http.ResponseController, events []byte) bool {
	if !e.headWritten {
		e.headWritten = true
		e.copyHeader(response.Header)
		e.w.WriteHeader(response.Status)
	}
	if e.route.Resumable {
		if id := parseLastEventID(events); id != "" {
			e.lastEventID = id
		}
	}
	if _, err := e.w.Write(events); err != nil {
		return false
	}
	return controller.Flush() == nil
}

// parseLastEventID returns the ID of the last event that has one, or an empty string.
func parseLastEventID(events []byte) string {
	start := bytes.LastIndex(events, []byte("\nid:"))
	if start < 0 {
		if !bytes.HasPrefix(events, []byte("id:")) {
			return ""
		}
		start = -1
	}
	line := events[start+1+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}
