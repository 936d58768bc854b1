package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/memory"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func id(n int) exchange.ID { return exchange.ID{Request: fmt.Sprint("r", n), Attempt: "1"} }

func attach(n int) exchange.Open { return exchange.Open{ID: id(n), Attach: true} }

// runExchange adds a complete response of the given size to the table.
func runExchange(t *testing.T, tab *table, n, bytes int) {
	r := newResponse(id(n), now, tab.windows, func() {})
	require.Equal(t, bronzerill.KindNone, tab.add(r))
	r.WriteHead(200, "", false, false)
	_, _ = r.Write(make([]byte, bytes))
	r.close(now, nil)
	tab.finish(now, r)
}

// TestRetainedResponsesAreBounded finishes more responses within the retention
// than the table may hold. If it kept them all, it would refuse new exchanges.
func TestRetainedResponsesAreBounded(t *testing.T) {
	tab := newTable(defaultMemory)
	for n := range 3 * maxResponses {
		runExchange(t, tab, n, 100)
	}
	assert.LessOrEqual(t, len(tab.responses), maxRetained)
}

// TestDroppedResponseReportsOutcomeUnknown attaches to an exchange whose response
// was evicted. The exchange ran, so the table must not report it as not run.
func TestDroppedResponseReportsOutcomeUnknown(t *testing.T) {
	tab := newTable(defaultMemory)
	for n := range maxRetained + 1 {
		runExchange(t, tab, n, 100)
	}
	r := tab.find(now, attach(0))
	assert.Equal(t, bronzerill.KindOutcomeUnknown, r.failure.Kind)
	assert.Nil(t, tab.find(now, attach(maxRetained)).failure, "the newest response is kept")
	later := now.Add(responseRetention + time.Second)
	assert.Equal(t, bronzerill.KindAborted, tab.find(later, attach(-1)).failure.Kind)
}

func TestRetainedBytesAreBounded(t *testing.T) {
	tab := newTable(defaultMemory)
	for n := range 200 {
		runExchange(t, tab, n, windowBytes)
	}
	assert.LessOrEqual(t, tab.retainedBytes, maxRetainedBytes)
	total := 0
	for _, r := range tab.responses {
		total += r.size()
	}
	assert.Equal(t, tab.retainedBytes, total)
}

func TestRetainedBytesFitLittleMemory(t *testing.T) {
	tab := newTable(1 << 20)
	for n := range 20 {
		runExchange(t, tab, n, 100_000)
	}
	assert.Positive(t, tab.retainedBytes)
	assert.LessOrEqual(t, tab.retainedBytes, 1<<20*retainedPercent/100)
}

func TestRetention(t *testing.T) {
	tab := newTable(defaultMemory)
	runExchange(t, tab, 1, 100)
	tab.expire(now.Add(responseRetention))
	assert.NotNil(t, tab.responses[id(1)])
	tab.expire(now.Add(responseRetention + time.Second))
	assert.Nil(t, tab.responses[id(1)])
}

func TestWindowBoundsLongResponse(t *testing.T) {
	r := newResponse(id(1), now, memory.NewBudget(defaultMemory), func() {})
	r.WriteHead(200, "", false, false)
	part := make([]byte, 10_000)
	reader := r.addReader(0)
	for n := range 500 {
		_, _ = r.Write(part)
		assert.LessOrEqual(t, len(r.window), 2*windowBytes)
		r.recordRead(reader, int64(n+1)*10_000)
	}
	frames, last, _ := r.framesFrom(0, true)
	assert.True(t, last)
	assert.Equal(t, bronzerill.KindTruncated, frames[0].Failure.Kind)
	frames, last, _ = r.framesFrom(500*10_000-5, true)
	assert.False(t, last)
	assert.Len(t, frames[0].Data, 5)
}

func TestIdleExchangeIsCanceled(t *testing.T) {
	tab := newTable(defaultMemory)
	canceled := false
	require.Equal(t, bronzerill.KindNone, tab.add(newResponse(id(1), now, tab.windows, func() { canceled = true })))
	tab.expire(now.Add(exchange.AttachTimeout))
	assert.False(t, canceled)
	tab.expire(now.Add(exchange.AttachTimeout + time.Second))
	assert.True(t, canceled)
}
