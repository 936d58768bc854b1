package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bronzerill/internal/router/declared"
	"bronzerill/platform/standin"
)

// Parameters of probes for the declared state in force.
const (
	// applyTime is the time after an acknowledgement from which a state is in force everywhere.
	applyTime = 2 * time.Second
	// keptRoutes is the number of states that have the route and the key of a number, from that number on.
	keptRoutes    = 40
	probeInterval = 120 * time.Millisecond
	probeTimeout  = 3 * time.Second
)

// acks records which declared states were sent and acknowledged.
type acks struct {
	mu sync.Mutex
	// sent is the number of the newest document sent.
	sent int
	list []ack
}

// ack is the first acknowledgement of a document.
type ack struct {
	number, router int
	at             time.Time
}

// newest returns the newest document that was acknowledged at least age before now, with number 0 if there is none.
func (a *acks) newest(now time.Time, age time.Duration) ack {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.list) - 1; i >= 0; i-- {
		if now.Sub(a.list[i].at) >= age {
			return a.list[i]
		}
	}
	return ack{}
}

func (a *acks) add(number, router int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, ack{number, router, now})
}

func (a *acks) setSent(number int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = number
}

// isKept reports whether all documents from a number up to the newest one sent have that number's route and key.
func (a *acks) isKept(number int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent-number < keptRoutes
}

func sincePrefix(number int) string { return fmt.Sprintf("/since-%d/", number) }

func sinceKey(number int) string { return fmt.Sprintf("key-%d", number) }

// withKept adds the routes and keys of the newest numbers to a document.
func withKept(d declared.Document, route func(name string) declared.Route) declared.Document {
	d.RequiresKey = true
	for i := range d.Routes {
		d.Routes[i].Public = true
	}
	keyed := route("keyed")
	d.Routes = append(d.Routes, keyed)
	customer := declared.Customer{Name: "customer"}
	for number := max(1, int(d.Number)-keptRoutes+1); number <= int(d.Number); number++ {
		since := route(fmt.Sprintf("since-%d", number))
		since.Public = true
		d.Routes = append(d.Routes, since)
		customer.Keys = append(customer.Keys, sinceKey(number))
	}
	d.Customers = append(d.Customers, customer)
	return d
}

// probeStates asks one router all the time for a route or with a key that the newest state in force has, or
// no longer has, until ctx ends.
func (c *callers) probeStates(ctx context.Context, o *operator, router int, random *rand.Rand) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		now := time.Now()
		if newest := o.acks.newest(now, applyTime); newest.number > 0 {
			c.probeState(client, o, router, newest, now, random)
		}
		time.Sleep(probeInterval)
	}
}

func (c *callers) probeState(client *http.Client, o *operator, router int, newest ack, now time.Time, random *rand.Rand) {
	settled := c.world.cfg.isSettled()
	number, prefix, gone := newest.number, sincePrefix(newest.number), false
	switch random.IntN(4) {
	case 0:
		number -= keptRoutes
		prefix, gone = sincePrefix(number), true
	case 1, 2:
		prefix = "/keyed/"
	}
	id := c.newID(router)
	request, err := http.NewRequest(http.MethodGet, "http://"+c.fleet.addr(router, "callers")+prefix+id, nil)
	if err != nil {
		c.world.addViolation("probe not built: %v", err)
		return
	}
	request.Host = "h"
	standin.SetRequestHeaders(request, id, probeTimeout)
	standin.SetKey(request, sinceKey(newest.number))
	response, err := client.Do(request)
	if err != nil {
		return
	}
	data, _ := io.ReadAll(response.Body) // an answer that is cut short is none
	_ = response.Body.Close()
	c.world.probes.count(response.StatusCode, standin.ErrorName(string(data)))
	refused := response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusUnauthorized
	switch {
	case !gone && refused && o.acks.isKept(number):
		c.world.addViolation("router %d refused %s (%d) though router %d had acknowledged state %d %s before (settled: %v)",
			router, prefix, response.StatusCode, newest.router, newest.number, now.Sub(newest.at).Round(time.Millisecond), settled)
	case gone && response.StatusCode == http.StatusOK && settled:
		c.world.addViolation("router %d served %s, which state %d doesn't have that router %d had acknowledged %s before",
			router, prefix, newest.number, newest.router, now.Sub(newest.at).Round(time.Millisecond))
	}
}

// probeCounts counts the answers to probes.
type probeCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (p *probeCounts) count(status int, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = make(map[string]int)
	}
	if status == http.StatusOK {
		reason = "served"
	}
	p.counts[reason]++
}

func (p *probeCounts) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf(", probes of the state %v", p.counts)
}
