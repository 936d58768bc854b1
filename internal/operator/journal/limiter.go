package journal

import (
	"expvar"
	"sync"
	"time"
)

var suppressedLines = expvar.NewMap("log-lines-left-out")

// Limiter limits the log lines of one type per second, so that a log stays small under
// load. It counts suppressed lines under its name in the metric log-lines-left-out. It is
// safe for concurrent use.
type Limiter struct {
	name      string
	perSecond int
	mu        sync.Mutex
	// second is the current second in Unix time, and written the number of lines
	// written in it.
	second  int64
	written int
}

// NewLimiter returns a limiter that allows perSecond lines in each second.
func NewLimiter(name string, perSecond int) *Limiter {
	return &Limiter{name: name, perSecond: perSecond}
}

// Allow reports whether a line may be written now. It counts the line as written or
// suppressed.
func (l *Limiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.written = second, 0
	}
	if l.written >= l.perSecond {
		suppressedLines.Add(l.name, 1)
		return false
	}
	l.written++
	return true
}
