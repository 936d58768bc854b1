package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/router/declared"
	"bronzerill/platform/standin"
)

// config configures the run of one seed.
type config struct {
	program, folder string
	seed            uint64
	routers, disks  int
	faultTime       time.Duration
	tasks           *errgroup.Group
	// lastDisturbance is when a fault last hit a router or its link, in Unix nanoseconds.
	lastDisturbance *atomic.Int64
}

// settleTime is the time after the last fault of a router or link from which guarantees
// with a time bound hold again.
const settleTime = 4 * time.Second

// isSettled reports whether guarantees with a time bound hold.
func (c config) isSettled() bool {
	return time.Since(time.Unix(0, c.lastDisturbance.Load())) > settleTime
}

// recordDisturbance records a fault of a router or link.
func (c config) recordDisturbance() { c.lastDisturbance.Store(time.Now().UnixNano()) }

// runSeed runs one seed and returns the violated guarantees and a summary.
func runSeed(ctx context.Context, cfg config) (violations []string, report string, err error) {
	cfg.tasks = new(errgroup.Group)
	cfg.lastDisturbance = new(atomic.Int64)
	w, err := newWorld(cfg)
	if err != nil {
		return nil, "", err
	}
	f, err := newFleet(cfg, w.listAddr)
	if err != nil {
		return nil, "", err
	}
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return nil, "", err
		}
	}
	o := &operator{fleet: f, world: w}
	callersCtx, stopCallers := context.WithCancel(ctx)
	c := &callers{fleet: f, world: w}
	workers := new(errgroup.Group)
	if o.declare(20 * time.Second) {
		for i := range 8 {
			random := rand.New(rand.NewPCG(cfg.seed, uint64(100+i)))
			workers.Go(func() error { c.run(callersCtx, random); return nil })
		}
		workers.Go(func() error { o.run(callersCtx, rand.New(rand.NewPCG(cfg.seed, 50))); return nil })
		injectFaults(ctx, cfg, f, w)
		w.limitServers(rand.New(rand.NewPCG(cfg.seed, 2)))
		if served := c.countServed(); served < 16 {
			w.addViolation("only %d of 20 requests were served after the faults", served)
		}
	} else {
		w.addViolation("no declared state was accepted at the start")
	}
	stopCallers()
	if err := workers.Wait(); err != nil {
		return nil, "", err
	}
	o.checkNewest()
	f.stopAll()
	w.stop()
	if err := cfg.tasks.Wait(); err != nil {
		return nil, "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violations, fmt.Sprintf("%s, %d changes", c, o.ackCount.Load()), nil
}

// injectFaults injects the seed's faults, some of them at the same time. The kinds 0 to
// 4 are faults of a router, 5 to 8 of a server, and 9 to 11 of a link.
func injectFaults(ctx context.Context, cfg config, f *fleet, w *world) {
	random := rand.New(rand.NewPCG(cfg.seed, 1))
	group := new(errgroup.Group)
	busy := make([]atomic.Bool, len(f.nodes))
	var diskDown atomic.Bool
	for end := time.Now().Add(cfg.faultTime); time.Now().Before(end) && ctx.Err() == nil; {
		n := f.nodes[random.IntN(len(f.nodes))]
		b := w.backends[random.IntN(len(w.backends))]
		kind, duration := random.IntN(12), time.Duration(300+random.IntN(1500))*time.Millisecond
		group.Go(func() error {
			if kind >= 5 && kind < 9 {
				injectServerFault(kind, w, b, duration)
				return nil
			}
			// At most one router with a disk may be down at a time.
			if !busy[n.index].CompareAndSwap(false, true) {
				return nil
			}
			defer busy[n.index].Store(false)
			if n.hasDisk {
				if !diskDown.CompareAndSwap(false, true) {
					return nil
				}
				defer diskDown.Store(false)
			}
			cfg.recordDisturbance()
			defer cfg.recordDisturbance()
			if kind >= 9 {
				injectLinkFault(kind, n, duration)
				return nil
			}
			return injectRouterFault(kind, f, w, n, duration)
		})
		time.Sleep(time.Duration(100+random.IntN(600)) * time.Millisecond)
	}
	if err := group.Wait(); err != nil {
		w.addViolation("failed to restart a router: %v", err)
	}
	for _, b := range w.backends {
		b.proxy.blocked.Store(0)
		b.proxy.delay.Store(0)
	}
	for _, n := range f.nodes {
		n.link.heal()
	}
}

