package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placing"
	"bronzerill/internal/router/queueing"
	"bronzerill/internal/router/server"
)

// Bounds of one request.
const (
	// maxAsked bounds the servers that are asked for one request, counting those
	// that refused.
	maxAsked = 4
	// maxUnreachable bounds the servers to which no connection could be made.
	maxUnreachable = 8
	// minPatience is the least time left in which a server can still answer.
	minPatience = 10 * time.Millisecond
)

// retryRoom is when a caller whose request wasn't run may come back: about the
// time in which a server finishes a request.
const retryRoom = 400 * time.Millisecond

// attempt is the end of one try at one server.
type attempt struct {
	// kind is KindNone when the exchange is over.
	kind bronzerill.Kind
	run  bronzerill.Run
	// outcome is what the attempt says of the server.
	outcome placing.Outcome
	// failure is kept where a server's own failure is the best answer.
	failure *failure
	// detail is the error behind the kind, for the log.
	detail string
}

// failure is a server's whole answer that reports a failure.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// run tries servers until one has answered, or none may be tried any more.
func (x *exchange) run(ctx context.Context) {
	unreachable := 0
	for {
		a, err := x.try(ctx)
		if err != nil {
			x.noServer(err)
			return
		}
		if a.kind == bronzerill.KindNone {
			return
		}
		x.logAttempt(a)
		if x.r.Context().Err() != nil {
			x.left()
			return
		}
		if a.outcome == placing.OutcomeUnreachable {
			unreachable++
		}
		if kind := x.mayGoOn(ctx, a, unreachable); kind != bronzerill.KindNone {
			x.give(a, kind)
			return
		}
		metrics.Retried(a.kind)
	}
}

// mayGoOn returns KindNone if another server may be asked, or why not.
func (x *exchange) mayGoOn(ctx context.Context, a attempt, unreachable int) bronzerill.Kind {
	switch {
	case ctx.Err() != nil || x.deadline.Sub(x.cfg.Clock()) < minPatience:
		return bronzerill.KindTimeout
	case a.run != bronzerill.RunNot && !x.route.MayRepeat():
		return a.kind
	case x.runs >= max(1, x.route.MaxAttempts):
		return a.kind
	case unreachable >= maxUnreachable:
		return bronzerill.KindUnreachable
	case len(x.tried)-unreachable >= maxAsked:
		return a.kind
	}
	if a.outcome != placing.OutcomeUnreachable && !x.cfg.Servers.SpendRetry(x.service.Name) {
		return bronzerill.KindRetryBudget
	}
	return bronzerill.KindNone
}

// noServer ends a request for which no server could be chosen.
func (x *exchange) noServer(err error) {
	switch {
	case x.written:
		x.breakOff(bronzerill.KindTruncated)
	case x.runs > 0:
		x.refuse(bronzerill.KindServerFailed, 0)
	default:
		x.refuse(bronzerill.KindOf(err), max(retryRoom, x.refusal.RetryAfter))
	}
}

// left ends a request whose caller has gone.
func (x *exchange) left() {
	x.logEnd(bronzerill.KindCanceled, 0)
	panic(http.ErrAbortHandler)
}

// give answers with the best that is left: a server's own failure, or a kind
// that says truly whether the request has run.
func (x *exchange) give(a attempt, kind bronzerill.Kind) {
	switch {
	case x.written:
		x.breakOff(kind)
	case a.failure != nil:
		x.copyHeader(a.failure.header)
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.failure.body)))
		x.w.WriteHeader(a.failure.status)
		_, _ = x.w.Write(a.failure.body) // the caller may have left; net/http ends its connection
		x.logEnd(bronzerill.KindServerFailed, a.failure.status)
	case x.runs > 0 && kind == bronzerill.KindTimeout:
		x.refuse(bronzerill.KindTimeout, 0)
	case x.runs > 0:
		x.refuse(bronzerill.KindServerFailed, 0)
	case kind == bronzerill.KindTimeout:
		x.refuse(bronzerill.KindExpired, 0)
	default:
		x.refuse(notRunKind(kind), retryRoom)
	}
}

// notRunKind returns the kind, or one that promises that nothing has run.
func notRunKind(kind bronzerill.Kind) bronzerill.Kind {
	if kind.Answer().Run == bronzerill.RunNot {
		return kind
	}
	return bronzerill.KindOverloaded
}

// try asks one server.
func (x *exchange) try(ctx context.Context) (attempt, error) {
	now := x.cfg.Clock()
	choice, err := x.cfg.Servers.Pick(now, placing.Query{
		Service: placing.Service{
			Name: x.service.Name, ColdStart: x.service.ColdStart,
			ColdPerSecond: x.service.ColdPerSecond, Engine: x.service.Engine != nil,
		},
		Affinity:  x.request.Affinity(),
		Excluded:  x.tried,
		MayRepeat: x.route.MayRepeat(),
		ZoneOut:   x.table.IsZoneOut,
		Request:   x.queueing(now),
	})
	if err != nil {
		x.refusal = choice
		return attempt{}, err
	}
	x.choice = choice
	x.tried = append(x.tried, choice.ID)
	latency := time.Duration(0)
	a := x.ask(ctx, now, &latency)
	if x.r.Context().Err() != nil {
		a.outcome = placing.OutcomeNone
	}
	x.cfg.Servers.Finish(x.cfg.Clock(), x.choice, x.route.Name, a.outcome, latency)
	return a, nil
}

