package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Timing of the operator.
const (
	// operatorTimeout is how long the operator waits for a router's response.
	operatorTimeout = time.Second
	// firstBackoff is the pause before the operator sends an order to the next router. It doubles.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// maxOrderTime limits all attempts of one order.
	maxOrderTime = 20 * time.Second
)

// order sends an order to the routers in turn, until one acknowledges it. It returns when the response
// arrived.
func (l *lab) order(method, path, body string, routers ...*router) (acked time.Time, err error) {
	backoff := firstBackoff
	giveUp := time.Now().Add(maxOrderTime)
	for i := 0; time.Now().Before(giveUp); i++ {
		r := routers[i%len(routers)]
		status, err := l.sendOrder(method, path, body, r)
		now := time.Now()
		if err != nil {
			l.record.add("operator: %s %s to %s: no response: %v", method, path, r.name, err)
		} else {
			l.record.add("operator: %s %s to %s: %d", method, path, r.name, status)
		}
		if err == nil && status == http.StatusOK {
			return now, nil
		}
		if err == nil && status < http.StatusInternalServerError {
			return now, errors.Errorf("%s %s: refused with %d", method, path, status)
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return time.Time{}, errors.Errorf("%s %s: never acknowledged", method, path)
}

func (l *lab) sendOrder(method, path, body string, r *router) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+l.addr(r, portOperators)+path, strings.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// route is a route of a desired state.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"path_prefix"`
	Kind      string `json:"kind"`
	Timeout   int    `json:"timeout_ms"`
	Target    int    `json:"target_latency_ms"`
	GapTarget int    `json:"gap_target_ms,omitempty"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"max_attempts"`
	Resumable bool   `json:"resumable"`
	Public    bool   `json:"public"`
}

// Prefixes of the routes.
const (
	lookupPrefix = "/a/"
	streamPrefix = "/s/"
)

// desiredState returns a desired state with one service, a route for idempotent requests and one for
// resumable streams, with the time-outs of the site's kinds of request.
func desiredState(version int, service string) (string, error) {
	routes := []route{
		{Name: "r-lookup", Host: host, Prefix: lookupPrefix, Kind: "idempotent", Timeout: 800, Target: 150, Service: service, Attempts: 2},
		{Name: "r-stream", Host: host, Prefix: streamPrefix, Kind: "streaming", Timeout: 12000, Target: 500, GapTarget: 250, Priority: 1, Service: service, Attempts: 2, Resumable: true},
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return string(data), errors.Wrap(err, "desired state")
}

// host is the host of all routes.
const host = "ficu95.example"

// awaitReady waits until all routers are ready.
func (l *lab) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, r := range l.routers {
		for deadline := time.Now().Add(10 * time.Second); ; {
			response, err := client.Get("http://" + l.addr(r, portReadiness) + "/v1/ready")
			if err == nil {
				_ = response.Body.Close() // only the status counts
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.Errorf("router %s is never ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.record.add("all routers are ready")
	return nil
}
