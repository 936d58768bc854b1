// Package entry is the agent's server for entries. It admits requests, runs each
// exchange once, and lets an entry attach again to an exchange after its
// connection broke.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill"
	"bronzerill/internal/wire/exchange"
)

// windowBytes is the least number of trailing bytes of a long answer that are kept
// for an entry that attaches again.
const windowBytes = 256 << 10

// answer is the answer of one exchange while it is being written. One runner
// writes it, and any number of entries read it. It is safe for concurrent use.
type answer struct {
	id     exchange.ID
	server string
	cancel context.CancelFunc
	mu     sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	head    *exchange.Head
	// window holds the bytes at the offsets from start to start+len(window).
	window []byte
	start  int64
	sum    *xxhash.Digest
	// end or failure is set once. Nothing is written after that.
	end     *exchange.End
	failure *exchange.Failure
	// readers counts the entries that read the answer. idleAt is the time at
	// which the last one left.
	readers  int
	idleAt   time.Time
	closedAt time.Time
}

func newAnswer(id exchange.ID, now time.Time, cancel context.CancelFunc) *answer {
	return &answer{id: id, cancel: cancel, changed: make(chan struct{}), sum: xxhash.New(), idleAt: now}
}

// refusedAnswer returns the tombstone of an ID that must not run any more.
func refusedAnswer(id exchange.ID, now time.Time, kind bronzerill.Kind) *answer {
	a := newAnswer(id, now, func() {})
	a.failure = &exchange.Failure{Kind: kind}
	a.closedAt = now
	return a
}

// notifyReaders wakes the readers. The caller holds the lock.
func (a *answer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// WriteHead sets the head of the answer.
func (a *answer) WriteHead(status int, contentType string, warm, replayed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &exchange.Head{ID: a.id, Server: a.server, Status: status, ContentType: contentType, Warm: warm, Replayed: replayed}
	a.notifyReaders()
}

// Write appends bytes to the answer.
func (a *answer) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.window = append(a.window, p...)
	_, _ = a.sum.Write(p)
	// Trimming only at twice the window keeps the amortized cost of a byte
	// constant.
	if len(a.window) > 2*windowBytes {
		cut := len(a.window) - windowBytes
		a.window = append(a.window[:0], a.window[cut:]...)
		a.start += int64(cut)
	}
	a.notifyReaders()
	return len(p), nil
}

// close ends the answer. A nil error means that it is complete.
func (a *answer) close(now time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closedAt = now
	if err == nil && a.head == nil {
		err = bronzerill.Errorf(bronzerill.KindInternal, "answer ended without a head")
	}
	if err != nil {
		a.failure = exchange.NewFailure(err)
	} else {
		a.end = &exchange.End{ID: a.id, Bytes: a.start + int64(len(a.window)), Sum: a.sum.Sum64()}
	}
	a.notifyReaders()
}

// framesFrom returns the frames from the offset on, and a channel that is closed
// at the next change. last reports whether the answer ends with these frames.
func (a *answer) framesFrom(offset int64, headSent bool) (frames []exchange.Frame, last bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil && !headSent {
		frames = append(frames, exchange.Frame{Type: exchange.FrameHead, Head: a.head})
	}
	if offset < a.start {
		failure := &exchange.Failure{Kind: bronzerill.KindTruncated, Detail: "the requested offset is no longer kept"}
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

func (a *answer) addReader() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

func (a *answer) removeReader(now time.Time) {
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

// idleSince returns when the last reader left. The result is true if the answer is
// still being written and has no reader.
func (a *answer) idleSince() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.idleAt, a.readers == 0 && a.closedAt.IsZero()
}

// size returns the memory in bytes that the window takes.
func (a *answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cap(a.window)
}
