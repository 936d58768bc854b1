package main

import (
	"fmt"
	"time"
)

// cutFor is the length of the cut. The site names 5.5 s at most.
const cutFor = 5300 * time.Millisecond

// playLateOrder cuts one router without a disk off from the others for some seconds. It gets an order to
// take a zone back, can't pass it on and says so. The operator gets the order acknowledged by another
// router, and evacuates the zone again. After the cut no request may reach the zone.
func playLateOrder(l *lab) (string, error) {
	if err := l.startFleet(); err != nil {
		return "", err
	}
	last := len(l.routers) - 1
	cutOff, others := l.routers[last], l.routers[:last]
	// The first evacuation goes through the router that is cut off later, which opens its connection to the leader.
	if _, err := l.order("POST", "/v1/evacuations/zone-b", "", cutOff); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if l.trouble {
		l.record.add("TROUBLE: %s is cut off from all other routers for %v", cutOff.name, cutFor)
		l.setCutOff(cutOff, true)
	}
	cutAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	if _, err := l.order("DELETE", "/v1/evacuations/zone-b", "", append([]*router{cutOff}, others...)...); err != nil {
		return "", err
	}
	time.Sleep(time.Until(cutAt.Add(3500 * time.Millisecond)))
	evacuated, err := l.order("POST", "/v1/evacuations/zone-b", "", others...)
	if err != nil {
		return "", err
	}
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	if l.trouble {
		l.record.add("TROUBLE: %s is reconnected", cutOff.name)
		l.setCutOff(cutOff, false)
	}
	from := evacuated.Add(evacuateBound)
	time.Sleep(time.Until(from.Add(200 * time.Millisecond)))
	sent := l.sendEvery(50*time.Millisecond, 5*time.Second, lookupPrefix+"1", others)
	late := l.arrivalsIn("zone-b", from)
	l.record.add("%d requests sent later than evacuate_ms after the ack of the last evacuation, %d of them reached zone-b", sent, late)
	if late == 0 {
		return "", nil
	}
	return fmt.Sprintf("EVAC: %d requests reached servers in zone-b later than %v after its evacuation was acknowledged; it was not taken back since", late, evacuateBound), nil
}

// setCutOff cuts one router off from all others in both directions, or reconnects it.
func (l *lab) setCutOff(cutOff *router, cut bool) {
	for _, r := range l.routers {
		if r != cutOff {
			r.link.setCut(cutOff, cut)
			cutOff.link.setCut(r, cut)
		}
	}
	// Connections whose opener isn't known belong to none of the others.
	cutOff.link.setCut(nil, cut)
}
