package caller

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxTimeoutRoutes limits the number of routes with a recorded timeout.
	maxTimeoutRoutes = 1024
	// fullTimeoutShare is the share of the longest timeout below which a caller is
	// assumed to have spent part of its timeout on an earlier attempt.
	fullTimeoutShare = 0.95
)

// timeoutTable holds the longest timeout that callers sent on each route. A caller that
// retries after a refusal sends a shorter timeout. No other property marks a retry.
type timeoutTable struct {
	mu     sync.Mutex
	routes *lru.Cache[string, time.Duration]
}

func newTimeoutTable() timeoutTable {
	// lru.New fails only for sizes below 1.
	routes, _ := lru.New[string, time.Duration](maxTimeoutRoutes)
	return timeoutTable{routes: routes}
}

// isShort records the timeout of a caller and reports whether it is shorter than
// usual on the route.
func (t *timeoutTable) isShort(route string, timeout time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest, _ := t.routes.Get(route)
	if timeout > longest {
		longest = timeout
		t.routes.Add(route, longest)
	}
	return timeout.Seconds() < fullTimeoutShare*longest.Seconds()
}

// isRetry reports whether the caller was probably refused before.
func (e *exchange) isRetry() bool {
	return e.request.Timeout > 0 && e.timeouts.isShort(e.route.Name, e.request.Timeout)
}
