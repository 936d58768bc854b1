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
	"bronzerill/internal/router/placing"
	"bronzerill/internal/router/server"
)

// Parameters of the watch on servers that fall silent.
const (
	// silentFactor is the number of objectives that an answer may be late before
	// a request that may be repeated goes to another server.
	silentFactor = 3
	// minSilence is the least silence that counts: a lost packet costs 200 ms.
	minSilence = 350 * time.Millisecond
)

// watch ends an attempt whose server is silent for too long.
type watch struct {
	cancel context.CancelFunc
	timer  *time.Timer
}

// newWatch returns a context that ends after wait without a call of extend; a
// wait of 0 never ends it.
func newWatch(ctx context.Context, wait time.Duration) (context.Context, *watch) {
	watched, cancel := context.WithCancel(ctx)
	w := &watch{cancel: cancel}
	if wait > 0 {
		w.timer = time.AfterFunc(wait, cancel)
	}
	return watched, w
}

func (w *watch) extend(wait time.Duration) {
	if w.timer == nil {
		return
	}
	if wait <= 0 {
		w.timer.Stop()
		return
	}
	w.timer.Reset(wait)
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}

// firstWait is how long the chosen server may take for its first event or its
// answer, 0 if there is no other one to go to.
func (x *exchange) firstWait(now time.Time) time.Duration {
	if !x.mayMove(x.runs + 1) {
		return 0
	}
	wait := max(minSilence, x.route.Objective)
	if x.route.Kind == declared.Stream {
		wait = max(minSilence, silentFactor*x.route.Objective)
	}
	// A server that is busy, as all of them are, isn't silent.
	wait = max(wait, silentFactor*x.choice.Wait)
	if now.Add(wait + minPatience).After(x.deadline) {
		return 0
	}
	return wait
}

// pauseWait is how long a stream may pause before it goes on elsewhere.
func (x *exchange) pauseWait() time.Duration {
	if !x.mayMove(x.runs) {
		return 0
	}
	return max(minSilence, silentFactor*x.route.PauseObjective)
}

// mayMove reports whether another server may be asked after the given number of
// runs.
func (x *exchange) mayMove(runs int) bool {
	return x.route.MayRepeat() && runs < x.route.MaxAttempts
}

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// streamBuffer is the size of one read from a server.
const streamBuffer = 8 << 10

// stream passes events on as they arrive. A stream that may go on elsewhere is
// passed on in whole events.
func (x *exchange) stream(answer *server.Response, w *watch, now time.Time, latency *time.Duration) attempt {
	reply := x.cfg.Dialect.ParseResponse(answer.Status, answer.Header)
	if !reply.Signed && !x.written {
		return attempt{kind: bronzerill.KindCrossed, run: bronzerill.RunDone, outcome: placing.OutcomeFailed}
	}
	flush := http.NewResponseController(x.w)
	var held []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if *latency == 0 {
				*latency = x.cfg.Clock().Sub(now)
				x.cfg.Servers.ResponseStarted(x.cfg.Clock(), &x.choice)
				metrics.FirstToken.Record(*latency)
			}
			w.extend(x.pauseWait())
			held = append(held, buffer[:n]...)
			ready := held
			if x.route.Resumable {
				ready = held[:wholeEvents(held)]
			}
			if len(ready) > 0 && !x.pass(answer, flush, ready) {
				return attempt{kind: bronzerill.KindCanceled, run: bronzerill.RunDone, outcome: placing.OutcomeNone}
			}
			held = held[len(ready):]
		}
		if err == io.EOF {
			return x.streamEnd(answer, flush, held)
		}
		if err != nil {
			x.lost()
			return attempt{kind: bronzerill.KindTruncated, run: bronzerill.RunDone, outcome: placing.OutcomeFailed}
		}
	}
}

// wholeEvents returns the length of the whole events at the start of a stream's
// part.
func wholeEvents(part []byte) int {
	at := bytes.LastIndex(part, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// streamEnd ends a stream that its server has ended.
func (x *exchange) streamEnd(answer *server.Response, flush *http.ResponseController, held []byte) attempt {
	if len(held) > 0 {
		// The server stopped in the middle of an event.
		return attempt{kind: bronzerill.KindTruncated, run: bronzerill.RunDone, outcome: placing.OutcomeFailed}
	}
	if !x.written && !x.pass(answer, flush, nil) {
		return attempt{kind: bronzerill.KindCanceled, run: bronzerill.RunDone, outcome: placing.OutcomeNone}
	}
	metrics.Count(metrics.EventAnswer)
	x.logEnd(bronzerill.KindNone, answer.Status)
	return attempt{outcome: placing.OutcomeAnswered}
}

// pass sends events to the caller, after the head of the first server's answer.
func (x *exchange) pass(answer *server.Response, flush *http.ResponseController, events []byte) bool {
	if !x.written {
		x.written = true
		x.copyHeader(answer.Header)
		x.w.WriteHeader(answer.Status)
	}
	if x.route.Resumable {
		if id := lastID(events); id != "" {
			x.last = id
		}
	}
	if _, err := x.w.Write(events); err != nil {
		return false
	}
	return flush.Flush() == nil
}

// lastID returns the id of the last of some whole events, or nothing.
func lastID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	if at < 0 {
		if !bytes.HasPrefix(events, []byte("id:")) {
			return ""
		}
		at = -1
	}
	line := events[at+1+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}
