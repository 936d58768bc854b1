// Package memory bounds the memory that the requests and responses of a router take together. Bounds on
// each of them aren't enough: many at once would take all the memory of the process.
package memory

import "sync/atomic"

// Sizes and shares of a Budget.
const (
	// smallBytes is the size up to which a share may take the last of a budget. Larger ones leave it to
	// those, so that a few odd requests and responses don't affect the others.
	smallBytes = 64 << 10
	// largePercent is how much of a budget the large shares may take, with the small ones.
	largePercent = 75
)

// Budget is the memory that all its shares may take. It is safe for concurrent use.
type Budget struct {
	size int64
	used atomic.Int64
}

// NewBudget returns a budget of a size in bytes.
func NewBudget(size int64) *Budget { return &Budget{size: size} }

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Fits reports whether a share of a size could be taken now.
func (b *Budget) Fits(size int64) bool { return size <= b.limit(size)-b.used.Load() }

// limit returns how much may be taken after a share has grown to a size.
func (b *Budget) limit(size int64) int64 {
	if size <= smallBytes {
		return b.size
	}
	return b.size * largePercent / 100
}

// Share is the part of a budget that one request or response takes. The zero value takes nothing, and only
// Free may be called. It isn't safe for concurrent use.
type Share struct {
	budget *Budget
	taken  int64
}

// NewShare returns a share that takes nothing yet.
func (b *Budget) NewShare() Share { return Share{budget: b} }

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
	return true
}

// Free gives back all that the share takes.
func (s *Share) Free() { s.Resize(0) }