// injectLinkFault resets, delays or blocks the link of one router.
func injectLinkFault(kind int, n *node, duration time.Duration) {
	switch kind {
	case 9:
		n.link.resetAll()
	case 10:
		n.link.delay.Store(int64(duration / 8))
		time.Sleep(duration)
		n.link.delay.Store(0)
	case 11:
		// Lasts long enough for an election, and affects one direction or both.
		n.link.partition(forward+int32(duration.Milliseconds()%3), 2*duration)
	}
	if n.hasDisk {
		time.Sleep(catchUpTime)
	}
}

// catchUpTime is the time that a replica gets to catch up before the next one may fail.
const catchUpTime = 4 * time.Second

// injectRouterFault pauses a router, or stops and restarts it, in one case with an
// empty disk.
func injectRouterFault(kind int, f *fleet, w *world, n *node, duration time.Duration) error {
	switch kind {
	case 0:
		f.signal(n, syscall.SIGSTOP)
		time.Sleep(duration)
		f.signal(n, syscall.SIGCONT)
		return nil
	case 1, 2:
		f.signal(n, syscall.SIGKILL)
		f.await(n, time.Second)
		time.Sleep(duration)
	case 3:
		f.signal(n, syscall.SIGTERM)
		if !f.await(n, 9*time.Second) {
			w.addViolation("router %d did not exit cleanly after SIGTERM", n.index)
		}
	case 4:
		f.signal(n, syscall.SIGKILL)
		f.await(n, time.Second)
		n.wipes++
	}
	err := f.start(n)
	if n.hasDisk {
		time.Sleep(catchUpTime)
	}
	return err
}

// injectServerFault resets, delays or blocks the connections to a server, or marks it
// as leaving.
func injectServerFault(kind int, w *world, b *backend, duration time.Duration) {
	switch kind {
	case 5:
		b.proxy.resetAll()
	case 6:
		b.proxy.delay.Store(int64(duration / 8))
		time.Sleep(duration)
		b.proxy.delay.Store(0)
	case 7:
		b.proxy.blocked.Store(int32(1 + duration.Milliseconds()%2))
		time.Sleep(duration)
		b.proxy.blocked.Store(0)
	case 8:
		w.startLeaving(b, time.Now())
	}
}

// callers sends requests to the routers and checks the responses.
type callers struct {
	fleet                      *fleet
	world                      *world
	sent                       atomic.Int64
	answered, refused, unknown atomic.Int64
	// resumed and notResumed count the streams that broke and were resumed at another
	// router, or refused there.
	resumed, notResumed atomic.Int64
	mu                  sync.Mutex
	// refusals counts refused requests by reason.
	refusals map[string]int
}

// countRefusal counts a refused request under the reason in its response body.
func (c *callers) countRefusal(body string) {
	c.refused.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusals == nil {
		c.refusals = make(map[string]int)
	}
	c.refusals[standin.ErrorName(body)]++
}

func (c *callers) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d answered, %d refused as not run %v, %d unknown, %d streams resumed, %d not", c.answered.Load(), c.refused.Load(), c.refusals,
		c.unknown.Load(), c.resumed.Load(), c.notResumed.Load())
}

