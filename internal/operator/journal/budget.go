package journal

import (
	"expvar"
	"sync"
	"time"
)

var leftOut = expvar.NewMap("log-lines-left-out")

// Budget bounds the lines of one sort in each second, so that a log stays small
// under load. What it leaves out is counted under its name.
type Budget struct {
	name      string
	perSecond int
	mu        sync.Mutex
	second    int64
	written   int
}

// NewBudget returns a budget of lines a second.
func NewBudget(name string, perSecond int) *Budget {
	return &Budget{name: name, perSecond: perSecond}
}

// Allow reports whether one more line may be written now.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.written = second, 0
	}
	if b.written >= b.perSecond {
		leftOut.Add(b.name, 1)
		return false
	}
	b.written++
	return true
}
