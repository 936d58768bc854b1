package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/server"
)

// Limits of the query for a server's status.
const (
	statusTimeout  = 500 * time.Millisecond
	maxStatusBytes = 1 << 20
)

// isWhole reports whether a response whose body has ended is known to be whole. A body
// without a length or chunks ends in the same way if the server's process ends, so the process
// must have outlived it.
func (e *exchange) isWhole(ctx context.Context, response *server.Response) bool {
	if response.Framed {
		return true
	}
	endedAt := e.cfg.Clock()
	whole := e.hasOutlived(ctx, response.Witness)
	e.logUnframed(endedAt, whole)
	return whole
}

// statesStartTime reports whether the status of the picked server tells its process from
// later ones.
func (e *exchange) statesStartTime() bool { return e.service.Engine != nil && e.choice.Born != 0 }

// hasOutlived reports whether the process of the picked server is shown to be alive still. The
// witness may be nil.
func (e *exchange) hasOutlived(ctx context.Context, witness *server.Witness) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := e.queryStatus(ctx, witness)
	switch {
	case err != nil, status.Misdirected:
		return false
	case e.choice.Born != 0 && status.Born != 0:
		return status.Born == e.choice.Born
	case status.ID != "" && status.ID != e.choice.ID:
		return false
	}
	return witness != nil
}

func (e *exchange) queryStatus(ctx context.Context, witness *server.Witness) (ServerStatus, error) {
	do := e.cfg.Client.Do
	if witness != nil {
		do = witness.Do
	}
	call := e.cfg.Dialect.StatusCall(e.service, e.choice.ID)
	call.Addr = e.choice.Addr
	// A late response to a request has its ID.
	call.Match = func(h http.Header) server.Match { return e.match(h, "") }
	response, err := do(ctx, call)
	if err != nil {
		return ServerStatus{}, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read, or the connection is discarded
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return ServerStatus{}, err
	}
	return e.cfg.Dialect.ParseStatus(response.Status, response.Header, body), nil
}

// logUnframed logs that a response without a length or chunks has ended, and whether it is
// known to be whole.
func (e *exchange) logUnframed(endedAt time.Time, whole bool) {
	metrics.Count(metrics.EventUnframed)
	if !whole {
		metrics.Count(metrics.EventUnframedBroken)
	}
	now := e.cfg.Clock()
	if e.failedLog.Allow(now) {
		e.cfg.Log.Info("unframed response ended", "request", e.request.ID, "server", e.choice.ID, "born", e.choice.Born, "whole", whole,
			"ms", endedAt.Sub(e.start).Milliseconds(), "check-us", now.Sub(endedAt).Microseconds())
	}
}
