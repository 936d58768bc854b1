package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/operator/journal"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/router/server"
	"bronzerill/internal/wire/httpabort"
	"bronzerill/internal/wire/httpport"
	"bronzerill/internal/wire/memory"
)

// maxBody is the maximum size of a request or response body, in bytes.
const maxBody = 8 << 20

// noStateRetryAfter is the retry delay sent to callers while a newly started router
// has no declared state. The router fetches the state from its peers within this
// time. Errors of kinds that a retry can't help are sent without a delay.
const noStateRetryAfter = 300 * time.Millisecond

// Config configures a Handler.
type Config struct {
	Dialect Dialect
	Servers *placement.Table
	Client  *server.Client
	Streams Streams
	// Memory is what the bodies of all requests and responses may take.
	Memory *memory.Budget
	States States
	// Clock returns the current time.
	Clock func() time.Time
	Log   hclog.Logger
}

// States knows the declared state. All methods return nil before there is one.
type States interface {
	// Table returns the state in force.
	Table() *declared.Table
	// Current returns the state in force for a new request. If the process has just gone on after a pause, it waits for a
	// short time for what has changed meanwhile.
	Current(ctx context.Context) *declared.Table
	// Newest returns the state in force once it is certain that no newer one has been in force for long. It returns false
	// if that can't be told.
	Newest(ctx context.Context) (*declared.Table, bool)
}

// Streams knows at which version of a service's servers streams began.
type Streams interface {
	// Began records the version at which a stream began. The request is the caller's
	// attempt that receives the first event.
	Began(now time.Time, request string, version placement.VersionKey)
	// Version returns the version at which a stream began, if it is known.
	Version(ctx context.Context, now time.Time, request string) (placement.VersionKey, bool)
	// SoleVersion returns the version of a service's servers, if streams can't have begun at
	// any other before the call.
	SoleVersion(ctx context.Context, service string) (placement.VersionKey, bool)
}

// Maximum log lines per second. A router is planned for 58 requests per second, its
// share of 75,000 over 1,300 nodes. Failures have a larger budget than successes.
const (
	maxAnsweredLines = 60
	maxFailedLines   = 200
)

// Handler is the HTTP handler for callers' requests.
type Handler struct {
	cfg      Config
	inFlight atomic.Int64
	// answeredLog and failedLog limit the rate of log lines.
	answeredLog, failedLog *journal.Limiter
	// timeouts holds the longest timeout that callers sent on each route.
	timeouts timeoutTable
	stopping *stopping
}

var _ http.Handler = (*Handler)(nil)

// defaultMemory is what bodies may take in bytes unless the configuration says otherwise.
const defaultMemory = 256 << 20

// NewHandler returns a handler with the given configuration.
func NewHandler(cfg Config) *Handler {
	if cfg.Memory == nil {
		cfg.Memory = memory.NewBudget(defaultMemory)
	}
	return &Handler{
		cfg:         cfg,
		answeredLog: journal.NewLimiter("answered", maxAnsweredLines),
		failedLog:   journal.NewLimiter("not answered", maxFailedLines),
		timeouts:    newTimeoutTable(),
		stopping:    newStopping(),
	}
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	metrics.Count(metrics.EventRequest)
	e := &exchange{
		Handler: h,
		w:       w,
		r:       r,
		request: h.cfg.Dialect.ParseRequest(r.Header),
		start:   h.cfg.Clock(),
		body:    h.cfg.Memory.NewBuffer(httpport.Transfer(r), r.ContentLength),

		deliveries: make(chan delivery),
	}
	defer e.freeMemory()
	e.retryAfter = noStateRetryAfter
	if kind := e.admit(); kind != bronzerill.KindNone {
		e.endWithError(kind, e.retryAfter)
		return
	}
	ctx, cancel := e.context()
	defer cancel()
	e.run(ctx)
}

