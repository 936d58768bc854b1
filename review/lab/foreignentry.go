package main

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Bounds of the pages, and how long a server goes on after them.
const (
	drainBound  = 3000 * time.Millisecond
	drainLinger = 1500 * time.Millisecond
)

// foreignEntry is an entry of another writer, with bytes in its ID that can't be read. The braces and the
// quotes are those of any other entry.
const foreignEntry = "{\"service\":\"desk\",\"id\":\"\x01\x02\xff\xfe\",\"zone\":\"zone-a\"}"

// Timing of the release of a server: the new one is listed first, the old one drains a little later and
// ends after its drain.
const (
	releaseGap  = 1500 * time.Millisecond
	releaseTime = 500 * time.Millisecond
)

// playForeignEntry adds an entry that can't be read to the platform's list. Then the servers are released, a
// quarter of them at a time. Later than drain_ms no request may reach an old server.
func playForeignEntry(l *lab) (string, error) {
	if err := l.startFleet(); err != nil {
		return "", err
	}
	if l.trouble {
		l.record.add("TROUBLE: an entry of another writer is in the list: %q", foreignEntry)
		l.platform.setForeign(foreignEntry)
	}
	var callers errgroup.Group
	callers.Go(func() error {
		l.sendEvery(20*time.Millisecond, 15*time.Second, lookupPrefix+"1", l.routers)
		return nil
	})
	time.Sleep(time.Second)
	var drains errgroup.Group
	var late atomic.Int64
	for i, old := range slices.Clone(l.servers) {
		if err := l.startServer(fmt.Sprintf("i-%d", len(zones)+i+1), "desk", old.zone); err != nil {
			return "", err
		}
		l.record.add("a new server is listed in %s", old.zone)
		time.Sleep(releaseTime)
		drainedAt := time.Now()
		l.platform.setState(old.id, "draining")
		l.record.add("the list shows server %s as draining", old.id)
		drains.Go(func() error {
			time.Sleep(drainBound + drainLinger)
			late.Add(int64(old.arrivalsAfter(drainedAt.Add(drainBound))))
			end(old.cmd)
			l.platform.remove(old.id)
			l.record.add("server %s has ended and is no longer listed", old.id)
			return nil
		})
		time.Sleep(releaseGap - releaseTime)
	}
	_, _ = drains.Wait(), callers.Wait() // the tasks return no errors
	l.record.add("%d requests reached servers later than drain_ms after the list showed them as draining", late.Load())
	if late.Load() == 0 {
		return "", nil
	}
	return fmt.Sprintf("DRAIN: %d requests reached draining servers later than %v after the list showed that", late.Load(), drainBound), nil
}
