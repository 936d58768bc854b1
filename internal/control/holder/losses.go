package holder

import "time"

// Parameters of the table of losses.
const (
	// lossWindow is how close together losses count as one event.
	lossWindow = 5 * time.Second
	// massLossServers is the number of servers of one pool that one request can't have
	// crashed in so short a time.
	massLossServers  = 3
	maxLosses = 4096
)

type lossKey struct{ pool, agent string }

// losses holds the agents that entries have lately found gone. The loss of a
// rack or a zone, or a partition, shows as many at once.
type losses struct {
	seen map[lossKey]time.Time
}

func newLosses() *losses { return &losses{seen: make(map[lossKey]time.Time)} }

// add notes that an agent is gone.
func (l *losses) add(now time.Time, pool, agent string) {
	for key, at := range l.seen {
		if now.Sub(at) > lossWindow {
			delete(l.seen, key)
		}
	}
	if len(l.seen) < maxLosses {
		l.seen[lossKey{pool, agent}] = now
	}
}

// isMassLoss reports whether more servers of the pool are gone than a request that
// crashes its server can explain.
func (l *losses) isMassLoss(now time.Time, pool string) bool {
	count := 0
	for key, at := range l.seen {
		if key.pool == pool && now.Sub(at) <= lossWindow {
			count++
		}
	}
	return count >= massLossServers
}