// exchange is one request of a caller and its response.
type exchange struct {
	*Handler
	w       http.ResponseWriter
	r       *http.Request
	request RequestInfo
	body    memory.Buffer
	// kept are the bodies of failed responses, which may be forwarded at the end.
	kept  []*memory.Buffer
	start time.Time
	// deadline is when the caller's or the route's timeout expires.
	deadline time.Time
	// table is the declared state at the start. It decides who may call and which service the
	// request goes to. What decides where the service's servers get requests may change meanwhile.
	table    *declared.Table
	route    *declared.Route
	customer *declared.Customer
	service  declared.Service
	// tried lists the IDs of the servers that were picked.
	tried []string
	// runs counts the servers that may have run the request.
	runs int
	// current is the call whose response is forwarded, nil if there is none.
	current *serverCall
	// standbys are further calls, sent since the servers before them are silent.
	standbys []*serverCall
	// deliveries takes the parts of all responses.
	deliveries chan delivery
	// silence fires when the servers were silent for too long.
	silence *time.Timer
	// receivers are the goroutines that receive responses.
	receivers errgroup.Group
	// unsent counts the tried servers to which nothing was sent.
	unsent int
	// choice is the server of the call that was the current one last.
	choice placement.Choice
	// refusal explains why the last pick failed, if it did.
	refusal placement.Choice
	// headWritten is set once the response header is sent to the caller.
	headWritten bool
	// sentStatus is the status of that header if it is a stream's.
	sentStatus int
	// version is the version of the servers that may send events of the stream. It is 0
	// before the first event of a new stream.
	version placement.VersionKey
	// origin is what is known of the version of a stream that the caller resumes.
	origin streamOrigin
	// lastEventID is the ID of the last complete event sent to the caller.
	lastEventID string
	// unnumbered is set if an event without an ID was sent to the caller after lastEventID. The
	// stream can't go on then, since no server can be told where.
	unnumbered bool
	// fingerprint identifies the request when it is sent again.
	fingerprint placement.Fingerprint
	// fingerprints holds the fingerprint, followed by the shared parts of the prompt. If
	// servers crash under one of them, such requests are no longer sent.
	fingerprints []placement.Fingerprint
	// quarantine is why the request must not be sent, if that is so.
	quarantine placement.Quarantine
	// retryAfter is the retry delay if the request is refused.
	retryAfter time.Duration
}

// admit finds the route, customer and service, and reads the body.
func (e *exchange) admit() bronzerill.Kind {
	e.table = e.cfg.States.Current(e.r.Context())
	if e.table == nil {
		return bronzerill.KindNoState
	}
	if kind := e.identify(); kind != bronzerill.KindNone {
		return kind
	}
	e.deadline = e.start.Add(e.route.Timeout)
	if e.request.Timeout > 0 {
		e.deadline = earlier(e.deadline, e.start.Add(e.request.Timeout))
	}
	if kind := e.readBody(); kind != bronzerill.KindNone {
		return kind
	}
	e.fingerprint = e.computeFingerprint()
	e.fingerprints = []placement.Fingerprint{e.fingerprint}
	for _, part := range e.request.SharedParts() {
		e.fingerprints = append(e.fingerprints, placement.Fingerprint(part))
	}
	if e.isQuarantined(e.start) {
		return bronzerill.KindSuspect
	}
	var found bool
	e.service, found = e.table.Service(e.route.PickService(xxhash.Sum64String(e.firstAttempt())))
	if !found {
		return bronzerill.KindUnknownRoute
	}
	if kind := e.findVersion(); kind != bronzerill.KindNone {
		return kind
	}
	if !e.takes(e.cfg.Clock()) {
		return bronzerill.KindLeaving
	}
	e.lastEventID = e.request.ResumeAfter
	e.cfg.Servers.CountRequest(e.start, e.service.Name, e.customerName())
	return bronzerill.KindNone
}

