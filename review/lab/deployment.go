package main

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// evacuateBound is the bound of the pages for evacuations.
const evacuateBound = 5000 * time.Millisecond

// zones are those of the deployment: in each one a router with a disk and one without, and a server. The
// first zone has one more router without a disk.
var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// startFleet starts nine routers and four servers and waits until they serve.
func (l *lab) startFleet() error {
	if err := l.startPlatform(); err != nil {
		return err
	}
	for i, zone := range zones {
		if err := l.startServer(fmt.Sprintf("i-%d", i+1), "desk", zone); err != nil {
			return err
		}
	}
	if err := l.startRouters(slices.Concat(zones, zones, zones[:1]), len(zones)); err != nil {
		return err
	}
	state, err := desiredState(1, "desk")
	if err != nil {
		return err
	}
	if _, err := l.order("PUT", "/v1/config", state, l.routers...); err != nil {
		return err
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	l.sendEvery(50*time.Millisecond, 2*time.Second, lookupPrefix+"1", l.routers)
	return nil
}

// sendEvery sends idempotent requests to the routers in turn and returns their number.
func (l *lab) sendEvery(interval, length time.Duration, path string, routers []*router) int {
	c := newCallers(l)
	var group errgroup.Group
	sent := 0
	for end := time.Now().Add(length); time.Now().Before(end); sent++ {
		r := routers[sent%len(routers)]
		group.Go(func() error { c.send(r, path); return nil })
		time.Sleep(interval)
	}
	_ = group.Wait() // the tasks return no errors
	return sent
}

// arrivalsIn returns the number of requests that reached the servers of a zone after a time.
func (l *lab) arrivalsIn(zone string, after time.Time) int {
	arrivals := 0
	for _, b := range l.servers {
		if b.zone == zone {
			arrivals += b.arrivalsAfter(after)
		}
	}
	return arrivals
}
