// Package httpheader decodes headers of HTTP that several protocols here use.
package httpheader

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// MaxRetryAfter limits the pause that a server can ask for. A server with a broken
// configuration would get no requests for as long as its process lives.
const MaxRetryAfter = time.Hour

// RetryAfter returns the pause that a Retry-After header asks for, at most MaxRetryAfter, and
// 0 without the header. The value is a number of seconds, which may have a fraction, or a
// date relative to the server's own time in the Date header.
func RetryAfter(h http.Header) (time.Duration, error) {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if value == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err == nil || errors.Is(err, strconv.ErrRange) {
		if math.IsNaN(seconds) || seconds < 0 || err == nil && math.IsInf(seconds, 1) {
			return 0, errors.Errorf("%s seconds", value)
		}
		return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second)), nil
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, errors.Wrap(err, "neither seconds nor a date")
	}
	now, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0, errors.Wrap(err, "no server time beside the date")
	}
	return min(max(0, until.Sub(now)), MaxRetryAfter), nil
}

// Backoff keeps to the pauses that one server asks for. It is safe for concurrent use.
type Backoff struct {
	mu    sync.Mutex
	until time.Time
}

// Record records the pause that a response asks for, if the server refused the request with
// it. It reports whether there is one.
func (b *Backoff) Record(now time.Time, status int, h http.Header) bool {
	if status != http.StatusServiceUnavailable {
		return false
	}
	// An unreadable pause is none.
	pause, err := RetryAfter(h)
	if err != nil || pause <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := now.Add(pause); until.After(b.until) {
		b.until = until
	}
	return true
}

// Remaining returns how much longer the server wants no requests, at most 0 if it takes them.
func (b *Backoff) Remaining(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.until.Sub(now)
}
