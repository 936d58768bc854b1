package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request of the operator, or of the balancer, and returns the status and the body.
func call(method, url, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// declare sends a desired state to one router after the other until it is acknowledged.
func (f *fleet) declare(document string, limit time.Duration) error {
	return f.order(http.MethodPut, "/v1/config", document, limit)
}

// order sends an order of the operator to one router after the other until it is acknowledged.
func (f *fleet) order(method, path, body string, limit time.Duration) error {
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		r := f.routers[i%len(f.routers)]
		status, _, err := call(method, "http://"+f.addr(r, portOperators)+path, body)
		if err != nil || status != http.StatusOK {
			f.record.add("operator", "%s %s at %s: status %d, error %v", method, path, r.name, status, err)
		}
		if err == nil && status == http.StatusOK {
			f.record.add("operator", "%s %s acknowledged by %s", method, path, r.name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s isn't acknowledged", method, path)
}

// awaitReady waits until a router says that it is ready.
func (f *fleet) awaitReady(r *router, limit time.Duration) error {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		status, _, err := call(http.MethodGet, "http://"+f.addr(r, portReadiness)+"/v1/ready", "")
		if err == nil && status == http.StatusOK {
			f.record.add("balancer", "%s is ready", r.name)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready", r.name)
}
