package caller

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"bronzerill"
	"bronzerill/internal/operator/journal"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placing"
	"bronzerill/internal/router/server"
)

// maxBody bounds a request's body, in bytes.
const maxBody = 8 << 20

// retryState is when a caller may come back to a router that has just started: it
// learns the desired state from its neighbours by then. Kinds that no retry helps
// go without.
const retryState = 300 * time.Millisecond

// Config configures a Handler.
type Config struct {
	Dialect Dialect
	Servers *placing.Table
	Client  *server.Client
	// Routes returns the present desired state, nil before there is one.
	Routes func() *declared.Table
	// Clock returns the present time.
	Clock func() time.Time
	Log   hclog.Logger
}

// Lines a second that the handler logs. A router is planned for 58 requests a
// second at letter 1's size; failures go before successes.
const (
	answeredLines = 60
	failedLines   = 200
)

// Handler answers callers.
type Handler struct {
	cfg      Config
	inFlight atomic.Int64
	// answeredLog and failedLog bound the lines of the log.
	answeredLog, failedLog *journal.Budget
	// patience holds the longest patience seen on each route.
	patience patienceTable
}

var _ http.Handler = (*Handler)(nil)

// NewHandler returns a handler.
func NewHandler(cfg Config) *Handler {
	return &Handler{
		cfg:         cfg,
		answeredLog: journal.NewBudget("answered", answeredLines),
		failedLog:   journal.NewBudget("not answered", failedLines),
		patience:    newPatienceTable(),
	}
}

// InFlight returns the number of requests under way.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	metrics.Count(metrics.EventRequest)
	x := &exchange{
		Handler: h,
		w:       w,
		r:       r,
		request: h.cfg.Dialect.ParseRequest(r.Header),
		start:   h.cfg.Clock(),
	}
	if kind := x.admit(); kind != bronzerill.KindNone {
		x.refuse(kind, retryState)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.run(ctx)
}

// exchange is one request of a caller and its answer.
type exchange struct {
	*Handler
	w       http.ResponseWriter
	r       *http.Request
	request RequestInfo
	body    []byte
	start   time.Time
	// deadline is when the caller or the operator no longer waits.
	deadline time.Time
	table    *declared.Table
	route    *declared.Route
	customer *declared.Customer
	service  declared.Service
	// tried lists the servers that were asked.
	tried []string
	// runs counts the servers that may have run the request.
	runs int
	// choice is the server that was asked last.
	choice placing.Choice
	// refusal is the decision that no server has room, if it was the last one.
	refusal placing.Choice
	// written is set once the answer's head is on its way to the caller.
	written bool
	// last is the last event that went to the caller whole.
	last string
	// print identifies the request when it comes again.
	print placing.Fingerprint
}

