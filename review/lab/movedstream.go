package main

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// streams is the number of streams, a few for each router and server.
const streams = 96

// crashFor is how long the server is down. The site names 2 s for a quarter of the servers.
const crashFor = 1900 * time.Millisecond

// playMovedStream begins streams, evacuates a zone, and kills a server of another zone later than
// evacuate_ms after the ack. No stream of that server may go on in the evacuated zone.
func playMovedStream(l *lab) (string, error) {
	if err := l.startFleet(); err != nil {
		return "", err
	}
	c := newCallers(l)
	var group errgroup.Group
	for i := range streams {
		r := l.routers[i%len(l.routers)]
		group.Go(func() error { c.stream(r, streamPrefix+"1"); return nil })
		time.Sleep(10 * time.Millisecond)
	}
	evacuated, err := l.order("POST", "/v1/evacuations/zone-b", "", l.routers...)
	if err != nil {
		return "", err
	}
	from := evacuated.Add(evacuateBound)
	time.Sleep(time.Until(from.Add(500 * time.Millisecond)))
	if l.trouble {
		l.record.add("TROUBLE: server %s (%s) crashes", l.servers[0].id, l.servers[0].zone)
		crashed := l.servers[0]
		end(crashed.cmd)
		time.Sleep(crashFor)
		l.platform.remove(crashed.id)
		if err := l.startServer("i-5", "desk", crashed.zone); err != nil {
			return "", err
		}
		l.record.add("the server is back, as i-5")
	}
	_ = group.Wait() // the tasks return no errors
	late := l.arrivalsIn("zone-b", from)
	l.record.add("%d streams, %d requests reached zone-b later than evacuate_ms after its evacuation was acknowledged", streams, late)
	if late == 0 {
		return "", nil
	}
	return fmt.Sprintf("EVAC: %d requests reached servers in zone-b later than %v after its evacuation was acknowledged", late, evacuateBound), nil
}