// identify finds the route and the customer. It refuses for good only what the newest state doesn't allow.
func (e *exchange) identify() bronzerill.Kind {
	if kind := e.lookUp(); kind == bronzerill.KindNone {
		return kind
	}
	newest, confirmed := e.cfg.States.Newest(e.r.Context())
	if !confirmed {
		return bronzerill.KindUnconfirmed
	}
	if newest == nil {
		return bronzerill.KindNoState
	}
	e.table = newest
	return e.lookUp()
}

// lookUp finds the route and the customer in the table.
func (e *exchange) lookUp() bronzerill.Kind {
	var found bool
	if e.route, found = e.table.Route(e.r.Host, e.r.URL.Path); !found {
		return bronzerill.KindUnknownRoute
	}
	if e.table.RequiresKey && !e.route.Public {
		if e.customer, found = e.table.Customer(e.request.Key); !found {
			return bronzerill.KindUnauthorized
		}
	}
	return bronzerill.KindNone
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// readBody reads the body of the request. It refuses one that is too large, or for which there is no
// memory, as soon as that is known, and one that doesn't arrive before the deadline.
func (e *exchange) readBody() bronzerill.Kind {
	if e.r.ContentLength == 0 {
		return bronzerill.KindNone
	}
	defer e.limitBodyRead()()
	if e.r.ContentLength > maxBody {
		return bronzerill.KindBodyTooLarge
	}
	kind := bronzerill.KindOverloaded
	if e.cfg.Memory.Fits(e.r.ContentLength) {
		httpport.SetBodyDeadline(e.r, e.deadline)
		kind = bronzerill.KindOf(e.body.ReadAll(e.r.Body, maxBody))
	}
	switch {
	case kind == bronzerill.KindNone:
	case kind == bronzerill.KindInternal, e.isGivenUp():
		e.retryAfter = stopRetryAfter
		return e.canceledKind()
	default:
		e.retryAfter = defaultRetryAfter
	}
	return kind
}

// freeMemory gives back what the bodies of the exchange take.
func (e *exchange) freeMemory() {
	e.body.Free()
	for _, body := range e.kept {
		body.Free()
	}
}

// computeFingerprint returns the hash of everything that stays the same when a
// caller sends its request again.
func (e *exchange) computeFingerprint() placement.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{e.customerName(), e.r.Method, e.r.Host, e.r.RequestURI} {
		// Writing to a hash never fails.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(e.body.Bytes())
	return placement.Fingerprint(h.Sum64())
}

// isQuarantined reports whether the request must not be sent, because such requests have
// crashed too many servers.
func (e *exchange) isQuarantined(now time.Time) bool {
	var quarantined bool
	if e.quarantine, quarantined = e.cfg.Servers.Quarantine(now, e.fingerprints...); quarantined {
		e.retryAfter = e.quarantine.Until.Sub(now)
	}
	return quarantined
}

// customerName returns the name of the customer, empty on public routes.
func (e *exchange) customerName() string {
	if e.customer == nil {
		return ""
	}
	return e.customer.Name
}

// priority returns the customer's priority if it is set, or the route's.
func (e *exchange) priority() int {
	if e.customer != nil && e.customer.Priority != nil {
		return *e.customer.Priority
	}
	return e.route.Priority
}

// endWithError ends the request with an error response from the router itself.
func (e *exchange) endWithError(kind bronzerill.Kind, retryAfter time.Duration) {
	if kind.Response().Run == bronzerill.RunNot {
		metrics.Refused(kind)
	} else {
		metrics.Failed(kind)
	}
	e.logOutcome(kind, 0)
	if kind == bronzerill.KindCanceled || e.headWritten {
		// The caller has disconnected, or would take the error for a part of the response.
		httpabort.Abort(e.r)
	}
	e.cfg.Dialect.WriteError(e.w, kind, retryAfter)
}

// abortResponse closes the caller's connection, so that a partial response doesn't
// look complete.
func (e *exchange) abortResponse(kind bronzerill.Kind) {
	metrics.Failed(kind)
	e.logOutcome(kind, 0)
	httpabort.Abort(e.r)
}
