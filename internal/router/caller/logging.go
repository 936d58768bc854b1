package caller

import (
	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/placement"
)

// logAttempt logs why an attempt failed.
func (c *serverCall) logAttempt(a attempt) {
	if !c.failedLog.Allow(c.cfg.Clock()) {
		return
	}
	status := 0
	if a.failure != nil {
		status = a.failure.status
	}
	c.cfg.Log.Info("attempt failed", "request", c.request.ID, "server", c.choice.ID, "version", c.choice.Version, "attempt", len(c.tried),
		"outcome", a.kind.String(), "run", a.run.String(), "status", status, "detail", a.detail, "silent", a.silent,
		"customer", c.customerName(), "print", uint64(c.fingerprint), "parts", c.request.SharedParts(), "began", !c.answerBeganAt.IsZero(), "forwarded", c.headWritten,
		"ms", c.cfg.Clock().Sub(c.start).Milliseconds())
}

// logCrash logs that a server was found down while it had requests of this router, and
// the suspects among these.
func (e *exchange) logCrash(server placement.Server, suspects []placement.Fingerprint) {
	metrics.Count(metrics.EventCrash)
	if e.failedLog.Allow(e.cfg.Clock()) {
		e.cfg.Log.Warn("server crashed", "server", server.ID, "service", server.Service, "suspects", suspects)
	}
}

// logOutcome logs the outcome of the request, with the loads and waiting times by
// which its server was picked or the request was refused.
func (e *exchange) logOutcome(kind bronzerill.Kind, status int) {
	now := e.cfg.Clock()
	budget := e.failedLog
	if kind == bronzerill.KindNone {
		budget = e.answeredLog
		metrics.ResponseTime.Record(now.Sub(e.start))
	}
	if !budget.Allow(now) {
		return
	}
	fields := []any{
		"request", e.request.ID, "print", uint64(e.fingerprint), "outcome", kind.String(), "run", kind.Response().Run.String(), "path", e.r.URL.Path,
		"ms", now.Sub(e.start).Milliseconds(), "status", status,
	}
	if e.table != nil {
		fields = append(fields, "state", e.table.Number, "revision", e.table.Revision)
	}
	if e.route != nil {
		fields = append(fields, "route", e.route.Name, "kind", e.route.Kind.String(), "service", e.service.Name)
	}
	if e.customer != nil {
		fields = append(fields, "customer", e.customer.Name)
	}
	if e.choice.ID != "" {
		fields = append(fields, "server", e.choice.ID, "version", e.choice.Version, "load", e.choice.Load, "mean", e.choice.Mean, "bound", e.choice.Bound,
			"hard-bound", e.choice.HardBound, "level", e.choice.Level, "load-age-ms", e.choice.LoadAge.Milliseconds(), "load-peers", e.choice.LoadPeers, "cold", e.choice.Cold, "queue", e.choice.Queue, "wait-ms", e.choice.Wait.Milliseconds(),
			"rank", e.choice.Rank, "affinity", e.request.Affinity(), "list-age-ms", e.choice.ListAge.Milliseconds(), "tried", len(e.tried),
			"keepers", e.choice.CacheLocations, "fetched-from", e.choice.FetchFrom)
	}
	if e.request.Resumes != "" || e.request.ResumeAfter != "" {
		fields = append(fields, "resumes", e.request.Resumes, "resume-after", e.request.ResumeAfter, "origin", e.origin.String())
	}
	if kind == bronzerill.KindSuspect {
		fields = append(fields, "suspect", uint64(e.quarantine.Suspect), "parts", e.request.SharedParts(), "retry-after-ms", e.retryAfter.Milliseconds())
	}
	if e.refusal.RetryAfter > 0 {
		fields = append(fields, "least-wait-ms", e.refusal.Wait.Milliseconds(), "limit-ms", e.refusal.WaitLimit.Milliseconds(), "retry-after-ms", e.refusal.RetryAfter.Milliseconds())
	}
	if kind == bronzerill.KindNone {
		e.cfg.Log.Info("answered", fields...)
	} else {
		e.cfg.Log.Warn("not answered", fields...)
	}
}
