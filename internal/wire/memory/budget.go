// Package memory bounds the memory that the requests and responses of a process take together. Bounds on
// each of them aren't enough: many at once would take all the memory of the process.
package memory

import (
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and shares of a Budget.
const (
	// smallBytes is the size up to which a share may take the last of a budget. Larger ones leave it to
	// those, so that a few odd requests and responses don't affect the others.
	smallBytes = 64 << 10
	// largePercent is how much of a budget the large shares may take, with the small ones.
	largePercent = 75
)

// yieldTimeout is how long a connection that yields may take to give its memory back.
const yieldTimeout = 500 * time.Millisecond

// Budget is the memory that all its shares may take. It is safe for concurrent use.
type Budget struct {
	size int64
	used atomic.Int64
	// waiting counts those that wait until memory is given back.
	waiting   atomic.Int64
	mu        sync.Mutex
	transfers map[*Transfer]struct{}
	// freed is closed and replaced when memory is given back while somebody waits for it.
	freed chan struct{}
}

// NewBudget returns a budget of a size in bytes.
func NewBudget(size int64) *Budget {
	return &Budget{size: size, transfers: make(map[*Transfer]struct{}), freed: make(chan struct{})}
}

// Size returns the size in bytes.
func (b *Budget) Size() int64 { return b.size }

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Fits reports whether a share of a size could be taken now, at most after others have yielded.
func (b *Budget) Fits(size int64) bool {
	if size <= b.limit(size)-b.used.Load() {
		return true
	}
	return size <= b.limit(size) && size <= b.limit(size)-b.used.Load()+b.yieldable(size)
}

// yieldable returns what transfers take that would yield to a share of a size.
func (b *Budget) yieldable(size int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := int64(0)
	for t := range b.transfers {
		if _, pending, waits := t.candidate(size > smallBytes); waits {
			sum += t.taken.Load()
		} else {
			sum += pending
		}
	}
	return sum
}

// limit returns how much may be taken after a share has grown to a size.
func (b *Budget) limit(size int64) int64 {
	if size <= smallBytes {
		return b.size
	}
	return b.size * largePercent / 100
}

// watch returns a channel that is closed when memory is given back.
func (b *Budget) watch() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}

// notify wakes those that wait for memory.
func (b *Budget) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.freed)
	b.freed = make(chan struct{})
}

// Share is the part of a budget that one request or response takes. The zero value takes nothing, and only
// Free may be called. It isn't safe for concurrent use.
type Share struct {
	budget *Budget
	// transfer is that of the connection to which the share belongs, nil if it belongs to none.
	transfer *Transfer
	taken    int64
}

// NewShare returns a share that takes nothing yet. The transfer may be nil.
func (b *Budget) NewShare(t *Transfer) Share { return Share{budget: b, transfer: t} }

// Resize makes the share take a size in bytes. It returns false, and changes nothing, if that doesn't fit.
func (s *Share) Resize(size int64) bool {
	more := size - s.taken
	if more == 0 {
		return true
	}
	if used := s.budget.used.Add(more); more > 0 && used > s.budget.limit(size) {
		s.budget.used.Add(-more)
		return false
	}
	s.taken = size
	if s.transfer != nil {
		s.transfer.taken.Add(more)
	}
	if more < 0 && s.budget.waiting.Load() > 0 {
		s.budget.notify()
	}
	return true
}

// Grow makes the share take a larger size in bytes. If that doesn't fit, connections whose clients have made no
// progress for longer than this one's yield. It returns false, and changes nothing, if that isn't enough.
func (s *Share) Grow(size int64) bool {
	if s.Resize(size) {
		return true
	}
	if size > s.budget.limit(size) {
		return false
	}
	s.budget.waiting.Add(1)
	defer s.budget.waiting.Add(-1)
	timeout := time.NewTimer(yieldTimeout)
	defer timeout.Stop()
	c := claim{budget: s.budget, requester: s.transfer, size: size}
	for {
		freed := s.budget.watch()
		if s.Resize(size) {
			return true
		}
		if s.transfer.Yielded() {
			return false
		}
		if !c.reclaim(size-s.taken) && !isClosed(freed) {
			return false
		}
		select {
		case <-freed:
		case <-timeout.C:
			return false
		}
	}
}

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Free gives back all that the share takes.
func (s *Share) Free() { s.Resize(0) }
