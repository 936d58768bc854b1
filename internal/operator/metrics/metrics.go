// Package metrics publishes counters and histograms through expvar.
package metrics

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bronzerill"
)

var (
	refused = expvar.NewMap("refused-by-kind")
	failed  = expvar.NewMap("failed-by-kind")
	retried = expvar.NewMap("retried-by-kind")
	spilled = expvar.NewMap("spilled-by-kind")
	events  = expvar.NewMap("events")
	conns   = expvar.NewMap("connections-open")
)

// Refused counts a request that was refused without being run.
func Refused(k bronzerill.Kind) { refused.Add(k.String(), 1) }

// Failed counts a request that ended without a complete response.
func Failed(k bronzerill.Kind) { failed.Add(k.String(), 1) }

// Retried counts an attempt that follows a failed attempt.
func Retried(k bronzerill.Kind) { retried.Add(k.String(), 1) }

// Spilled counts an attempt that follows a refusal by a server without capacity.
func Spilled(k bronzerill.Kind) { spilled.Add(k.String(), 1) }

// Event is the name of a counted event. Refusals are counted by kind instead.
type Event string

// Events counted by Count.
const (
	EventRequest          Event = "request"
	EventResponse         Event = "answer"
	EventWarm             Event = "warm"
	EventResumed          Event = "stream-resumed"
	EventResumedRecorded  Event = "stream-resumed-recorded"
	EventResumedSole      Event = "stream-resumed-sole-version"
	EventVersionNotNoted  Event = "server-version-not-noted"
	EventUnframed         Event = "unframed-response"
	EventUnframedBroken   Event = "unframed-response-broken"
	EventConnectionSilent Event = "connection-silent"
	EventColdStart        Event = "cold-start"
	EventCrash            Event = "server-crash"
	EventRateLimitChanged Event = "server-rate-limit-changed"
	EventRateLimitInvalid Event = "server-rate-limit-invalid"
	EventBackoff          Event = "server-backoff"
	EventBackoffIgnored   Event = "server-backoff-not-kept"
	EventBackoffInvalid   Event = "server-backoff-invalid"
	EventServerLeaving    Event = "server-leaving-stated"
	EventServerSilent     Event = "server-silent"
	EventSilentReplaced   Event = "silent-server-replaced"
	EventReplayed         Event = "answer-replayed"
	EventOrder            Event = "order-given"
	EventStaleOrder       Event = "order-stale"
	EventEngineResume     Event = "engine-stream-resumed"
	EventHandover         Event = "cache-handed-over"
	EventTakeover         Event = "cache-taken-over"
	EventPanic            Event = "panic-contained"
	EventYieldedIdle      Event = "connection-yielded-idle"
	EventYieldedHead      Event = "connection-yielded-head"
	EventYieldedBody      Event = "connection-yielded-body"
	EventYieldedResponse  Event = "connection-yielded-answer"
	EventYieldedClosing   Event = "connection-yielded-closing"
	EventHeadTooLarge     Event = "head-without-memory"
	EventBodyStalled      Event = "body-stalled"
	EventResponseStalled  Event = "answer-stalled"
	EventStateBehind      Event = "declared-state-behind"
	EventStateUnconfirmed Event = "declared-state-unconfirmed"
)

// Count increments the counter of an event.
func Count(e Event) { events.Add(string(e), 1) }

// ConnectionOpened counts a connection that was opened at a port.
func ConnectionOpened(port string) { conns.Add(port, 1) }

// ConnectionClosed counts a connection that was closed at a port.
func ConnectionClosed(port string) { conns.Add(port, -1) }

// Parameters of the histograms.
const (
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// Histogram records durations. It is safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistogram returns a histogram that expvar publishes under name. It panics if the name
// is in use.
func NewHistogram(name string) *Histogram {
	h := &Histogram{histogram: hdrhistogram.New(1, maxMicros, significantDigits)}
	expvar.Publish(name, h)
	return h
}

// Record adds a duration. It limits the value to the range of the histogram, 1 µs to 1 h.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is in range, so recording can't fail.
	_ = h.histogram.RecordValue(min(max(1, d.Microseconds()), maxMicros))
}

// String returns the count and the percentiles in microseconds, as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := func(q float64) string { return strconv.FormatInt(h.histogram.ValueAtQuantile(q), 10) }
	return `{"count":` + strconv.FormatInt(h.histogram.TotalCount(), 10) +
		`,"p50-us":` + value(50) + `,"p95-us":` + value(95) + `,"p99-us":` + value(99) + `}`
}

// Histograms of request latencies. An entry records FirstToken and BetweenTokens. A router
// records FirstToken and ResponseTime, which is the time to a complete response.
var (
	FirstToken    = NewHistogram("first-token")
	BetweenTokens = NewHistogram("between-tokens")
	ResponseTime  = NewHistogram("answer")
)
