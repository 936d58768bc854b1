package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"bronzerill"
	"bronzerill/internal/wire/httpport"
)

// stopRetryAfter is the retry delay for a caller whose request a stopping router refuses. Other
// routers take it at once.
const stopRetryAfter = 50 * time.Millisecond

// Stop is the schedule of a planned stop.
type Stop struct {
	// RefuseFrom is when the router begins to refuse requests that it may not finish.
	RefuseFrom time.Time
	// GiveUpAt is when the router gives up its open requests.
	GiveUpAt time.Time
}

// takes reports whether a request that was received at now is taken.
func (s Stop) takes(now, deadline time.Time) bool {
	return now.Before(s.RefuseFrom) || deadline.Before(s.GiveUpAt)
}

// stopping is the state of a planned stop.
type stopping struct {
	// schedule is nil unless the router stops.
	schedule atomic.Pointer[Stop]
	// open ends when the router gives up its open requests.
	open   context.Context
	giveUp context.CancelFunc
}

func newStopping() *stopping {
	s := &stopping{}
	s.open, s.giveUp = context.WithCancel(context.Background())
	return s
}

// BeginStop makes the handler refuse the requests that can't be finished before the stop.
func (h *Handler) BeginStop(s Stop) { h.stopping.schedule.Store(&s) }

// GiveUp ends the open requests, with a response if none has begun. It is called when the process
// is about to close its connections.
func (h *Handler) GiveUp() { h.stopping.giveUp() }

// isGivenUp reports whether the router has given up its open requests.
func (h *Handler) isGivenUp() bool { return h.stopping.open.Err() != nil }

// takes reports whether the request can be finished before the router stops. If not, the caller
// is to use another connection.
func (e *exchange) takes(now time.Time) bool {
	schedule := e.stopping.schedule.Load()
	if schedule == nil || schedule.takes(now, e.deadline) {
		return true
	}
	e.w.Header().Set("Connection", "close")
	e.retryAfter = stopRetryAfter
	return false
}

// context returns the context of the attempts. It ends at the deadline, when the caller
// disconnects, or when the router gives up.
func (e *exchange) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(e.r.Context(), e.deadline)
	stop := context.AfterFunc(e.stopping.open, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// limitBodyRead ends reading the body when the router gives up. Nothing is sent to a server after
// that, so the returned function needn't undo it.
func (e *exchange) limitBodyRead() (stop func() bool) {
	return context.AfterFunc(e.stopping.open, func() {
		httpport.RefuseBody(e.r)
		// If this fails, the connection is broken already.
		_ = http.NewResponseController(e.w).SetReadDeadline(e.cfg.Clock())
	})
}

// canceledKind returns the kind of a request whose connection was closed: by the caller, or by
// the router at the end of a stop.
func (e *exchange) canceledKind() bronzerill.Kind {
	if !e.isGivenUp() {
		return bronzerill.KindCanceled
	}
	return e.stoppedKind()
}

// stoppedKind returns the kind of a request that the router gives up. It depends on whether a
// server may have run the request.
func (e *exchange) stoppedKind() bronzerill.Kind {
	if e.runs > 0 {
		return bronzerill.KindStopped
	}
	return bronzerill.KindLeaving
}

// endGivenUp ends a request that the router gives up after an attempt.
func (e *exchange) endGivenUp(a attempt) {
	switch kind := e.stoppedKind(); {
	case e.headWritten:
		e.abortResponse(kind)
	case a.failure != nil:
		e.endFailed(a, a.kind)
	case kind == bronzerill.KindLeaving:
		e.endWithError(kind, stopRetryAfter)
	default:
		e.endWithError(kind, 0)
	}
}