// admit finds route and customer, and reads the body.
func (x *exchange) admit() bronzerill.Kind {
	x.table = x.cfg.Routes()
	if x.table == nil {
		return bronzerill.KindNoState
	}
	var found bool
	if x.route, found = x.table.Route(x.r.Host, x.r.URL.Path); !found {
		return bronzerill.KindUnknownRoute
	}
	if x.table.RequiresKey && !x.route.Public {
		if x.customer, found = x.table.Customer(x.request.Key); !found {
			return bronzerill.KindUnauthorized
		}
	}
	if kind := x.readBody(); kind != bronzerill.KindNone {
		return kind
	}
	x.print = x.fingerprint()
	if x.cfg.Servers.IsQuarantined(x.start, x.print) {
		return bronzerill.KindSuspect
	}
	x.service, found = x.table.Service(x.route.PickService(xxhash.Sum64String(x.request.ID)))
	if !found {
		return bronzerill.KindUnknownRoute
	}
	x.deadline = x.start.Add(x.route.Timeout)
	if x.request.Timeout > 0 {
		x.deadline = earlier(x.deadline, x.start.Add(x.request.Timeout))
	}
	x.last = x.request.ResumeAfter
	x.cfg.Servers.CountRequest(x.start, x.service.Name, x.customerName())
	return bronzerill.KindNone
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (x *exchange) readBody() bronzerill.Kind {
	var err error
	x.body, err = io.ReadAll(io.LimitReader(x.r.Body, maxBody+1))
	switch {
	case err != nil:
		return bronzerill.KindCanceled
	case len(x.body) > maxBody:
		return bronzerill.KindBodyTooLarge
	}
	return bronzerill.KindNone
}

// fingerprint returns the hash of what stays the same when a caller sends its
// request again.
func (x *exchange) fingerprint() placing.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{x.customerName(), x.r.Method, x.r.Host, x.r.RequestURI} {
		// A hash never fails to write.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body)
	return placing.Fingerprint(h.Sum64())
}

// customerName returns the name of the caller's customer, empty on public routes.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// priority returns the customer's priority, or else the route's.
func (x *exchange) priority() int {
	if x.customer != nil && x.customer.Priority != nil {
		return *x.customer.Priority
	}
	return x.route.Priority
}

// refuse ends the request without a server's answer.
func (x *exchange) refuse(kind bronzerill.Kind, retryAfter time.Duration) {
	if kind.Answer().Run == bronzerill.RunNot {
		metrics.Refused(kind)
	} else {
		metrics.Failed(kind)
	}
	x.logEnd(kind, 0)
	if kind == bronzerill.KindCanceled {
		// Nobody waits for the answer.
		panic(http.ErrAbortHandler)
	}
	x.cfg.Dialect.WriteError(x.w, kind, retryAfter)
}

// breakOff ends the caller's connection, so that an answer that was begun can't
// look whole.
func (x *exchange) breakOff(kind bronzerill.Kind) {
	metrics.Failed(kind)
	x.logEnd(kind, 0)
	panic(http.ErrAbortHandler)
}

// logAttempt writes why a server didn't answer.
func (x *exchange) logAttempt(a attempt) {
	if !x.failedLog.Allow(x.cfg.Clock()) {
		return
	}
	status := 0
	if a.failure != nil {
		status = a.failure.status
	}
	x.cfg.Log.Info("attempt failed", "request", x.request.ID, "server", x.choice.ID, "attempt", len(x.tried),
		"outcome", a.kind.String(), "run", a.run.String(), "status", status, "detail", a.detail,
		"ms", x.cfg.Clock().Sub(x.start).Milliseconds())
}

// logEnd writes how the request ended, and on what that rested.
func (x *exchange) logEnd(kind bronzerill.Kind, status int) {
	now := x.cfg.Clock()
	budget := x.failedLog
	if kind == bronzerill.KindNone {
		budget = x.answeredLog
		metrics.Answer.Record(now.Sub(x.start))
	}
	if !budget.Allow(now) {
		return
	}
	fields := []any{
		"request", x.request.ID, "print", uint64(x.print), "outcome", kind.String(), "run", kind.Answer().Run.String(), "path", x.r.URL.Path,
		"ms", now.Sub(x.start).Milliseconds(), "status", status,
	}
	if x.table != nil {
		fields = append(fields, "state", x.table.Number)
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "kind", x.route.Kind.String(), "service", x.service.Name)
	}
	if x.customer != nil {
		fields = append(fields, "customer", x.customer.Name)
	}
	if x.choice.ID != "" {
		fields = append(fields, "server", x.choice.ID, "load", x.choice.Load, "mean", x.choice.Mean, "bound", x.choice.Bound, "queue", x.choice.Queue, "wait-ms", x.choice.Wait.Milliseconds(),
			"rank", x.choice.Rank, "affinity", x.request.Affinity(), "list-age-ms", x.choice.ListAge.Milliseconds(), "tried", len(x.tried),
			"keepers", x.choice.CacheLocations, "fetched-from", x.choice.FetchFrom)
	}
	if x.refusal.RetryAfter > 0 {
		fields = append(fields, "least-wait-ms", x.refusal.Wait.Milliseconds(), "limit-ms", x.refusal.WaitLimit.Milliseconds(), "retry-after-ms", x.refusal.RetryAfter.Milliseconds())
	}
	if kind == bronzerill.KindNone {
		x.cfg.Log.Info("answered", fields...)
	} else {
		x.cfg.Log.Warn("not answered", fields...)
	}
}
