package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/router/declared"
	"bronzerill/platform/standin"
)

// operator sends declared states to the routers and reads them back.
type operator struct {
	fleet *fleet
	world *world
	// number is that of the newest document sent, ackedNumber that of the newest document
	// acknowledged.
	number, ackedNumber int
	ackCount            atomic.Int64
	// heldCount is the number of orders for zones that were held up.
	heldCount int
	acks      acks
}

// routeTimeouts are the timeouts of routes in turn.
var routeTimeouts = []time.Duration{5 * time.Second, shortestTimeout, 6 * time.Second}

const shortestTimeout = 4 * time.Second

// addedRoutes is the number of routes that are declared in turn.
const addedRoutes = 3

// document returns a declared state with the current number. Timeouts, the service of one route and
// the name of another change with the number.
func (o *operator) document() string {
	timeout, movedTo := routeTimeouts[o.number%len(routeTimeouts)], "guides"
	if o.number%2 == 0 {
		movedTo = "desk"
	}
	route := func(name, service string, kind declared.Kind, attempts int, resumable bool) declared.Route {
		return declared.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: timeout,
			Objective: 300 * time.Millisecond, PauseObjective: 300 * time.Millisecond,
			MaxAttempts: attempts, Resumable: resumable, Targets: []declared.Target{{Service: service}},
		}
	}
	return standin.Document(withKept(declared.Document{
		Number: uint64(o.number),
		Routes: []declared.Route{
			route("once", "desk", declared.Once, 1, false), route("repeatable", "desk", declared.Repeatable, 2, false),
			route("stream", "guides", declared.Stream, 1, false), route("resumable", "guides", declared.Stream, 2, true),
			route("moved", movedTo, declared.Stream, 2, true), route(fmt.Sprintf("added-%d", o.number%addedRoutes), "desk", declared.Repeatable, 2, false),
		},
		Services: []declared.Service{{Name: "guides", ColdStart: coldStart, ColdPerSecond: coldPerSecond, Engine: &declared.Engine{Slots: 48, CacheTokens: 1000}}, {Name: "desk"}},
	}, func(name string) declared.Route { return route(name, "desk", declared.Repeatable, 2, false) }))
}

// declare sends the next declared state until a router acknowledges it or the timeout
// ends. It reports whether one did.
func (o *operator) declare(timeout time.Duration) bool {
	o.number++
	o.acks.setSent(o.number)
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		for i := range o.fleet.nodes {
			if status, _, err := o.send(i, http.MethodPut, standin.ConfigPath, o.document()); err == nil && status == http.StatusOK {
				o.ackedNumber = o.number
				o.acks.add(o.number, i, time.Now())
				o.ackCount.Add(1)
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// send sends a request to the operator port of a router and returns status and body of
// the response.
func (o *operator) send(router int, method, path, body string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+o.fleet.addr(router, "operators")+path, strings.NewReader(body))
	if err != nil {
		return 0, "", errors.Wrap(err, "build operator request")
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(data), err
}

// run sends declared states and reads them from random routers until ctx ends.
func (o *operator) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		o.declare(3 * time.Second)
		o.read(random.IntN(len(o.fleet.nodes)))
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}

// read checks that a router returns no state older than the newest one acknowledged
// before the read. It reports whether the router returned a state.
func (o *operator) read(router int) bool {
	minNumber := o.ackedNumber
	status, body, err := o.send(router, http.MethodGet, standin.ConfigPath, "")
	if err != nil || status != http.StatusOK {
		return false
	}
	if standin.Number(body) < uint64(minNumber) {
		o.world.addViolation("router %d returned %q after %d was acknowledged", router, body[:min(len(body), 30)], minNumber)
	}
	return true
}

// checkNewest checks that every router returns the newest state.
func (o *operator) checkNewest() {
	for i := range o.fleet.nodes {
		done := false
		for end := time.Now().Add(8 * time.Second); !done && time.Now().Before(end); {
			if done = o.read(i); !done {
				time.Sleep(100 * time.Millisecond)
			}
		}
		if !done {
			o.world.addViolation("router %d did not return the declared state", i)
		}
	}
}
