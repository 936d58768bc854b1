package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzerill/platform/standin"
)

// callers sends requests to the routers and checks the responses.
type callers struct {
	fleet                      *fleet
	world                      *world
	sent                       atomic.Int64
	answered, refused, unknown atomic.Int64
	// resumed and notResumed count the streams that broke and were resumed at another
	// router, or refused there.
	resumed, notResumed atomic.Int64
	afterKills          afterKills
	// crowdedUntil is when the last crowd ended, in Unix nanoseconds, and crowdedOut counts the requests that were not
	// answered beside it.
	crowdedUntil, crowdedOut atomic.Int64
	// paused counts the whole answers of servers that paused.
	// lateServed, lateRefused, lateNoResponse and lateClosed count the late requests at a stop
	// that were answered or refused, whose connection was closed as they were sent, and whose
	// connection was closed before.
	paused                                              atomic.Int64
	lateServed, lateRefused, lateNoResponse, lateClosed atomic.Int64
	mu                                                  sync.Mutex
	// zoneLosses holds the requests above the load bound, of all, after each loss of a zone's servers.
	zoneLosses []string
	// refusals counts refused requests by reason.
	refusals map[string]int
	// closedBy counts the requests without a response by router, except around its faults.
	closedBy map[int]int
	// lastError is why the last request got no response, nil if all got one.
	lastError error
}

// Time limits of callers.
const (
	// callerTimeout is the time that callers state, and clientTimeout when they give up.
	callerTimeout = 5 * time.Second
	clientTimeout = 6 * time.Second
)

// refusalStatuses are the statuses that promise that a request never runs.
var refusalStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// countUnknown counts a request that got no response.
func (c *callers) countUnknown(err error) {
	c.unknown.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastError = err
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
	return fmt.Sprintf("%d crowded out, %d answered, %d refused as not run %v, %d unknown, closed by routers without a fault %v, %d streams resumed, %d not", c.crowdedOut.Load(), c.answered.Load(), c.refused.Load(), c.refusals,
		c.unknown.Load(), c.closedBy, c.resumed.Load(), c.notResumed.Load()) + c.afterKills.String() +
		fmt.Sprintf(", %d whole after a pause, late at a stop: %d answered, %d refused, %d without a response, %d closed before, above the load bound %v",
			c.paused.Load(), c.lateServed.Load(), c.lateRefused.Load(), c.lateNoResponse.Load(), c.lateClosed.Load(), c.zoneLosses)
}

// run sends requests to random routers until ctx ends.
func (c *callers) run(ctx context.Context, random *rand.Rand) {
	// Idle connections are reused until the router's process ends.
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: clientTimeout}
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

// newID returns the ID of a request to a router.
func (c *callers) newID(router int) string {
	id := fmt.Sprintf("r%d", c.sent.Add(1))
	c.world.sentTo.Store(id, router)
	return id
}

// sendOne sends one request and reports whether it was served.
func (c *callers) sendOne(client *http.Client, router int, path string) bool {
	return c.send(client, router, path, c.newID(router), nil)
}

