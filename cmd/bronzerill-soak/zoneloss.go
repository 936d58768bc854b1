package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Parameters of the loss of a zone's servers.
const (
	maxZoneDown = 1500 * time.Millisecond
	// coldStart is how long a server is cold that starts during a run, and coldPerSecond the rate of
	// requests that it bears then.
	coldStart     = 2 * time.Second
	coldPerSecond = 10
	// boundNotice is the time after the servers are back from which the load bound holds again, and
	// boundWindow the time in which requests are counted.
	boundNotice = 3 * time.Second
	boundWindow = 5 * time.Second
	// zoneLossCallers is the number of callers that press then.
	zoneLossCallers = 60
	// maxThinkTime is how long callers wait at most before their next request. Callers that don't
	// wait fall in step, and few engines get more than their bound (KNOWN-RED.txt).
	maxThinkTime = 100 * time.Millisecond
)

// engineLoads checks the loads at which requests reach the engines. Other servers have no bound.
type engineLoads struct {
	mu sync.Mutex
	// since is when the bound began to hold, zero while it isn't checked.
	since        time.Time
	total, above int
}

// arrive counts a request that reached a server. It returns the server's load, to be lowered when the
// request ends.
func (w *world) arrive(b *backend, now time.Time) *atomic.Int32 {
	w.loads.mu.Lock()
	defer w.loads.mu.Unlock()
	if b.service == "guides" && w.isBoundChecked(now) {
		sum, engines := 0, 0
		for _, other := range w.backends {
			if other.service == b.service {
				sum += int(other.inFlight.Load())
				engines++
			}
		}
		w.loads.total++
		if float64(b.inFlight.Load()) > 2*float64(sum)/float64(engines)+3 {
			w.loads.above++
		}
	}
	b.inFlight.Add(1)
	return &b.inFlight
}

// isBoundChecked reports whether the load bound holds. The caller holds the lock of the loads.
func (w *world) isBoundChecked(now time.Time) bool {
	return !w.loads.since.IsZero() && !now.Before(w.loads.since) && now.Sub(w.loads.since) < boundWindow
}

// coldRemaining returns how much longer a server is cold.
func (b *backend) coldRemaining(now time.Time) time.Duration {
	return max(0, b.coldUntil.Sub(now))
}

// loseZones lets the servers of a zone fail and come back cold under new IDs, several times, while
// declared states go on changing and many callers press.
func loseZones(cfg config, f *fleet, w *world, c *callers, random *rand.Rand) error {
	for range cfg.zoneLosses {
		zone := zoneName(random.IntN(zoneCount))
		down := time.Duration(500+random.Int64N(int64(maxZoneDown/time.Millisecond)-500)) * time.Millisecond
		group := new(errgroup.Group)
		for _, b := range w.backends {
			if b.zone == zone {
				group.Go(func() error {
					w.restart(b, b.nextID(), down)
					b.mu.Lock()
					defer b.mu.Unlock()
					b.coldUntil = time.Now().Add(coldStart)
					return nil
				})
			}
		}
		if err := group.Wait(); err != nil {
			return err
		}
		w.loads.mu.Lock()
		w.loads.since, w.loads.total, w.loads.above = time.Now().Add(boundNotice), 0, 0
		w.loads.mu.Unlock()
		end := time.Now().Add(boundNotice + boundWindow)
		for i := range zoneLossCallers {
			think := rand.New(rand.NewPCG(cfg.seed, uint64(200+i)))
			group.Go(func() error {
				client := &http.Client{Timeout: 6 * time.Second}
				defer client.CloseIdleConnections()
				for time.Now().Before(end) {
					c.sendOne(client, i%len(f.nodes), "/stream/")
					if !cfg.inStep {
						time.Sleep(time.Duration(think.Int64N(int64(maxThinkTime))))
					}
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		w.loads.mu.Lock()
		total, above := w.loads.total, w.loads.above
		w.loads.since = time.Time{}
		w.loads.mu.Unlock()
		if above >= 20 && above*100 > 3*total {
			w.addViolation("%d of %d requests reached engines above the load bound in %v, from %v after the servers of %s were back", above, total, boundWindow, boundNotice, zone)
		}
		c.zoneLosses = append(c.zoneLosses, fmt.Sprintf("%d of %d", above, total))
	}
	return nil
}
