package caller

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/router/queueing"
	"bronzerill/internal/wire/httpabort"
)

// Limits of one request.
const (
	// maxReached limits the number of servers that receive a request, including
	// those that refuse it.
	maxReached = 4
	// maxUnsent limits the number of servers that were picked but got nothing, most of them
	// because they were unreachable.
	maxUnsent = 8
	// minRemaining is the minimum remaining time in which a server can respond.
	minRemaining = 10 * time.Millisecond
)

// defaultRetryAfter is the retry delay for a caller whose request wasn't run. It
// is about the time in which a server finishes one request.
const defaultRetryAfter = 400 * time.Millisecond

// attempt is the result of sending a request to one server.
type attempt struct {
	// kind is KindNone if the exchange is complete.
	kind bronzerill.Kind
	run  bronzerill.RunState
	// unsent is set if nothing was sent to the server.
	unsent bool
	// outcome is what the attempt shows about the server's health.
	outcome placement.Outcome
	// failure is the server's error response, if it can be forwarded to the caller.
	failure *failure
	// detail is the text of the underlying error, for the log.
	detail string
	// silent is set if the router gave the attempt up because its server was silent.
	silent bool
}

// failure is a complete error response of a server.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// run sends the request to servers until one responds or no retry is allowed.
func (e *exchange) run(ctx context.Context) {
	e.silence = time.NewTimer(time.Hour)
	e.silence.Stop()
	defer e.release()
	for {
		if e.current == nil {
			c, choice, err := e.pickAndSend(ctx)
			if err != nil {
				e.refusal = choice
				e.endWithoutServer(err)
				return
			}
			e.setCurrent(c)
		}
		a := e.await(ctx)
		if next := e.successor(ctx); next != nil && a.kind != bronzerill.KindNone && e.r.Context().Err() == nil {
			e.takeOver(next, a)
			continue
		}
		e.dropStandbys()
		e.current.finish(a)
		e.current = nil
		if a.kind == bronzerill.KindNone {
			return
		}
		if e.r.Context().Err() != nil {
			e.endCanceled()
			return
		}
		if e.isGivenUp() {
			e.endGivenUp(a)
			return
		}
		if kind := e.checkRetry(ctx, a); kind != bronzerill.KindNone {
			e.endFailed(a, kind)
			return
		}
		metrics.Retried(a.kind)
	}
}

// setCurrent makes a call the one whose response is forwarded.
func (e *exchange) setCurrent(c *serverCall) {
	e.current = c
	e.choice = c.choice
	e.watchSilence()
}

// await forwards the response of the current call, which may change meanwhile, until it is
// complete or has failed.
func (e *exchange) await(ctx context.Context) attempt {
	for {
		if a, ended := e.current.forward(); ended {
			return a
		}
		select {
		case d := <-e.deliveries:
			switch {
			case d.call == e.current:
				if a, failed := d.call.accept(d.part); failed {
					return a
				}
			case slices.Contains(e.standbys, d.call):
				e.acceptStandby(d.call, d.part)
			}
		case <-e.silence.C:
			e.handleSilence(ctx)
		}
	}
}

// finish ends the call, and records and logs how it went.
func (c *serverCall) finish(a attempt) {
	c.release()
	if a.failure != nil {
		c.kept = append(c.kept, &c.held)
	} else {
		c.held.Free()
	}
	if c.r.Context().Err() != nil || c.isGivenUp() {
		a.outcome = placement.OutcomeNone
	}
	if suspects := c.cfg.Servers.Finish(c.cfg.Clock(), c.choice, c.route.Name, a.outcome, c.latency); len(suspects) > 0 {
		c.logCrash(c.choice.Server, suspects)
	}
	if a.unsent {
		c.unsent++
	}
	if a.kind != bronzerill.KindNone {
		c.logAttempt(a)
	}
}

// release ends the calls that are left, and waits for their connections.
func (e *exchange) release() {
	e.silence.Stop()
	e.dropStandbys()
	if e.current != nil {
		e.current.giveUp(attempt{kind: bronzerill.KindCanceled, run: bronzerill.RunUnknown, outcome: placement.OutcomeNone})
	}
	// Receiving goroutines never fail.
	_ = e.receivers.Wait()
}

// checkRetry returns KindNone if a retry is allowed, or the reason why it isn't.
func (e *exchange) checkRetry(ctx context.Context, a attempt) bronzerill.Kind {
	switch {
	case ctx.Err() != nil || e.deadline.Sub(e.cfg.Clock()) < minRemaining:
		return bronzerill.KindTimeout
	case a.run != bronzerill.RunNot && !e.route.MayRepeat():
		return a.kind
	case e.runs >= max(1, e.route.MaxAttempts):
		return a.kind
	case e.unnumbered, e.isExhausted():
		return a.kind
	}
	if !a.unsent && !e.cfg.Servers.SpendRetry(e.service.Name) {
		return bronzerill.KindRetryBudget
	}
	return bronzerill.KindNone
}

