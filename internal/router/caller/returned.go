package caller

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxPatienceRoutes bounds the routes whose callers' patience is remembered.
	maxPatienceRoutes = 1024
	// returnedShare is the part of the usual patience below which a caller has
	// spent some of it on an earlier try.
	returnedShare = 0.95
)

// patienceTable holds the longest patience of callers by route. A caller that was
// refused and comes back has less of it left; nothing else tells it from others.
type patienceTable struct {
	mu     sync.Mutex
	routes *lru.Cache[string, time.Duration]
}

func newPatienceTable() patienceTable {
	// The size is above 0, so no error is possible.
	routes, _ := lru.New[string, time.Duration](maxPatienceRoutes)
	return patienceTable{routes: routes}
}

// isShort notes the patience of a caller and reports whether it is shorter than
// usual on the route.
func (t *patienceTable) isShort(route string, patience time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest, _ := t.routes.Get(route)
	if patience > longest {
		longest = patience
		t.routes.Add(route, longest)
	}
	return patience.Seconds() < returnedShare*longest.Seconds()
}

// hasReturned reports whether the caller seems to have been refused before.
func (x *exchange) hasReturned() bool {
	return x.request.Timeout > 0 && x.patience.isShort(x.route.Name, x.request.Timeout)
}
