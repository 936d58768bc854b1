package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/server"
)

// Limits of the query for a server's status.
const (
	// statusMargin is the time before the deadline that is left for another response to the caller.
	statusMargin   = 50 * time.Millisecond
	maxStatusBytes = 1 << 20
)

// errCutOff means that a response without framing isn't known to be whole.
var errCutOff = errors.New("ended with its connection, and perhaps with the server")

// checkUnframed returns nil if a response without a length or chunks is known to be whole, and errCutOff
// otherwise. Its body ends in the same way if the server's process ends, so the process must have
// outlived it. The connection may still be reset if the server has closed it while the request is being
// written.
func (c *serverCall) checkUnframed(response *server.Response) error {
	endedAt := c.cfg.Clock()
	whole := c.hasOutlived(response.Witness) && !response.IsReset()
	c.logUnframed(endedAt, whole)
	if !whole {
		return errCutOff
	}
	return nil
}

// statesStartTime reports whether the status of the picked server tells its process from
// later ones.
func (c *serverCall) statesStartTime() bool { return c.service.Engine != nil && c.choice.Born != 0 }

// hasOutlived reports whether the process of the picked server is shown to be alive still. The
// witness may be nil. A server that is silent meanwhile may go on, so only the deadline ends the query.
func (c *serverCall) hasOutlived(witness *server.Witness) bool {
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline.Add(-statusMargin))
	defer cancel()
	status, err := c.queryStatus(ctx, witness)
	switch {
	case err != nil, status.Misdirected:
		return false
	case c.choice.Born != 0 && status.Born != 0:
		return status.Born == c.choice.Born
	case status.ID != "" && status.ID != c.choice.ID:
		return false
	}
	return witness != nil
}

func (c *serverCall) queryStatus(ctx context.Context, witness *server.Witness) (ServerStatus, error) {
	do := c.cfg.Client.Do
	if witness != nil {
		do = witness.Do
	}
	call := c.cfg.Dialect.StatusCall(c.service, c.choice.ID)
	call.Addr = c.choice.Addr
	// A late response to a request has its ID.
	call.Match = func(h http.Header) server.Match { return c.match(h, "") }
	response, err := do(ctx, call)
	if err != nil {
		return ServerStatus{}, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read, or the connection is discarded
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return ServerStatus{}, err
	}
	return c.cfg.Dialect.ParseStatus(response.Status, response.Header, body), nil
}

// logUnframed logs that a response without a length or chunks has ended, and whether it is
// known to be whole.
func (c *serverCall) logUnframed(endedAt time.Time, whole bool) {
	metrics.Count(metrics.EventUnframed)
	if !whole {
		metrics.Count(metrics.EventUnframedBroken)
	}
	now := c.cfg.Clock()
	if c.failedLog.Allow(now) {
		c.cfg.Log.Info("unframed response ended", "request", c.request.ID, "server", c.choice.ID, "born", c.choice.Born, "whole", whole,
			"ms", endedAt.Sub(c.start).Milliseconds(), "check-us", now.Sub(endedAt).Microseconds())
	}
}