// isExhausted reports whether the request was tried at as many servers as it may be.
func (e *exchange) isExhausted() bool {
	return e.unsent >= maxUnsent || len(e.tried)-e.unsent >= maxReached
}

// endWithoutServer ends a request for which no server could be picked.
func (e *exchange) endWithoutServer(err error) {
	switch {
	case e.headWritten:
		e.abortResponse(bronzerill.KindTruncated)
	case e.runs > 0:
		e.endWithError(bronzerill.KindServerFailed, 0)
	default:
		e.endWithError(bronzerill.KindOf(err), e.refusalRetryAfter(err))
	}
}

// refusalRetryAfter returns the retry delay for a request that no server may take.
func (e *exchange) refusalRetryAfter(err error) time.Duration {
	switch bronzerill.KindOf(err) {
	case bronzerill.KindSuspect:
		return e.retryAfter
	case bronzerill.KindServerBackoff:
		return e.refusal.RetryAfter
	}
	return max(defaultRetryAfter, e.refusal.RetryAfter)
}

// endCanceled ends a request whose caller has disconnected.
func (e *exchange) endCanceled() {
	e.logOutcome(e.canceledKind(), 0)
	httpabort.Abort(e.r)
}

// endFailed ends a request that can't be retried. It forwards the server's error
// response if there is one. Otherwise it writes an error whose kind states correctly
// whether the request has run.
func (e *exchange) endFailed(a attempt, kind bronzerill.Kind) {
	switch {
	case e.headWritten:
		e.abortResponse(kind)
	case a.failure != nil:
		e.copyHeader(a.failure.header)
		e.w.Header().Set("Content-Length", strconv.Itoa(len(a.failure.body)))
		e.w.WriteHeader(a.failure.status)
		_, _ = e.w.Write(a.failure.body) // the caller may have disconnected; net/http closes its connection
		e.logOutcome(bronzerill.KindServerFailed, a.failure.status)
	case e.runs > 0 && kind == bronzerill.KindTimeout:
		e.endWithError(bronzerill.KindTimeout, 0)
	case e.runs > 0:
		e.endWithError(bronzerill.KindServerFailed, 0)
	case kind == bronzerill.KindTimeout:
		e.endWithError(bronzerill.KindExpired, 0)
	default:
		e.endWithError(notRunKind(kind), defaultRetryAfter)
	}
}

// notRunKind returns kind if it guarantees that the request didn't run, and
// KindOverloaded otherwise.
func notRunKind(kind bronzerill.Kind) bronzerill.Kind {
	if kind.Response().Run == bronzerill.RunNot {
		return kind
	}
	return bronzerill.KindOverloaded
}

// updateService takes over what is declared of the service now. A request may last long.
func (e *exchange) updateService() {
	if service, declared := e.cfg.States.Table().Service(e.service.Name); declared {
		e.service = service
	}
}

// isZoneOut reports whether a zone is out now, not when the request arrived.
func (e *exchange) isZoneOut(zone string) bool { return e.cfg.States.Table().IsZoneOut(zone) }

// query describes the request for the choice of a server.
func (e *exchange) query(now time.Time) placement.Query {
	return placement.Query{
		Service: placement.Service{
			Name: e.service.Name, ColdStart: e.service.ColdStart,
			ColdPerSecond: e.service.ColdPerSecond, Engine: e.service.Engine != nil,
		},
		Affinity:  e.request.Affinity(),
		Version:   e.version,
		OnlyNoted: e.route.Kind == declared.Stream && e.route.Resumable && e.version == 0,
		Excluded:  e.tried,
		MayRepeat: e.route.MayRepeat(),
		ZoneOut:   e.isZoneOut,
		Request:   e.queueingRequest(now),
	}
}

// queueingRequest returns the properties of the request that admission control needs.
func (e *exchange) queueingRequest(now time.Time) queueing.Request {
	return queueing.Request{
		Customer: e.customerName(), Objective: e.route.Objective, Remaining: e.deadline.Sub(now), Priority: e.priority(),
		Engine: e.service.Engine != nil, IsRetry: len(e.tried) > 0 || e.isRetry(),
	}
}

func (e *exchange) copyHeader(from http.Header) {
	to := e.w.Header()
	for name, values := range e.cfg.Dialect.ResponseHeader(from) {
		to[name] = values
	}
	if len(from["Content-Type"]) == 0 {
		// Stops net/http from detecting a content type.
		to["Content-Type"] = nil
	}
}
