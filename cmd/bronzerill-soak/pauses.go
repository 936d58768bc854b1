package main

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Timing of the play of pausing servers.
const (
	pausePlayTime   = 8 * time.Second
	scriptedCallers = 16
	maxChangeGap    = 700 * time.Millisecond
	maxReloadGap    = 150 * time.Millisecond
	// maxReloads is the most SIGHUPs in a series.
	maxReloads = 5
)

// scriptedPaths are the paths of the requests with scripts, by their shares.
var scriptedPaths = []string{
	"/resumable/", "/resumable/", "/resumable/", "/repeatable/", "/repeatable/", "/moved/", "/stream/", "/once/",
}

// playPauses lets sound servers pause and others fail what they get instead, while zones, declared
// states and settings change. In a third of the seeds, a router without a disk is killed meanwhile.
func playPauses(cfg config, f *fleet, w *world, c *callers, o *operator) error {
	w.replaceLeaving()
	time.Sleep(listTime)
	end := time.Now().Add(pausePlayTime)
	group := new(errgroup.Group)
	for i := range scriptedCallers {
		random := rand.New(rand.NewPCG(cfg.seed, uint64(200+i)))
		group.Go(func() error {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: clientTimeout}
			defer client.CloseIdleConnections()
			for time.Now().Before(end) {
				path := scriptedPaths[random.IntN(len(scriptedPaths))]
				router := random.IntN(len(f.nodes))
				c.send(client, router, path, c.newID(router), newScript(random, path))
				time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
			}
			return nil
		})
	}
	group.Go(func() error {
		random := rand.New(rand.NewPCG(cfg.seed, 7))
		for time.Now().Before(end) {
			zone := zoneName(random.IntN(zoneCount))
			o.order(http.MethodPost, zone)
			time.Sleep(time.Duration(random.Int64N(int64(maxChangeGap))))
			o.order(http.MethodDelete, zone)
			time.Sleep(time.Duration(random.Int64N(int64(maxChangeGap))))
		}
		return nil
	})
	group.Go(func() error {
		random := rand.New(rand.NewPCG(cfg.seed, 8))
		for time.Now().Before(end) {
			n := f.nodes[random.IntN(len(f.nodes))]
			for range 1 + random.IntN(maxReloads) {
				// A process that just started doesn't handle the signal yet and would end.
				if !f.hadFault(n.index, time.Now()) {
					f.signal(n, syscall.SIGHUP)
				}
				time.Sleep(time.Duration(random.Int64N(int64(maxReloadGap))))
			}
			time.Sleep(time.Duration(random.Int64N(int64(maxChangeGap))))
		}
		return nil
	})
	if cfg.seed%3 == 0 && cfg.routers > cfg.disks {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(cfg.seed, 9))
			n := f.nodes[cfg.disks+random.IntN(cfg.routers-cfg.disks)]
			time.Sleep(time.Duration(random.Int64N(int64(pausePlayTime))))
			cfg.recordDisturbance()
			defer cfg.recordDisturbance()
			f.signal(n, syscall.SIGKILL)
			f.await(n, time.Second)
			return f.start(n)
		})
	}
	return group.Wait()
}

// replaceLeaving replaces the servers that are leaving by new ones.
func (w *world) replaceLeaving() {
	for _, b := range w.backends {
		b.mu.Lock()
		leaving := b.leaving
		b.mu.Unlock()
		if !leaving {
			continue
		}
		b.leavingSoon.Store(nil)
		w.restart(b, b.nextID(), 0)
		b.mu.Lock()
		b.leaving = false
		b.mu.Unlock()
	}
}
