package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Timing of requests around a stop.
const (
	// lateLead is the time from the first connections until SIGTERM.
	lateLead = 2 * time.Second
	// openUntil is how long after SIGTERM connections are opened. The port closes at about that time.
	openUntil = 2400 * time.Millisecond
	// stopGrace is the time from SIGTERM until SIGKILL. Requests are sent throughout.
	stopGrace    = 9 * time.Second
	sendUntil    = 8 * time.Second
	lateRequests = 90
	// silentLife is how long a router waits for the first request of a connection.
	silentLife = 5 * time.Second
	// probeTime is the time in which the close of a connection is noticed before it is used.
	probeTime = time.Millisecond
	// closeSlack is the time after a request in which it may cross the close of its connection.
	closeSlack = time.Second
	// lateTimeout is longer than a router that stops may run.
	lateTimeout = 10 * time.Second
)

// latePaths are the paths of requests around a stop.
var latePaths = []string{"/once/", "/repeatable/", "/stream/", "/resumable/"}

// lateRequest is a request on a connection that has been open for a while. All times are relative
// to SIGTERM.
type lateRequest struct {
	router int
	path   string
	// kept is set if the connection was used before, which it is only before SIGTERM.
	kept           bool
	openAt, sendAt time.Duration
	script         *script
	stopAt         time.Time
}

func (l *lateRequest) String() string {
	state := "silent"
	if l.kept {
		state = "idle"
	}
	return fmt.Sprintf("on a connection that was opened at %s and %s until %s after SIGTERM", l.openAt.Round(time.Millisecond), state, l.sendAt.Round(time.Millisecond))
}

// draw draws the times of a late request. A third of them are on connections that were used before,
// and a third on silent ones near the end of their lives.
func (l *lateRequest) draw(random *rand.Rand, i int) {
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	switch i % 3 {
	case 0:
		l.kept = true
		l.openAt, l.sendAt = between(-lateLead, -lateLead/2), between(0, sendUntil)
	case 1:
		l.openAt = between(-lateLead, openUntil)
		l.sendAt = between(max(l.openAt, 0), l.openAt+silentLife)
	case 2:
		l.openAt = between(openUntil/2, openUntil)
		l.sendAt = between(l.openAt+silentLife/2, l.openAt+silentLife)
	}
}

// stopLate stops a router while callers send requests on connections that were silent or idle. In half
// of the seeds, one without a disk stops at about the same time.
func stopLate(cfg config, f *fleet, c *callers, random *rand.Rand) error {
	stopped := []*node{f.nodes[random.IntN(len(f.nodes))]}
	if second := f.nodes[len(f.nodes)-1-random.IntN(2)]; cfg.seed%2 == 1 && !second.hasDisk && second != stopped[0] {
		stopped = append(stopped, second)
	}
	cfg.recordDisturbance()
	group := new(errgroup.Group)
	for i, n := range stopped {
		requests := rand.New(rand.NewPCG(cfg.seed, uint64(300+i)))
		stopAt := time.Now().Add(lateLead + time.Duration(requests.Int64N(int64(lateLead))))
		group.Go(func() error { return c.stopAmidRequests(n, stopAt, requests) })
	}
	err := group.Wait()
	cfg.recordDisturbance()
	time.Sleep(catchUpTime)
	return err
}

// stopAmidRequests stops a router and starts it again.
func (c *callers) stopAmidRequests(n *node, stopAt time.Time, random *rand.Rand) error {
	group := new(errgroup.Group)
	for i := range lateRequests {
		path := latePaths[random.IntN(len(latePaths))]
		l := &lateRequest{router: n.index, path: path, script: newScript(random, path), stopAt: stopAt}
		l.script.breaksOff = false
		l.draw(random, i)
		group.Go(func() error { c.sendLate(l); return nil })
	}
	time.Sleep(time.Until(stopAt))
	c.fleet.signal(n, syscall.SIGTERM)
	if !c.fleet.await(n, stopGrace) {
		c.world.addViolation("router %d did not exit cleanly after SIGTERM", n.index)
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return c.fleet.start(n)
}

// sendLate opens the connection of a late request, uses it and checks what comes back.
func (c *callers) sendLate(l *lateRequest) {
	time.Sleep(time.Until(l.stopAt.Add(l.openAt)))
	conn, err := net.Dial("tcp", c.fleet.addr(l.router, "callers"))
	if err != nil {
		c.lateClosed.Add(1)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if l.kept {
		if r := c.sendOn(conn, reader, l.router, "/once/", c.newID(l.router)); r.err != nil {
			c.countUnknown(r.err)
			return
		}
	}
	time.Sleep(time.Until(l.stopAt.Add(l.sendAt)))
	if isClosed(conn, reader) {
		c.lateClosed.Add(1)
		return
	}
	id := c.newID(l.router)
	c.world.scripts.Store(id, l.script)
	sentAt := time.Now()
	r := c.sendOn(conn, reader, l.router, l.path, id)
	took := time.Since(sentAt)
	served := r.status != 0 && c.checkResponse(l.router, l.path, id, r, false)
	switch reached := l.script.reached() > 0; {
	case served:
		c.lateServed.Add(1)
	case reached:
		c.world.addViolation("%s%s reached a server and wasn't answered by the stopping router %d after %s (%s): %s; %s",
			l.path, id, l.router, took.Round(time.Millisecond), r, l, l.script)
	case r.status != 0 && r.err == nil:
		c.lateRefused.Add(1)
	case took > closeSlack:
		c.world.addViolation("%s%s got no response from the stopping router %d for %s, then %v: %s", l.path, id, l.router, took.Round(time.Millisecond), r.err, l)
	default:
		c.lateNoResponse.Add(1)
	}
}

// isClosed reports whether the other end has closed a connection on which nothing is due.
func isClosed(conn net.Conn, reader *bufio.Reader) bool {
	if conn.SetReadDeadline(time.Now().Add(probeTime)) != nil {
		return true
	}
	_, err := reader.Peek(1)
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// sendOn sends a request on an open connection and reads its response.
func (c *callers) sendOn(conn net.Conn, reader *bufio.Reader, router int, path, id string) reply {
	request, err := c.newRequest(router, path, id, id)
	if err != nil {
		return reply{err: err}
	}
	if err := conn.SetDeadline(time.Now().Add(lateTimeout)); err != nil {
		return reply{err: errors.Wrap(err, "set deadline")}
	}
	if err := request.Write(conn); err != nil {
		return reply{err: errors.Wrap(err, "send")}
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return reply{err: errors.Wrap(err, "read response")}
	}
	return readReply(response)
}
