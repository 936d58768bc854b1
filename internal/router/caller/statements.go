package caller

import (
	"time"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/placement"
)

// applyStatements records what the server states about itself. A misdirected request was
// answered by another server.
func (e *exchange) applyStatements(info ResponseInfo) {
	if info.Misdirected {
		return
	}
	now := e.cfg.Clock()
	e.applyRateLimit(info)
	e.applyBackoff(now, info)
	if info.Leaving && e.cfg.Servers.SetStatedLeaving(now, e.choice) {
		e.logLeaving(now)
	}
}

// applyBackoff records whether the server asks for a pause.
func (e *exchange) applyBackoff(now time.Time, info ResponseInfo) {
	if info.BackoffInvalid {
		metrics.Count(metrics.EventBackoffInvalid)
		return
	}
	sentInPause := e.cfg.Servers.SetBackoff(now, e.choice, info.Backoff)
	if info.Backoff > 0 {
		e.logBackoff(now, info.Backoff, sentInPause)
	}
}

// applyRateLimit records whether the server states a limit on its requests. Only a signed
// response shows that it has none.
func (e *exchange) applyRateLimit(info ResponseInfo) {
	switch {
	case info.LimitInvalid:
		metrics.Count(metrics.EventRateLimitInvalid)
	case info.Limit.Limited || info.Signed:
		now := e.cfg.Clock()
		if previous := e.cfg.Servers.SetRateLimit(now, e.choice, info.Limit); previous != info.Limit {
			e.logRateLimit(now, previous, info.Limit)
		}
	}
}

func (e *exchange) refusedAttempt(info ResponseInfo) attempt {
	if info.Misdirected {
		// The address belongs to another server now, so the picked one is gone.
		e.cfg.Servers.SetReplaced(e.choice)
		return attempt{kind: bronzerill.KindNoServer, run: bronzerill.RunNot, outcome: placement.OutcomeNone}
	}
	if info.Backoff > 0 {
		return attempt{kind: bronzerill.KindServerBackoff, run: bronzerill.RunNot, outcome: placement.OutcomeNone}
	}
	return attempt{kind: bronzerill.KindOverloaded, run: bronzerill.RunNot, outcome: placement.OutcomeRefused}
}

// logRateLimit logs that the picked server states another limit than before.
func (e *exchange) logRateLimit(now time.Time, previous, limit placement.RateLimit) {
	metrics.Count(metrics.EventRateLimitChanged)
	if e.failedLog.Allow(now) {
		e.cfg.Log.Info("server limit changed", "server", e.choice.ID, "service", e.choice.Service, "request", e.request.ID,
			"limited", limit.Limited, "per-second", limit.PerSecond, "before-limited", previous.Limited, "before-per-second", previous.PerSecond)
	}
}

// logBackoff logs that the picked server asked for a pause, and whether it got the request
// in an earlier one.
func (e *exchange) logBackoff(now time.Time, pause time.Duration, sentInPause bool) {
	metrics.Count(metrics.EventBackoff)
	if sentInPause {
		metrics.Count(metrics.EventBackoffIgnored)
	}
	if e.failedLog.Allow(now) {
		e.cfg.Log.Info("server asked for a pause", "server", e.choice.ID, "service", e.choice.Service, "request", e.request.ID,
			"pause-ms", pause.Milliseconds(), "picked-ms-ago", now.Sub(e.choice.SentAt).Milliseconds(), "in-pause", sentInPause)
	}
}

// logLeaving logs that the picked server states that it is about to stop, before the list
// showed that.
func (e *exchange) logLeaving(now time.Time) {
	metrics.Count(metrics.EventServerLeaving)
	if e.failedLog.Allow(now) {
		e.cfg.Log.Info("server states that it leaves", "server", e.choice.ID, "service", e.choice.Service, "request", e.request.ID,
			"list-age-ms", e.choice.ListAge.Milliseconds())
	}
}
