// Package entry is the agent's server for entries. It admits requests, runs
// each exchange once, and lets an entry reattach to an exchange after a
// lost connection.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/memory"
)

// windowBytes is the number of bytes of a long response that are kept for an entry
// that reattaches, and the number that may be written before the entry reads them.
const windowBytes = 256 << 10

// Sizes that hold for each response.
const (
	// minWindowBytes is what a window may take even if there is no memory for more, and the size of the parts in which a
	// response is written.
	minWindowBytes = 16 << 10
	// frameBytes is the size of the largest frame. A frame is copied before it is sent.
	frameBytes = 32 << 10
)

// response buffers the response of one exchange while it is being written. One
// runner writes it, and any number of entries read it. It is safe for
// concurrent use.
type response struct {
	id     exchange.ID
	server string
	cancel context.CancelFunc
	// done is closed when the exchange ends or is canceled.
	done <-chan struct{}
	mu   sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	head    *exchange.Head
	// window holds the bytes at the offsets from start to start+len(window).
	window []byte
	start  int64
	sum    *xxhash.Digest
	// share is what the window takes if that exceeds minWindowBytes.
	share memory.Share
	// evicted is set once no other entry can find the response. Its window goes with the last reader then.
	evicted bool
	// end or failure is set once. Nothing is written after that.
	end     *exchange.End
	failure *exchange.Failure
	// reader is the newest reader, and readOffset the number of bytes that were sent to
	// it. An entry attaches again only after it has given up its earlier connection.
	reader     int
	readOffset int64
	// read is closed and replaced when readOffset changes.
	read chan struct{}
	// readers counts the entries that read the response. idleAt is the time at
	// which the last one disconnected.
	readers  int
	idleAt   time.Time
	closedAt time.Time
	// settled is set once an entry has received the whole response, or needs none.
	settled bool
}

// newResponse returns an empty response, whose window belongs to the budget.
func newResponse(id exchange.ID, now time.Time, windows *memory.Budget, cancel context.CancelFunc) *response {
	return &response{id: id, cancel: cancel, changed: make(chan struct{}), read: make(chan struct{}), sum: xxhash.New(), share: windows.NewShare(nil), idleAt: now}
}

// refusedResponse returns the tombstone of an ID that must never run.
func refusedResponse(id exchange.ID, now time.Time, kind bronzerill.Kind) *response {
	r := &response{id: id, cancel: func() {}, changed: make(chan struct{}), read: make(chan struct{}), idleAt: now}
	r.failure = &exchange.Failure{Kind: kind}
	r.closedAt = now
	r.settled = true
	return r
}

// notifyReaders wakes the readers. The caller holds the lock.
func (r *response) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// WriteHead sets the head of the response.
func (r *response) WriteHead(status int, contentType string, warm, replayed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &exchange.Head{ID: r.id, Server: r.server, Status: status, ContentType: contentType, Warm: warm, Replayed: replayed}
	r.notifyReaders()
}

// Write appends bytes to the response. It waits while windowBytes are unread, or fewer if there is no memory for these, and
// fails when the exchange is canceled meanwhile.
func (r *response) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+minWindowBytes)]
		read, fits := r.append(part)
		if fits {
			written += len(part)
			continue
		}
		select {
		case <-read:
		case <-r.done:
			return written, bronzerill.Errorf(bronzerill.KindCanceled, "exchange ended before its response was read")
		}
	}
	return written, nil
}

// append appends a part of at most minWindowBytes. If too much is unread, it appends nothing and
// returns a channel that is closed when the reader goes on.
func (r *response) append(part []byte) (read <-chan struct{}, fits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start+int64(len(r.window)+len(part))-r.readOffset > windowBytes {
		return r.read, false
	}
	// Trimming only at twice the window keeps the amortized cost of a byte
	// constant.
	if len(r.window)+len(part) > 2*windowBytes {
		r.trim(windowBytes)
	}
	if !r.reserve(len(part)) {
		return r.read, false
	}
	r.window = append(r.window, part...)
	_, _ = r.sum.Write(part)
	r.notifyReaders()
	return nil, true
}

// trim removes what was read from the window but for a number of bytes. The caller holds the lock.
func (r *response) trim(kept int64) {
	if cut := r.readOffset - kept - r.start; cut > 0 {
		r.window = append(r.window[:0], r.window[cut:]...)
		r.start += cut
	}
}

