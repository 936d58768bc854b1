package holder

import "time"

// Parameters for the detection of mass losses.
const (
	// lossWindow is the time within which losses of servers count as one event.
	lossWindow = 5 * time.Second
	// massLossServers is the smallest number of lost servers of one pool that counts
	// as a mass loss. One request can't crash that many servers within lossWindow.
	massLossServers = 3
	// maxLosses bounds the number of losses that are recorded.
	maxLosses = 4096
)

// lossKey identifies the agent of a loss.
type lossKey struct{ pool, agent string }

// losses holds the agents that entries recently reported as lost. After the loss
// of a rack or a zone, or in a network partition, many agents are lost at the
// same time.
type losses struct {
	// reportedAt holds the time of the last report by agent.
	reportedAt map[lossKey]time.Time
}

func newLosses() *losses { return &losses{reportedAt: make(map[lossKey]time.Time)} }

// add records that an agent is lost, and drops losses older than lossWindow.
func (l *losses) add(now time.Time, pool, agent string) {
	for key, at := range l.reportedAt {
		if now.Sub(at) > lossWindow {
			delete(l.reportedAt, key)
		}
	}
	if len(l.reportedAt) < maxLosses {
		l.reportedAt[lossKey{pool, agent}] = now
	}
}

// isMassLoss reports whether more servers of the pool were lost within lossWindow
// than one request could have crashed.
func (l *losses) isMassLoss(now time.Time, pool string) bool {
	count := 0
	for key, at := range l.reportedAt {
		if key.pool == pool && now.Sub(at) <= lossWindow {
			count++
		}
	}
	return count >= massLossServers
}