// send sends a request whose servers follow a script, if it isn't nil, and reports whether it was
// served.
func (c *callers) send(client *http.Client, router int, path, id string, s *script) bool {
	if s != nil {
		c.world.scripts.Store(id, s)
	}
	wasUp, startedAt := c.fleet.isUp(router), time.Now()
	r := c.post(client, router, path, id)
	took := time.Since(startedAt)
	hadFault := c.fleet.hadFault(router, startedAt)
	// A failure of a server that breaks off may be forwarded.
	checksStatus := wasUp && took < time.Second && (s == nil || !s.breaksOff)
	if s != nil && !hadFault && took < shortestTimeout-timeoutMargin && !c.checkPaused(router, path, id, s, took, r) {
		checksStatus = false
	}
	if r.status == 0 {
		c.countUnknown(r.err)
		switch {
		case hadFault:
		case c.isCrowded(startedAt) && (isTimeout(r.err) || !c.world.hasRun(id)):
			// Routers may close connections unread while a crowd holds all that it can, and how long others take
			// beside it depends on the machine.
			c.crowdedOut.Add(1)
		default:
			c.countClosed(router)
			c.world.addViolation("router %d closed the connection of %s%s without a response after %s, though it was neither killed nor stopped (run %v, begun %s after a crowd): %v",
				router, path, id, took.Round(time.Millisecond), c.world.hasRun(id), startedAt.Sub(time.Unix(0, c.crowdedUntil.Load())), r.err)
		}
		return false
	}
	if events := completeEvents(r.body); r.err != nil && isResumable(path) && len(events) > 0 {
		resumed := c.resumeUntilServed(client, router+1, path, id, events)
		if s != nil && !resumed {
			c.world.addViolation("stream %s broke off at router %d and no router resumed it for %s: %s", id, router, resumeTime, s)
		}
	}
	return c.checkResponse(router, path, id, r, checksStatus)
}

// isTimeout reports whether a client gave up by itself.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// countClosed counts a connection that a router closed without a response and without a fault.
func (c *callers) countClosed(router int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedBy == nil {
		c.closedBy = make(map[int]int)
	}
	c.closedBy[router]++
}

// timeoutMargin is the time before the end of a request's time from which it may fail.
const timeoutMargin = 250 * time.Millisecond

// checkPaused checks that a caller got the answer of a server that only paused, and reports whether
// it did.
func (c *callers) checkPaused(router int, path, id string, s *script, took time.Duration, r reply) bool {
	switch {
	case s.breaksOff || s.reached() == 0:
		return true
	case r.err == nil && r.status == http.StatusOK:
		c.paused.Add(1)
		return true
	case s.reached() == 1:
		c.world.addViolation("router %d ended the answer to %s%s of a sound server, the only one it reached, after %s (%s): %s",
			router, path, id, took.Round(time.Millisecond), r, s)
	default:
		c.world.addViolation("router %d ended the answer to %s%s of a sound server after %s (%s): %s",
			router, path, id, took.Round(time.Millisecond), r, s)
	}
	return false
}

// newRequest returns a request for a path. The first attempt is the one that it belongs to.
func (c *callers) newRequest(router int, path, firstAttempt, id string) (*http.Request, error) {
	body := "body of " + firstAttempt
	if c.world.spoils.Load() && cutsOffEarly(id) {
		body += strings.Repeat("x", earlyBodyBytes)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.addr(router, "callers")+path+firstAttempt, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Prevents the HTTP client from sending the request a second time.
	request.GetBody = nil
	request.Host = "h"
	standin.SetRequestHeaders(request, id, callerTimeout)
	return request, nil
}

// reply is what a caller got.
type reply struct {
	// status is 0 if there was no response.
	status          int
	signature, body string
	// err is why the response isn't complete, nil if it is.
	err error
}

func (r reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no response, %v", r.err)
	}
	return fmt.Sprintf("status %d, %d bytes, error %v", r.status, len(r.body), r.err)
}

// readReply reads and closes a response.
func readReply(response *http.Response) reply {
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return reply{status: response.StatusCode, signature: standin.Signature(response), body: string(data), err: err}
}

