package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bronzerill/platform/standin"
)

// Timing of orders for zones.
const (
	// evacuateTime is the time after the acknowledgement of an evacuation in which requests may still
	// reach the zone.
	evacuateTime = 5 * time.Second
	// returnTime is the time after the acknowledgement that a zone is back in which it gets requests.
	returnTime = 5 * time.Second
	// ackTimeout is how long an operator sends an order again.
	ackTimeout = 10 * time.Second
)

// zoneCount is the number of zones of the servers.
const zoneCount = 3

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index%zoneCount) }

// heldOrder holds up the connections on which routers pass on an order for a zone.
type heldOrder struct {
	zone string
	// holds is set while further ones are held up.
	holds    atomic.Bool
	count    atomic.Int32
	released chan struct{}
	once     sync.Once
}

// await blocks if data passes on the order, until that is released. h may be nil.
func (h *heldOrder) await(data []byte) {
	if h == nil || !h.holds.Load() || !bytes.Contains(data, []byte("Propose")) || !bytes.Contains(data, []byte(h.zone)) {
		return
	}
	h.count.Add(1)
	<-h.released
}

// release lets through what is held up. h may be nil.
func (h *heldOrder) release() {
	if h != nil {
		h.once.Do(func() { close(h.released) })
	}
}

// overtakeOrders sends an order to a router that can't pass it on for a while, and newer ones for the
// same zone to others. It does so in two zones: the first one is out at last, and the second is back.
func (w *world) overtakeOrders(o *operator, random *rand.Rand) {
	first := random.IntN(zoneCount)
	out, back := zoneName(first), zoneName(first+1)
	w.cfg.recordDisturbance()
	o.order(http.MethodPost, out)
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	o.overtake(random.IntN(len(o.fleet.nodes)), out, http.MethodDelete, http.MethodPost)
	o.overtake(random.IntN(len(o.fleet.nodes)), back, http.MethodPost, http.MethodDelete)
	time.Sleep(returnTime)
	before := w.arrivalsIn(back)
	time.Sleep(returnTime)
	if w.arrivalsIn(back) == before && w.hasServerIn(back) {
		w.addViolation("no request reached %s from %s to %s after it was acknowledged to be back", back, returnTime, 2*returnTime)
	}
	o.order(http.MethodDelete, out)
}

// overtake sends an order to a router and holds it up on its way to the leader. Then it gets the same
// order and the opposite one acknowledged by other routers, and lets the late one through.
func (o *operator) overtake(router int, zone, late, opposite string) {
	held := &heldOrder{zone: zone, released: make(chan struct{})}
	held.holds.Store(true)
	for _, n := range o.fleet.nodes {
		n.link.held.Store(held)
	}
	status, _, err := o.send(router, late, standin.ZonePath+zone, "")
	held.holds.Store(false)
	if err != nil || status != http.StatusOK {
		o.order(late, zone)
	}
	o.order(opposite, zone)
	o.heldCount += int(held.count.Load())
	held.release()
	o.world.cfg.recordDisturbance()
}

// order sends an order for a zone until a router acknowledges it.
func (o *operator) order(method, zone string) {
	for end := time.Now().Add(ackTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range o.fleet.nodes {
			if method == http.MethodDelete {
				o.world.setOut(zone, time.Time{})
			}
			status, _, err := o.send(i, method, standin.ZonePath+zone, "")
			if err != nil || status != http.StatusOK {
				continue
			}
			if method == http.MethodPost {
				o.world.setOut(zone, time.Now())
			}
			return
		}
	}
	o.world.addViolation("%s of %s was not acknowledged", method, zone)
}

// setOut sets since when a zone is out, or zero if it isn't.
func (w *world) setOut(zone string, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outSince[zone] = since
}

// checkZone counts a request that reached a server, and checks that its zone isn't out.
func (w *world) checkZone(b *backend, id string, now time.Time) {
	w.mu.Lock()
	w.arrivals[b.zone]++
	since := w.outSince[b.zone]
	w.mu.Unlock()
	if late := now.Sub(since); !since.IsZero() && late > evacuateTime && w.cfg.isSettled() {
		w.addViolation("request %s reached %s in %s, %s after it was acknowledged to be out", id, b.id, b.zone, late)
	}
}

func (w *world) arrivalsIn(zone string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals[zone]
}

// hasServerIn reports whether a server in a zone isn't leaving.
func (w *world) hasServerIn(zone string) bool {
	for _, b := range w.backends {
		b.mu.Lock()
		has := b.zone == zone && !b.leaving && !b.unlisted
		b.mu.Unlock()
		if has {
			return true
		}
	}
	return false
}
