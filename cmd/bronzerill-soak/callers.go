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
	"time"

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
	mu                  sync.Mutex
	// refusals counts refused requests by reason.
	refusals map[string]int
	// lastError is why the last request got no response, nil if all got one.
	lastError error
}

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
	return fmt.Sprintf("%d answered, %d refused as not run %v, %d unknown, %d streams resumed, %d not", c.answered.Load(), c.refused.Load(), c.refusals,
		c.unknown.Load(), c.resumed.Load(), c.notResumed.Load()) + c.afterKills.String()
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

// newID returns the ID of a request to a router.
func (c *callers) newID(router int) string {
	id := fmt.Sprintf("r%d", c.sent.Add(1))
	c.world.sentTo.Store(id, router)
	return id
}

// sendOne sends one request and reports whether it was served.
func (c *callers) sendOne(client *http.Client, router int, path string) bool {
	id := c.newID(router)
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
		c.countUnknown(err)
		return false
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if events := completeEvents(string(data)); err != nil && path == "/resumable/" && len(events) > 0 {
		c.resumeUntilServed(client, router+1, path, id, events)
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

// resumeTime is how long a caller tries to resume a stream, at one router after the other.
const resumeTime = 5 * time.Second

func (c *callers) resumeUntilServed(client *http.Client, router int, path, first, events string) {
	brokenAt := time.Now()
	for ; ; router++ {
		served := c.resume(client, router%len(c.fleet.nodes), path, first, events)
		if served || time.Since(brokenAt) > resumeTime {
			c.afterKills.count(brokenAt, time.Now(), served)
			if !served {
				c.notResumed.Add(1)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// resume resumes a broken stream at another router and checks that the caller gets a whole
// stream of one version. It reports whether the stream needn't be resumed again.
func (c *callers) resume(client *http.Client, router int, path, first, events string) bool {
	id := c.newID(router)
	request, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.addr(router, "callers")+path+first, strings.NewReader("body of "+first))
	if err != nil {
		return true
	}
	request.GetBody = nil
	request.Host = "h"
	standin.SetRequestHeaders(request, id, 5*time.Second)
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
	return slices.ContainsFunc(append(versions, newVersion), func(version string) bool {
		var expected strings.Builder
		for event := 1; event <= eventCount; event++ {
			_, _ = expected.WriteString(eventText(event, firstAttempt, version))
		}
		return body == expected.String()
	})
}