// queueing returns what decides whether the request is taken when servers are busy.
func (x *exchange) queueing(now time.Time) queueing.Request {
	return queueing.Request{
		Customer: x.customerName(), Objective: x.route.Objective, Remaining: x.deadline.Sub(now), Priority: x.priority(),
		Engine: x.service.Engine != nil, IsRetry: len(x.tried) > 0 || x.hasReturned(),
	}
}

// ask sends the request to the chosen server and passes its answer on. It sets
// latency to the time until the first event or the whole answer.
func (x *exchange) ask(ctx context.Context, now time.Time, latency *time.Duration) attempt {
	watched, watch := newWatch(ctx, x.firstWait(now))
	defer watch.stop()
	answer, err := x.cfg.Client.Do(watched, x.call(now))
	if err != nil {
		return x.failed(err)
	}
	defer func() { _ = answer.Body.Close() }() // the body was read, or the connection is given up
	x.cfg.Servers.ConfirmUp(x.cfg.Clock(), x.choice, x.service.ColdStart)
	reply := x.cfg.Dialect.ParseResponse(answer.Status, answer.Header)
	if reply.NotRun || reply.Misdirected {
		return x.refused(reply)
	}
	x.runs++
	if x.route.Kind == declared.Stream && answer.Status < http.StatusMultipleChoices {
		return x.stream(answer, watch, now, latency)
	}
	return x.whole(answer, now, latency)
}

func (x *exchange) refused(reply ResponseInfo) attempt {
	if reply.Misdirected {
		// The address has another owner, so the server is gone.
		x.cfg.Servers.SetLeaving(x.choice.ID)
		return attempt{kind: bronzerill.KindNoServer, run: bronzerill.RunNot, outcome: placing.OutcomeNone}
	}
	return attempt{kind: bronzerill.KindOverloaded, run: bronzerill.RunNot, outcome: placing.OutcomeRefused}
}

// failed tells what is known of a call without an answer.
func (x *exchange) failed(err error) attempt {
	var failed *server.Error
	if !errors.As(err, &failed) {
		return attempt{kind: bronzerill.KindInternal, run: bronzerill.RunUnknown, outcome: placing.OutcomeFailed}
	}
	if failed.Run == bronzerill.RunNot {
		return attempt{kind: bronzerill.KindUnreachable, run: bronzerill.RunNot, outcome: placing.OutcomeUnreachable, detail: err.Error()}
	}
	x.runs++
	x.lost()
	return attempt{kind: bronzerill.KindServerFailed, run: bronzerill.RunUnknown, outcome: placing.OutcomeFailed, detail: err.Error()}
}

// lost notes a connection that broke while the server ran the request, unless the
// caller or the time ended it.
func (x *exchange) lost() {
	if now := x.cfg.Clock(); x.r.Context().Err() == nil && now.Before(x.deadline) {
		x.cfg.Servers.ConnectionLost(now, x.print, x.choice)
	}
}

func (x *exchange) call(now time.Time) server.Call {
	orders := ForwardOptions{
		Server:      x.choice.ID,
		Remaining:   x.deadline.Sub(now),
		Priority:    x.priority(),
		HasPriority: x.service.Engine != nil,
		ResumeAfter: x.last,
		FetchFrom:   x.choice.FetchFrom,
		Customer:    x.customerName(),
	}
	id := x.request.ID
	return server.Call{
		Addr:      x.choice.Addr,
		Method:    x.r.Method,
		Target:    x.r.RequestURI,
		Host:      x.r.Host,
		Header:    x.cfg.Dialect.ForwardHeader(x.r.Header, orders),
		Body:      x.body,
		FreshConn: !x.route.MayRepeat(),
		Owns: func(h http.Header) bool {
			got := x.cfg.Dialect.ParseResponse(0, h).ID
			return got == "" || got == id
		},
	}
}

// whole reads an answer that isn't a stream and passes it on.
func (x *exchange) whole(answer *server.Response, now time.Time, latency *time.Duration) attempt {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBody))
	if err != nil {
		return attempt{kind: bronzerill.KindTruncated, run: bronzerill.RunDone, outcome: placing.OutcomeFailed}
	}
	*latency = x.cfg.Clock().Sub(now)
	x.cfg.Servers.ResponseStarted(x.cfg.Clock(), &x.choice)
	reply := x.cfg.Dialect.ParseResponse(answer.Status, answer.Header)
	if answer.Status < http.StatusBadRequest && !reply.Signed {
		return attempt{kind: bronzerill.KindCrossed, run: bronzerill.RunDone, outcome: placing.OutcomeFailed}
	}
	if answer.Status >= http.StatusInternalServerError || promisesNotRun(answer.Status) {
		a := attempt{kind: bronzerill.KindServerFailed, run: bronzerill.RunDone, outcome: placing.OutcomeFailed}
		if !promisesNotRun(answer.Status) {
			a.failure = &failure{answer.Status, answer.Header, body}
		}
		return a
	}
	x.copyHeader(answer.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.Status)
	x.written = true
	if _, err := x.w.Write(body); err != nil {
		return attempt{kind: bronzerill.KindCanceled, run: bronzerill.RunDone, outcome: placing.OutcomeAnswered}
	}
	metrics.Count(metrics.EventAnswer)
	x.logEnd(bronzerill.KindNone, answer.Status)
	return attempt{outcome: placing.OutcomeAnswered}
}

// promisesNotRun reports whether callers take a status as word that the request
// never runs. A server that has run it can't give it.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (x *exchange) copyHeader(from http.Header) {
	to := x.w.Header()
	for name, values := range x.cfg.Dialect.ResponseHeader(from) {
		to[name] = values
	}
	if len(from["Content-Type"]) == 0 {
		// Keeps net/http from guessing one.
		to["Content-Type"] = nil
	}
}
