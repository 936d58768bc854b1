package caller

import (
	"context"
	"net/http"
	"slices"
	"time"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
)

// Parameters of the detection of silent servers.
const (
	// silenceFactor is the multiple of an objective for which a server may be silent
	// before a repeatable request is also sent to another server.
	silenceFactor = 3
	// minSilence is the shortest silence after which that happens. A lost packet alone
	// causes a delay of 200 ms.
	minSilence = 350 * time.Millisecond
)

// silenceTimeout returns how long the servers may be silent until the request is also sent to
// another one. It returns 0, which means no limit, if that isn't possible.
func (e *exchange) silenceTimeout(now time.Time) time.Duration {
	if !e.mayRunAgain(e.possibleRuns()) {
		return 0
	}
	latest := e.current
	if n := len(e.standbys); n > 0 && !e.standbys[n-1].rejected() {
		latest = e.standbys[n-1]
	}
	if latest.progressed {
		return max(minSilence, silenceFactor*e.route.PauseObjective)
	}
	timeout := max(minSilence, e.route.Objective)
	if e.route.Kind == declared.Stream {
		timeout = max(minSilence, silenceFactor*e.route.Objective)
	}
	// A server that responds late because all servers are busy isn't silent.
	timeout = max(timeout, silenceFactor*latest.choice.Wait)
	if now.Add(timeout + minRemaining).After(e.deadline) {
		return 0
	}
	return timeout
}

// possibleRuns returns how many servers may have run the request, or may run it yet.
func (e *exchange) possibleRuns() int {
	runs := e.runs
	if e.current.response == nil {
		runs++
	}
	for _, standby := range e.standbys {
		if standby.response == nil {
			runs++
		}
	}
	return runs
}

// mayRunAgain reports whether another server may run the request after the given
// number of runs.
func (e *exchange) mayRunAgain(runs int) bool {
	return e.route.MayRepeat() && runs < e.route.MaxAttempts && !e.unnumbered
}

// watchSilence starts to wait for the next sign of the servers.
func (e *exchange) watchSilence() {
	now := e.cfg.Clock()
	timeout := e.silenceTimeout(now)
	if e.rejection() != nil {
		untilLast := max(time.Nanosecond, e.rejectAt().Sub(now))
		if timeout == 0 || untilLast < timeout {
			timeout = untilLast
		}
	}
	if timeout > 0 {
		e.silence.Reset(timeout)
	} else {
		e.silence.Stop()
	}
}

// rejectAt returns when a rejection is forwarded at the latest.
func (e *exchange) rejectAt() time.Time { return e.deadline.Add(-statusMargin) }

// handleSilence is called when the servers were silent for too long.
func (e *exchange) handleSilence(ctx context.Context) {
	if rejection := e.rejection(); rejection != nil && !e.cfg.Clock().Before(e.rejectAt()) {
		e.replaceSilent(rejection)
		return
	}
	metrics.Count(metrics.EventServerSilent)
	e.logSilence()
	e.startStandby(ctx)
	e.watchSilence()
}

// startStandby sends the request to another server, if one may take it. The silent ones are kept
// until a server has taken over.
func (e *exchange) startStandby(ctx context.Context) {
	now := e.cfg.Clock()
	if ctx.Err() != nil || e.deadline.Sub(now) < minRemaining || e.isExhausted() {
		return
	}
	if !e.cfg.Servers.HasOther(now, e.query(now)) || !e.cfg.Servers.SpendRetry(e.service.Name) {
		return
	}
	standby, _, err := e.pickAndSend(ctx)
	if err != nil {
		e.cfg.Servers.ReturnRetry(e.service.Name)
		return
	}
	e.standbys = append(e.standbys, standby)
}

// acceptStandby takes the next part of a standby's response.
func (e *exchange) acceptStandby(standby *serverCall, p part) {
	a, failed := standby.accept(p)
	switch {
	case failed:
		e.removeStandby(standby)
		standby.finish(a)
		if a.unsent {
			e.cfg.Servers.ReturnRetry(e.service.Name)
		}
		e.watchSilence()
	case standby.rejected():
		e.watchSilence()
	case standby.whole || standby.progressed:
		e.replaceSilent(standby)
	}
}

// replaceSilent makes a standby the current server since that one is silent.
func (e *exchange) replaceSilent(standby *serverCall) {
	metrics.Count(metrics.EventSilentReplaced)
	e.current.cancel()
	e.current.reportLost()
	e.takeOver(standby, attempt{kind: bronzerill.KindTruncated, run: bronzerill.RunUnknown, outcome: placement.OutcomeFailed, silent: true})
}

// rejected reports whether the server has rejected the request with a whole response.
func (c *serverCall) rejected() bool {
	return c.whole && c.response.Status >= http.StatusMultipleChoices
}

// rejection returns a standby that was rejected, or nil. Its response is kept until no other server
// may answer, since a silent one may still succeed.
func (e *exchange) rejection() *serverCall {
	for _, standby := range e.standbys {
		if standby.rejected() {
			return standby
		}
	}
	return nil
}

// dropStandbys ends the standbys since the current server isn't silent any more.
func (e *exchange) dropStandbys() {
	for _, standby := range e.standbys {
		standby.giveUp(attempt{kind: bronzerill.KindCanceled, run: bronzerill.RunUnknown, outcome: placement.OutcomeNone})
	}
	e.standbys = nil
}

func (e *exchange) removeStandby(standby *serverCall) {
	e.standbys = slices.DeleteFunc(e.standbys, func(c *serverCall) bool { return c == standby })
}

// successor returns the standby that takes the place of a current call that failed, or nil. A whole
// response can be forwarded even if the router has given up its calls.
func (e *exchange) successor(ctx context.Context) *serverCall {
	if ctx.Err() == nil {
		for _, standby := range e.standbys {
			if !standby.rejected() {
				return standby
			}
		}
	}
	return e.rejection()
}

// takeOver makes a standby the current server. The attempt says how the server before ended.
func (e *exchange) takeOver(standby *serverCall, a attempt) {
	e.current.giveUp(a)
	e.removeStandby(standby)
	e.setCurrent(standby)
	metrics.Retried(a.kind)
}

// giveUp ends a call that may still be running at its server.
func (c *serverCall) giveUp(a attempt) {
	if c.response == nil && !c.received {
		c.runs++
	}
	c.finish(a)
}

// logSilence logs that the current server is silent.
func (e *exchange) logSilence() {
	now := e.cfg.Clock()
	if e.failedLog.Allow(now) {
		e.cfg.Log.Info("server is silent", "request", e.request.ID, "server", e.current.choice.ID, "began", e.current.progressed, "forwarded", e.headWritten,
			"ms", now.Sub(e.start).Milliseconds())
	}
}