// post sends a request and reads its response.
func (c *callers) post(client *http.Client, router int, path, id string) reply {
	request, err := c.newRequest(router, path, id, id)
	if err != nil {
		return reply{err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	return readReply(response)
}

// completeEvents returns the complete events at the start of a body.
func completeEvents(body string) string {
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return ""
	}
	return body[:end+len("\n\n")]
}

// resumeTime is how long a caller tries to resume a stream, at one router after the other.
const resumeTime = 5 * time.Second

// resumeUntilServed reports whether the stream was resumed, or a response to that began.
func (c *callers) resumeUntilServed(client *http.Client, router int, path, first, events string) bool {
	brokenAt := time.Now()
	for ; ; router++ {
		served := c.resume(client, router%len(c.fleet.nodes), path, first, events)
		if served || time.Since(brokenAt) > resumeTime {
			c.afterKills.count(brokenAt, time.Now(), served)
			if !served {
				c.notResumed.Add(1)
			}
			return served
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// resume resumes a broken stream at another router and checks that the caller gets a whole
// stream of one version. It reports whether the stream needn't be resumed again.
func (c *callers) resume(client *http.Client, router int, path, first, events string) bool {
	id := c.newID(router)
	request, err := c.newRequest(router, path, first, id)
	if err != nil {
		return true
	}
	standin.SetResumption(request, first, strings.Count(events, "\n\n"))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch whole := events + string(data); {
	case response.StatusCode != http.StatusOK:
		return false
	case err != nil:
		c.unknown.Add(1)
		if !isStartOfBody(path, first, whole) {
			c.world.addViolation("stream %s was resumed as %s at router %d, broke off and isn't the start of one: %q", first, id, router, whole)
		}
	case !isExpectedBody(path, first, whole):
		c.world.addViolation("stream %s was resumed as %s at router %d and isn't whole or of one version: %q", first, id, router, whole)
	default:
		c.resumed.Add(1)
	}
	return true
}

// checkResponse checks a response against the guarantees and reports whether the
// request was served. An unexpected status is a violation only if wasUp: the router was
// up and responded within a second.
func (c *callers) checkResponse(router int, path, id string, r reply, wasUp bool) bool {
	c.world.mu.Lock()
	runs := c.world.runs[id]
	c.world.mu.Unlock()
	mayRepeat := path == "/repeatable/" || isResumable(path)
	if !mayRepeat && runs > 1 {
		c.world.addViolation("%s%s ran %d times", path, id, runs)
	}
	switch status, body := r.status, r.body; {
	case r.err != nil:
		c.unknown.Add(1)
		if status == http.StatusOK && !isStartOfBody(path, id, body) {
			c.world.addViolation("%s%s broke off and its %d bytes aren't the start of its response: ...%q", path, id, len(body), body[max(0, len(body)-100):])
		}
	case slices.Contains(refusalStatuses, status):
		c.countRefusal(body)
		if runs > 0 && !mayRepeat {
			c.world.addViolation("%s%s was refused with %d but had run", path, id, status)
		}
	case status == http.StatusOK:
		c.answered.Add(1)
		if r.signature != signature(id, "") || !isExpectedBody(path, id, body) {
			c.world.addViolation("%s%s got status 200 with a wrong or truncated body of %d bytes: ...%q", path, id, len(body), body[max(0, len(body)-100):])
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

// isStreamPath reports whether the responses on a path are streams, isResumable whether these may
// be resumed.
func isStreamPath(path string) bool { return path == "/stream/" || isResumable(path) }

func isResumable(path string) bool { return path == "/resumable/" || path == "/moved/" }

// expectedBodies returns the complete responses to a request, one for each version. The first
// attempt is the ID in the path.
func expectedBodies(path, firstAttempt string) []string {
	if !isStreamPath(path) {
		return []string{"booked " + firstAttempt}
	}
	var bodies []string
	for _, version := range append(versions, newVersion) {
		var body strings.Builder
		for event := 1; event <= eventCount; event++ {
			_, _ = body.WriteString(eventText(event, firstAttempt, version))
		}
		bodies = append(bodies, body.String())
	}
	return bodies
}

// isExpectedBody reports whether a body is the complete response to a request.
func isExpectedBody(path, firstAttempt, body string) bool {
	return slices.Contains(expectedBodies(path, firstAttempt), body)
}

// isStartOfBody reports whether a body is the start of the response to a request.
func isStartOfBody(path, firstAttempt, body string) bool {
	return slices.ContainsFunc(expectedBodies(path, firstAttempt), func(whole string) bool { return strings.HasPrefix(whole, body) })
}
