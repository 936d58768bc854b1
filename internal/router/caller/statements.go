package caller

import (
	"time"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/placement"
)

// applyStatements records what the server states about itself. A misdirected request was
// answered by another server.
func (c *serverCall) applyStatements(info ResponseInfo) {
	if info.Misdirected {
		return
	}
	now := c.cfg.Clock()
	c.applyRateLimit(info)
	c.applyBackoff(now, info)
	if info.Leaving && c.cfg.Servers.SetStatedLeaving(now, c.choice) {
		c.logLeaving(now)
	}
}

// applyBackoff records whether the server asks for a pause.
func (c *serverCall) applyBackoff(now time.Time, info ResponseInfo) {
	if info.BackoffInvalid {
		metrics.Count(metrics.EventBackoffInvalid)
		return
	}
	sentInPause := c.cfg.Servers.SetBackoff(now, c.choice, info.Backoff)
	if info.Backoff > 0 {
		c.logBackoff(now, info.Backoff, sentInPause)
	}
}

// applyRateLimit records whether the server states a limit on its requests. Only a signed
// response shows that it has none.
func (c *serverCall) applyRateLimit(info ResponseInfo) {
	switch {
	case info.LimitInvalid:
		metrics.Count(metrics.EventRateLimitInvalid)
	case info.Limit.Limited || info.Signed:
		now := c.cfg.Clock()
		if previous := c.cfg.Servers.SetRateLimit(now, c.choice, info.Limit); previous != info.Limit {
			c.logRateLimit(now, previous, info.Limit)
		}
	}
}

func (c *serverCall) refusedAttempt(info ResponseInfo) attempt {
	if info.Misdirected {
		// The address belongs to another server now, so the picked one is gone.
		c.cfg.Servers.SetReplaced(c.choice)
		return attempt{kind: bronzerill.KindNoServer, run: bronzerill.RunNot, outcome: placement.OutcomeNone}
	}
	if info.Backoff > 0 {
		return attempt{kind: bronzerill.KindServerBackoff, run: bronzerill.RunNot, outcome: placement.OutcomeNone}
	}
	return attempt{kind: bronzerill.KindOverloaded, run: bronzerill.RunNot, outcome: placement.OutcomeRefused}
}

// logRateLimit logs that the picked server states another limit than before.
func (c *serverCall) logRateLimit(now time.Time, previous, limit placement.RateLimit) {
	metrics.Count(metrics.EventRateLimitChanged)
	if c.failedLog.Allow(now) {
		c.cfg.Log.Info("server limit changed", "server", c.choice.ID, "service", c.choice.Service, "request", c.request.ID,
			"limited", limit.Limited, "per-second", limit.PerSecond, "before-limited", previous.Limited, "before-per-second", previous.PerSecond)
	}
}

// logBackoff logs that the picked server asked for a pause, and whether it got the request
// in an earlier one.
func (c *serverCall) logBackoff(now time.Time, pause time.Duration, sentInPause bool) {
	metrics.Count(metrics.EventBackoff)
	if sentInPause {
		metrics.Count(metrics.EventBackoffIgnored)
	}
	if c.failedLog.Allow(now) {
		c.cfg.Log.Info("server asked for a pause", "server", c.choice.ID, "service", c.choice.Service, "request", c.request.ID,
			"pause-ms", pause.Milliseconds(), "picked-ms-ago", now.Sub(c.choice.SentAt).Milliseconds(), "in-pause", sentInPause)
	}
}

// logLeaving logs that the picked server states that it is about to stop, before the list
// showed that.
func (c *serverCall) logLeaving(now time.Time) {
	metrics.Count(metrics.EventServerLeaving)
	if c.failedLog.Allow(now) {
		c.cfg.Log.Info("server states that it leaves", "server", c.choice.ID, "service", c.choice.Service, "request", c.request.ID,
			"list-age-ms", c.choice.ListAge.Milliseconds())
	}
}