// run sends requests to random routers until ctx ends.
func (c *callers) run(ctx context.Context, random *rand.Rand) {
	// Idle connections are reused until the router's process ends.
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 6 * time.Second}
	defer client.CloseIdleConnections()
	paths := []string{"/once/", "/repeatable/", "/stream/", "/resumable/"}
	for ctx.Err() == nil {
		c.sendOne(client, random.IntN(len(c.fleet.nodes)), paths[random.IntN(len(paths))])
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// countServed sends up to 20 requests, to routers that are up, and returns how many
// were served.
func (c *callers) countServed() int {
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	served := 0
	for i := range 20 {
		if router := i % len(c.fleet.nodes); c.fleet.isUp(router) && c.sendOne(client, router, "/once/") {
			served++
		}
	}
	return served
}

// sendOne sends one request and reports whether it was served.
func (c *callers) sendOne(client *http.Client, router int, path string) bool {
	id := fmt.Sprintf("r%d", c.sent.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.addr(router, "callers")+path+id, strings.NewReader("body of "+id))
	if err != nil {
		return false
	}
	// Prevents the HTTP client from sending the request a second time.
	request.GetBody = nil
	request.Host = "h"
	standin.SetRequestHeaders(request, id, 5*time.Second)
	wasUp, startedAt := c.fleet.isUp(router), time.Now()
	response, err := client.Do(request)
	if err != nil {
		c.unknown.Add(1)
		return false
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if events := completeEvents(string(data)); err != nil && path == "/resumable/" && len(events) > 0 {
		c.resume(client, router+1, path, id, events)
	}
	return c.checkResponse(router, path, id, response, string(data), err, wasUp && time.Since(startedAt) < time.Second)
}

// completeEvents returns the complete events at the start of a body.
func completeEvents(body string) string {
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return ""
	}
	return body[:end+len("\n\n")]
}

// resume resumes a broken stream at another router and checks that the caller gets a whole
// stream of one version.
func (c *callers) resume(client *http.Client, router int, path, first, events string) {
	router %= len(c.fleet.nodes)
	id := fmt.Sprintf("r%d", c.sent.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.addr(router, "callers")+path+first, strings.NewReader("body of "+first))
	if err != nil {
		return
	}
	request.GetBody = nil
	request.Host = "h"
	standin.SetRequestHeaders(request, id, 5*time.Second)
	standin.SetResumption(request, first, strings.Count(events, "\n\n"))
	response, err := client.Do(request)
	if err != nil {
		return
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch whole := events + string(data); {
	case response.StatusCode != http.StatusOK:
		c.notResumed.Add(1)
	case err != nil:
		c.unknown.Add(1)
	case !isExpectedBody(path, first, whole):
		c.world.addViolation("stream %s was resumed as %s at router %d and isn't whole or of one version: %q", first, id, router, whole)
	default:
		c.resumed.Add(1)
	}
}

// checkResponse checks a response against the guarantees and reports whether the
// request was served. An unexpected status is a violation only if wasUp: the router was
// up and responded within a second.
func (c *callers) checkResponse(router int, path, id string, response *http.Response, body string, err error, wasUp bool) bool {
	c.world.mu.Lock()
	runs := c.world.runs[id]
	c.world.mu.Unlock()
	mayRepeat := path == "/repeatable/" || path == "/resumable/"
	if !mayRepeat && runs > 1 {
		c.world.addViolation("%s%s ran %d times", path, id, runs)
	}
	switch status := response.StatusCode; {
	case err != nil:
		c.unknown.Add(1)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.countRefusal(body)
		if runs > 0 && !mayRepeat {
			c.world.addViolation("%s%s was refused with %d but had run", path, id, status)
		}
	case status == http.StatusOK:
		c.answered.Add(1)
		if standin.Signature(response) != signature(id, "") || !isExpectedBody(path, id, body) {
			c.world.addViolation("%s%s got status 200 with a wrong or truncated body of %d bytes", path, id, len(body))
		}
		return true
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		c.unknown.Add(1)
	default:
		if wasUp {
			c.world.addViolation("%s%s got status %d from router %d", path, id, status, router)
		}
	}
	return false
}

// isExpectedBody reports whether a body is the complete response to a request. The first
// attempt is the ID in the path.
func isExpectedBody(path, firstAttempt, body string) bool {
	if path == "/once/" || path == "/repeatable/" {
		return body == "booked "+firstAttempt
	}
	return slices.ContainsFunc(versions, func(version string) bool {
		var expected strings.Builder
		for event := 1; event <= eventCount; event++ {
			_, _ = expected.WriteString(eventText(event, firstAttempt, version))
		}
		return body == expected.String()
	})
}

// operator sends declared states to the routers and reads them back.
type operator struct {
	fleet *fleet
	world *world
	// number is that of the newest document sent, ackedNumber that of the newest document
	// acknowledged.
	number, ackedNumber int
	ackCount            atomic.Int64
}

// document returns a declared state with the current number.
func (o *operator) document() string {
	route := func(name, service string, kind declared.Kind, attempts int, resumable bool) declared.Route {
		return declared.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second,
			Objective: 300 * time.Millisecond, PauseObjective: 300 * time.Millisecond,
			MaxAttempts: attempts, Resumable: resumable, Targets: []declared.Target{{Service: service}},
		}
	}
	return standin.Document(declared.Document{
		Number: uint64(o.number),
		Routes: []declared.Route{
			route("once", "desk", declared.Once, 1, false), route("repeatable", "desk", declared.Repeatable, 2, false),
			route("stream", "guides", declared.Stream, 1, false), route("resumable", "guides", declared.Stream, 2, true),
		},
		Services: []declared.Service{{Name: "guides", Engine: &declared.Engine{Slots: 48, CacheTokens: 1000}}, {Name: "desk"}},
	})
}

// declare sends the next declared state until a router acknowledges it or the timeout
// ends. It reports whether one did.
func (o *operator) declare(timeout time.Duration) bool {
	o.number++
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		for i := range o.fleet.nodes {
			if status, _, err := o.send(i, http.MethodPut, o.document()); err == nil && status == http.StatusOK {
				o.ackedNumber = o.number
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
func (o *operator) send(router int, method, body string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+o.fleet.addr(router, "operators")+standin.ConfigPath, strings.NewReader(body))
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
	status, body, err := o.send(router, http.MethodGet, "")
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
