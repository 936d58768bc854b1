// Package entry serves the entries at an agent: it admits requests, runs each
// exchange once, and lets an entry come back to a running one.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill"
	"bronzerill/internal/wire/exchange"
)

// windowBytes is how much of an answer is kept for an entry that comes back.
const windowBytes = 256 << 10

// answer is the outcome of one exchange while it grows. One runner writes it
// and any number of entries read it.
type answer struct {
	id      exchange.ID
	server  string
	cancel  context.CancelFunc
	mu      sync.Mutex
	changed chan struct{}
	head    *exchange.Head
	// window holds the bytes from start to start+len(window).
	window []byte
	start  int64
	sum    *xxhash.Digest
	// end or failure is set once, and nothing changes after it.
	end     *exchange.End
	failure *exchange.Failure
	// readers counts the entries that follow the answer; idleAt is when the
	// last one left.
	readers  int
	idleAt   time.Time
	closedAt time.Time
}

func newAnswer(id exchange.ID, now time.Time, cancel context.CancelFunc) *answer {
	return &answer{id: id, cancel: cancel, changed: make(chan struct{}), sum: xxhash.New(), idleAt: now}
}

// refusedAnswer is the tombstone of an ID that must never run.
func refusedAnswer(id exchange.ID, now time.Time, kind bronzerill.Kind) *answer {
	a := newAnswer(id, now, func() {})
	a.failure = &exchange.Failure{Kind: kind}
	a.closedAt = now
	return a
}

// signal wakes the readers; the caller holds the lock.
func (a *answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// WriteHead starts the answer.
func (a *answer) WriteHead(status int, contentType string, warm, replayed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &exchange.Head{ID: a.id, Server: a.server, Status: status, ContentType: contentType, Warm: warm, Replayed: replayed}
	a.signal()
}

// Write appends bytes to the answer.
func (a *answer) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.window = append(a.window, p...)
	_, _ = a.sum.Write(p)
	// Cutting at twice the window keeps the cost of moving bytes constant.
	if len(a.window) > 2*windowBytes {
		cut := len(a.window) - windowBytes
		a.window = append(a.window[:0], a.window[cut:]...)
		a.start += int64(cut)
	}
	a.signal()
	return len(p), nil
}

// close ends the answer; a nil error means that it is whole.
func (a *answer) close(now time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closedAt = now
	if err == nil && a.head == nil {
		err = bronzerill.Errorf(bronzerill.KindInternal, "answer ended before its head")
	}
	if err != nil {
		a.failure = exchange.NewFailure(err)
	} else {
		a.end = &exchange.End{ID: a.id, Bytes: a.start + int64(len(a.window)), Sum: a.sum.Sum64()}
	}
	a.signal()
}

// next returns the frames that follow the offset, and a channel that closes at
// the next change. last is true when nothing follows.
func (a *answer) next(offset int64, headed bool) (frames []exchange.Frame, last bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil && !headed {
		frames = append(frames, exchange.Frame{Type: exchange.FrameHead, Head: a.head})
	}
	if offset < a.start {
		failure := &exchange.Failure{Kind: bronzerill.KindTruncated, Detail: "the answer has gone on beyond what is kept"}
		return append(frames, exchange.Frame{Type: exchange.FrameFailure, Failure: failure}), true, a.changed
	}
	if end := a.start + int64(len(a.window)); offset < end {
		data := append([]byte(nil), a.window[offset-a.start:]...)
		frames = append(frames, exchange.Frame{Type: exchange.FrameData, Offset: offset, Data: data})
	}
	switch {
	case a.end != nil:
		frames = append(frames, exchange.Frame{Type: exchange.FrameEnd, End: a.end})
	case a.failure != nil:
		frames = append(frames, exchange.Frame{Type: exchange.FrameFailure, Failure: a.failure})
	}
	return frames, a.end != nil || a.failure != nil, a.changed
}

func (a *answer) join() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

func (a *answer) leave(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.idleAt = now
}

func (a *answer) hasReaders() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers > 0
}

// idleSince returns when the last reader left a running answer.
func (a *answer) idleSince() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.idleAt, a.readers == 0 && a.closedAt.IsZero()
}

// size returns the bytes that are kept.
func (a *answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cap(a.window)
}
