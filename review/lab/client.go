package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// callers sends requests to routers and notes the replies.
type callers struct {
	lab    *lab
	client *http.Client
}

func newCallers(l *lab) *callers { return &callers{lab: l, client: &http.Client{}} }

// Time budgets of the callers.
const (
	lookupBudget = 1500 * time.Millisecond
	streamBudget = 12 * time.Second
)

// send sends one idempotent request to a router.
func (c *callers) send(r *router, path string) { c.do(http.MethodGet, r, path, lookupBudget) }

// stream sends a request to a router that is answered with a stream.
func (c *callers) stream(r *router, path string) { c.do(http.MethodPost, r, path, streamBudget) }

func (c *callers) do(method string, r *router, path string, budget time.Duration) {
	id := fmt.Sprintf("q%06d", requestCount.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.lab.addr(r, portCallers)+path, nil)
	if err != nil {
		c.lab.record.add("request %s not made: %v", id, err)
		return
	}
	request.Host = host
	request.Header.Set("X-Bronzerill-Request-Id", id)
	request.Header.Set("X-Bronzerill-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	c.lab.record.add("request %s (%s) sent to %s", id, path, r.name)
	response, err := c.client.Do(request)
	if err != nil {
		c.lab.record.add("request %s: no response: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.lab.record.add("request %s: response cut off: %v", id, err)
		return
	}
	c.lab.record.add("request %s: %d, stamp %q, %d events", id, response.StatusCode, response.Header.Get("X-Bronzerill-Response-Stamp"), strings.Count(string(body), "id: "))
}