// reserve makes room for more bytes in the window. Without memory for a larger one, what was read has to go. It returns false if
// too much is unread for that. The caller holds the lock.
func (r *response) reserve(more int) bool {
	if len(r.window)+more <= cap(r.window) {
		return true
	}
	capacity := max(len(r.window)+more, min(2*cap(r.window), 2*windowBytes))
	if capacity > minWindowBytes && !r.share.Resize(int64(capacity)) {
		r.trim(0)
		if len(r.window)+more <= cap(r.window) {
			return true
		}
		if capacity = minWindowBytes; len(r.window)+more > capacity {
			return false
		}
	}
	r.window = append(make([]byte, 0, capacity), r.window...)
	return true
}

// close ends the response. A nil error means that it is complete.
func (r *response) close(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closedAt = now
	if err == nil && r.head == nil {
		err = bronzerill.Errorf(bronzerill.KindInternal, "response ended without a head")
	}
	if err != nil {
		r.failure = exchange.NewFailure(err)
	} else {
		r.end = &exchange.End{ID: r.id, Bytes: r.start + int64(len(r.window)), Sum: r.sum.Sum64()}
	}
	r.notifyReaders()
}

// closedChannel is returned in place of the next change if more frames are ready.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// framesFrom returns the next frames from the offset on, and a channel that is
// closed when there are more. last reports whether the response ends with these
// frames.
func (r *response) framesFrom(offset int64, headSent bool) (frames []exchange.Frame, last bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head != nil && !headSent {
		frames = append(frames, exchange.Frame{Type: exchange.FrameHead, Head: r.head})
	}
	if offset < r.start {
		failure := &exchange.Failure{Kind: bronzerill.KindTruncated, Detail: "the requested offset is no longer buffered"}
		return append(frames, exchange.Frame{Type: exchange.FrameFailure, Failure: failure}), true, r.changed
	}
	if end := r.start + int64(len(r.window)); offset < end {
		next := min(end, offset+frameBytes)
		data := append([]byte(nil), r.window[offset-r.start:next-r.start]...)
		frames = append(frames, exchange.Frame{Type: exchange.FrameData, Offset: offset, Data: data})
		if next < end {
			return frames, false, closedChannel
		}
	}
	switch {
	case r.end != nil:
		frames = append(frames, exchange.Frame{Type: exchange.FrameEnd, End: r.end})
	case r.failure != nil:
		frames = append(frames, exchange.Frame{Type: exchange.FrameFailure, Failure: r.failure})
	}
	return frames, r.end != nil || r.failure != nil, r.changed
}

// addReader adds a reader that has the bytes up to the offset.
func (r *response) addReader(offset int64) (reader int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	r.reader++
	r.setReadOffset(offset)
	return r.reader
}

// recordRead records that the bytes up to the offset were sent to the reader.
func (r *response) recordRead(reader int, offset int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reader == r.reader {
		r.setReadOffset(offset)
	}
}

// setReadOffset sets the offset within the window, and wakes the writer. The caller
// holds the lock.
func (r *response) setReadOffset(offset int64) {
	r.readOffset = min(max(offset, r.start), r.start+int64(len(r.window)))
	close(r.read)
	r.read = make(chan struct{})
}

func (r *response) removeReader(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.idleAt = now
	r.freeIfUnused()
}

// evict is called when no other entry can find the response any more.
func (r *response) evict() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evicted = true
	r.freeIfUnused()
}

// freeIfUnused gives back the memory of the window if nobody will read it. The caller holds the lock.
func (r *response) freeIfUnused() {
	if r.evicted && r.readers == 0 {
		r.share.Free()
	}
}

func (r *response) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = true
}

// inUse reports whether an entry reads the response, or may still come to fetch it.
func (r *response) inUse(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers > 0 {
		return true
	}
	since := r.idleAt
	if r.closedAt.After(since) {
		since = r.closedAt
	}
	return !r.settled && now.Sub(since) <= exchange.AttachTimeout
}

// idleSince returns when the last reader disconnected, and whether the response
// is still being written and has no reader.
func (r *response) idleSince() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idleAt, r.readers == 0 && r.closedAt.IsZero()
}

// size returns the memory in bytes that the window takes.
func (r *response) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cap(r.window)
}
