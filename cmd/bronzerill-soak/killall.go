package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Timing of kills of all routers.
const (
	killAllCount = 3
	maxDownTime  = 1500 * time.Millisecond
	// brokenByKill is the time after a kill in which streams count as broken by it.
	brokenByKill = 500 * time.Millisecond
	// versionGap is how long versions stay as a kill has left them.
	versionGap = 4 * time.Second
	// listTime is the time in which routers use a changed list.
	listTime = 1500 * time.Millisecond
	// killedStreams is the number of streams that are begun before each kill.
	killedStreams = 40
)

// hasMixedVersions reports whether engines of two versions serve side by side from the start.
func (c config) hasMixedVersions() bool { return c.seed%2 == 0 }

// killAllInTurn kills all routers at the same moment, several times, the second time soon after
// the first. While they are down, the versions of the engines change.
func killAllInTurn(cfg config, f *fleet, w *world, c *callers, random *rand.Rand) error {
	streams := new(errgroup.Group)
	for i := range killAllCount {
		cfg.recordDisturbance()
		c.beginStreams(streams, random)
		c.afterKills.record(time.Now())
		for _, n := range f.nodes {
			f.signal(n, syscall.SIGKILL)
		}
		for _, n := range f.nodes {
			f.await(n, time.Second)
		}
		restore := w.changeVersions(random)
		time.Sleep(time.Duration(random.Int64N(int64(maxDownTime))))
		for _, n := range f.nodes {
			if err := f.start(n); err != nil {
				return err
			}
		}
		c.afterKills.recordStart(time.Now())
		cfg.recordDisturbance()
		if i > 0 {
			time.Sleep(versionGap)
		} else {
			time.Sleep(time.Duration(random.Int64N(int64(versionGap))))
		}
		restore()
		time.Sleep(listTime)
	}
	time.Sleep(settleTime)
	return streams.Wait()
}

// beginStreams sends requests for streams to all routers, and returns while these run.
func (c *callers) beginStreams(group *errgroup.Group, random *rand.Rand) {
	c.beginStreamsAt(group, func() int { return random.IntN(len(c.fleet.nodes)) })
}

// beginStreamsAt is beginStreams for the routers that pick returns.
func (c *callers) beginStreamsAt(group *errgroup.Group, pick func() int) {
	for range killedStreams {
		router := pick()
		group.Go(func() error {
			client := &http.Client{Timeout: 6 * time.Second}
			defer client.CloseIdleConnections()
			c.sendOne(client, router, "/resumable/")
			return nil
		})
	}
	time.Sleep(streamTime / 2)
}

// changeVersions leaves the versions as they are, or takes the engines of one out of the list, or
// replaces all engines by those of a new one. The function that it returns undoes that.
func (w *world) changeVersions(random *rand.Rand) (restore func()) {
	change, gone := random.IntN(3), versions[random.IntN(len(versions))]
	before := make(map[*backend]string)
	for _, b := range w.backends {
		if b.service != "guides" {
			continue
		}
		b.mu.Lock()
		before[b] = b.version
		b.unlisted = change == 1 && b.version == gone && w.cfg.hasMixedVersions()
		b.mu.Unlock()
		if change == 2 {
			w.replace(b, newVersion)
		}
	}
	return func() {
		for b, version := range before {
			b.mu.Lock()
			b.unlisted = false
			b.mu.Unlock()
			w.replace(b, version)
		}
	}
}

// killOfAll is a kill of all routers, and what became of the streams that it broke.
type killOfAll struct {
	killedAt, startedAt time.Time
	resumed, notResumed int
}

// afterKills counts the streams that were broken by kills of all routers.
type afterKills struct {
	mu    sync.Mutex
	kills []*killOfAll
	// first and last are the times from a start until streams were resumed.
	first, last time.Duration
}

func (a *afterKills) record(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kills = append(a.kills, &killOfAll{killedAt: now})
}

func (a *afterKills) recordStart(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kills[len(a.kills)-1].startedAt = now
}

// count counts a stream that was resumed, or not, if a kill broke it.
func (a *afterKills) count(brokenAt, now time.Time, resumed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, kill := range a.kills {
		if broken := brokenAt.Sub(kill.killedAt); broken < 0 || broken > brokenByKill {
			continue
		}
		if !resumed {
			kill.notResumed++
			return
		}
		kill.resumed++
		after := now.Sub(kill.startedAt)
		if a.first == 0 || after < a.first {
			a.first = after
		}
		a.last = max(a.last, after)
		return
	}
}

func (a *afterKills) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	text := ", after kills of all routers"
	for _, kill := range a.kills {
		text += fmt.Sprintf(" %d of %d", kill.resumed, kill.resumed+kill.notResumed)
	}
	return text + fmt.Sprintf(" streams resumed (%v to %v after a start)", a.first.Round(time.Millisecond), a.last.Round(time.Millisecond))
}
