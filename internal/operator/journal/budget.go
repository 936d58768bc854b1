package journal

import (
	"expvar"
	"sync"
	"time"
)

var leftOut = expvar.NewMap("log-lines-left-out")

// Limiter bounds the lines of one sort in each second, so that a log stays small
// under load. What it leaves out is counted under its name.
type Limiter struct {
	name      string
	perSecond int
	mu        sync.Mutex
	second    int64
	written   int
}

// NewLimiter returns a budget of lines a second.
func NewLimiter(name string, perSecond int) *Limiter {
	return &Limiter{name: name, perSecond: perSecond}
}

// Allow reports whether one more line may be written now.
func (b *Limiter) Allow(now time.Time) bool {
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
