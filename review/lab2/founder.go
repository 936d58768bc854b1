package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the case of the first start.
const (
	// lossAfterStart is when the disk is lost, and trafficStart when clients begin, both from the
	// start of the machines.
	lossAfterStart = time.Second
	trafficStart   = 10 * time.Second
	// trafficTime is how long clients send requests, which is longer than recovery_s after the
	// machine is back.
	trafficTime   = 35 * time.Second
	requestPause  = 250 * time.Millisecond
	requestBudget = 1500 * time.Millisecond
)

// playFounder lets the machine with the lowest address lose its disk shortly after the first start of
// the system. The operator sends the first desired state until it is acknowledged.
func playFounder(l *lab) (broken int, err error) {
	if _, err := l.addServer("sound", l.fleet.routers[0].zone, 5*time.Millisecond); err != nil {
		return 0, err
	}
	startedAt := time.Now()
	for _, r := range l.fleet.routers {
		if err := l.fleet.start(r, true); err != nil {
			return 0, err
		}
	}
	time.Sleep(lossAfterStart)
	if l.trouble {
		if err := l.loseDisk(l.fleet.routers[0]); err != nil {
			return 0, err
		}
	}
	backAt := time.Now()
	l.tasks.Go(func() {
		if err := l.fleet.declare(lengthDocument, trafficStart+trafficTime); err != nil {
			l.record.add("operator", "%v", err)
		}
	})
	time.Sleep(time.Until(startedAt.Add(trafficStart)))
	served, late, lateServed := 0, 0, 0
	for i := 0; time.Since(startedAt) < trafficStart+trafficTime; i++ {
		isLate := time.Since(backAt) > recovery
		ok := l.isServed(l.fleet.routers[i%len(l.fleet.routers)], fmt.Sprintf("request-%d", i))
		if ok {
			served++
		}
		if isLate {
			late++
			if ok {
				lateServed++
			}
		}
		time.Sleep(requestPause)
	}
	l.record.add("result", "%d requests were served; of %d that were sent later than %v after all machines were back: %d", served, late, recovery, lateServed)
	if served == 0 {
		return 1, nil
	}
	return 0, nil
}

// isServed sends one request to a router on a new channel, and reports whether it is answered with success.
func (l *lab) isServed(r *router, id string) bool {
	c, err := openChannel(l.record, "client", l.fleet.addr(r, portCallers))
	if err != nil {
		l.record.add("client", "%s: no channel to %s: %v", id, r.name, err)
		return false
	}
	defer c.close()
	a := c.ask(id+" at "+r.name, request("/sound/2f", id, requestBudget), requestBudget)
	return a.status == http.StatusOK
}
