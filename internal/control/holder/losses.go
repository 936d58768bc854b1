package holder

import "time"

// Parameters for the detection of mass losses.
const (
	// lossWindow is the time in which losses of servers count as one event.
	lossWindow = 5 * time.Second
	// massLossServers is the number of lost servers of one pool that makes a mass
	// loss. One request can't crash that many servers within lossWindow.
	massLossServers = 3
	// maxLosses bounds the number of losses that are recorded.
	maxLosses = 4096
)

// lossKey identifies the agent of a loss.
type lossKey struct{ pool, agent string }

// losses holds the agents that entries recently reported as gone. After the loss
// of a rack or a zone, or in a network partition, many agents are gone at the
// same time.
type losses struct {
	// seen holds the time of the last report by agent.
	seen map[lossKey]time.Time
}

func newLosses() *losses { return &losses{seen: make(map[lossKey]time.Time)} }

// add records that an agent is gone, and drops losses older than lossWindow.
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

// isMassLoss reports whether more servers of the pool are gone than a request
// that crashes servers could cause.
func (l *losses) isMassLoss(now time.Time, pool string) bool {
	count := 0
	for key, at := range l.seen {
		if key.pool == pool && now.Sub(at) <= lossWindow {
			count++
		}
	}
	return count >= massLossServers
}
