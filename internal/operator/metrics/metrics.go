// Package metrics publishes the fleet's counters and histograms by expvar.
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
)

// Refused counts a request refused as not run.
func Refused(k bronzerill.Kind) { refused.Add(k.String(), 1) }

// Failed counts a request that ended without a whole answer.
func Failed(k bronzerill.Kind) { failed.Add(k.String(), 1) }

// Retried counts an attempt made because an earlier one failed.
func Retried(k bronzerill.Kind) { retried.Add(k.String(), 1) }

// Spilled counts an attempt made because a server had no room.
func Spilled(k bronzerill.Kind) { spilled.Add(k.String(), 1) }

// Event is a counted occurrence that is no refusal.
type Event string

// The counted events.
const (
	EventRequest      Event = "request"
	EventAnswer       Event = "answer"
	EventWarm         Event = "warm"
	EventResumed      Event = "stream-resumed"
	EventSilent       Event = "connection-silent"
	EventColdStart    Event = "cold-start"
	EventCrash        Event = "server-crash"
	EventReplayed     Event = "answer-replayed"
	EventOrder        Event = "order-given"
	EventStaleOrder   Event = "order-stale"
	EventEngineResume Event = "engine-stream-resumed"
	EventHandover     Event = "cache-handed-over"
	EventTakeover     Event = "cache-taken-over"
)

// Count counts an event.
func Count(e Event) { events.Add(string(e), 1) }

// Bounds of the histograms.
const (
	maxMicros = int64(time.Hour / time.Microsecond)
	precision = 2
)

// Histogram records durations; expvar shows its percentiles in microseconds.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistogram publishes a histogram under a name.
func NewHistogram(name string) *Histogram {
	h := &Histogram{histogram: hdrhistogram.New(1, maxMicros, precision)}
	expvar.Publish(name, h)
	return h
}

// Record adds a duration.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A duration outside the bounds is cut to them.
	_ = h.histogram.RecordValue(min(max(1, d.Microseconds()), maxMicros))
}

// String returns the percentiles as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := func(q float64) string { return strconv.FormatInt(h.histogram.ValueAtQuantile(q), 10) }
	return `{"count":` + strconv.FormatInt(h.histogram.TotalCount(), 10) +
		`,"p50-us":` + value(50) + `,"p95-us":` + value(95) + `,"p99-us":` + value(99) + `}`
}

// FirstToken and BetweenTokens are measured at the entry; FirstToken and Answer,
// the time of a whole answer, at a router.
var (
	FirstToken    = NewHistogram("first-token")
	BetweenTokens = NewHistogram("between-tokens")
	Answer        = NewHistogram("answer")
)
