package main

import (
	"fmt"
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

// playForeignEntry adds an entry that can't be read to the platform's list. Then all servers are replaced: the
// new ones are listed first, the old ones drain and end. Later than drain_ms no request may reach an
// old server.
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
		l.sendEvery(20*time.Millisecond, 14*time.Second, lookupPrefix+"1", l.routers)
		return nil
	})
	time.Sleep(time.Second)
	old := l.servers
	for i, zone := range zones {
		if err := l.startServer(fmt.Sprintf("i-%d", len(zones)+i+1), "desk", zone); err != nil {
			return "", err
		}
	}
	l.record.add("four new servers are listed")
	time.Sleep(2 * time.Second)
	drainedAt := time.Now()
	for _, b := range old {
		l.platform.setState(b.id, "draining")
	}
	l.record.add("the list shows the four old servers as draining")
	time.Sleep(drainBound + drainLinger)
	late := 0
	for _, b := range old {
		late += b.arrivalsAfter(drainedAt.Add(drainBound))
		end(b.cmd)
		l.platform.remove(b.id)
	}
	l.record.add("the old servers have ended and are no longer listed")
	_ = callers.Wait() // the task returns no error
	l.record.add("%d requests reached servers later than drain_ms after the list showed them as draining", late)
	if late == 0 {
		return "", nil
	}
	return fmt.Sprintf("DRAIN: %d requests reached draining servers later than %v after the list showed that", late, drainBound), nil
}
