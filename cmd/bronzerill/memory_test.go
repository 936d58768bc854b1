package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
	"bronzerill/platform/standin"
)

const (
	// memoryMB is the setting memory-mb of the router.
	memoryMB = 284
	// largeBody is the largest body of a request or a response.
	largeBody = 8 << 20
	// concurrent is the number of large requests at the same time. Their bodies take several times memoryMB.
	concurrent = 120
	// troubleTime is how long large requests are sent.
	troubleTime = 1500 * time.Millisecond
)

// routerProcess is a router that runs as a process of its own, with servers of this test.
type routerProcess struct {
	*process
	addrs  map[string]string
	client *http.Client
	lastID atomic.Int64
}

// routerConfig configures a router of a test.
type routerConfig struct {
	// services has a handler for each service. There is also one with the name sound.
	services map[string]http.HandlerFunc
	// memoryMB is the setting memory-mb.
	memoryMB int
	// descriptors is how many the process may have open, 0 for as many as this one.
	descriptors int
	// settings are further lines of the section router.
	settings string
}

// startRouter starts a router with a service for each handler, and one with the name sound.
func startRouter(t *testing.T, services map[string]http.HandlerFunc) *routerProcess {
	return startRouterWith(t, routerConfig{services: services, memoryMB: memoryMB})
}

// startRouterWith starts a router.
func startRouterWith(t *testing.T, cfg routerConfig) *routerProcess {
	program, services := buildProgram(t), cfg.services
	services["sound"] = func(w http.ResponseWriter, r *http.Request) {
		id, _, _ := standin.ReadRequestHeaders(r)
		standin.Sign(w, id, "s")
		_, _ = io.WriteString(w, "sound")
	}
	document := declared.Document{Number: 1}
	var servers []placement.Server
	for name, handler := range services {
		addr := serve(t, handler)
		servers = append(servers, placement.Server{ID: "i-" + name, Service: name, Addr: addr, Zone: "z", Slots: 4096})
		document.Services = append(document.Services, declared.Service{Name: name})
		for route, kind := range map[string]declared.Kind{"repeatable": declared.Repeatable, "stream": declared.Stream, "resumable": declared.Stream} {
			document.Routes = append(document.Routes, declared.Route{
				Name: name + "-" + route, Host: "h", Prefix: "/" + name + "/" + route + "/", Kind: kind, Timeout: 4 * time.Second, Resumable: route == "resumable",
				Objective: 3 * time.Second, PauseObjective: 3 * time.Second, MaxAttempts: 2, Targets: []declared.Target{{Service: name, Weight: 1}},
			})
		}
	}
	list := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(standin.List(servers)) })
	p := &routerProcess{addrs: make(map[string]string), client: &http.Client{
		Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	settings := "name = \"router\"\nzone = \"z\"\n[router]\n"
	for _, name := range []string{"callers", "readiness", "operators", "internal"} {
		p.addrs[name] = freeAddr(t)
		settings += fmt.Sprintf("%s = %q\n", name, p.addrs[name])
	}
	settings += fmt.Sprintf("seeds = [%q]\nfound = true\ndata-folder = %q\ninstance-list = %q\nmemory-mb = %d\nstop-timeout = \"2s\"\n%s\n[router.bounds]\nretry-ratio = \"0.2\"\nretry-slack = \"62\"\nload-multiple = \"2\"\n",
		p.addrs["operators"], t.TempDir(), list, cfg.memoryMB, cfg.settings)
	path := filepath.Join(t.TempDir(), "router.toml")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	p.process = startProcess(t, cfg.descriptors, program, "run", "--settings", path)
	p.await("the declared state", func() bool {
		request, err := http.NewRequest(http.MethodPut, "http://"+p.addrs["operators"]+standin.ConfigPath, strings.NewReader(standin.Document(document)))
		require.NoError(t, err)
		return p.status(request) == http.StatusOK
	})
	p.await("the first answer", func() bool { return p.call(t.Context(), "/sound/repeatable/x", nil) == http.StatusOK })
	return p
}

// status sends a request and returns the status, 0 without a response.
func (p *routerProcess) status(r *http.Request) int {
	response, err := p.client.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// call sends a caller's request and returns the status, 0 without a response.
func (p *routerProcess) call(ctx context.Context, path string, body io.Reader) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addrs["callers"]+path, body)
	if err != nil {
		return 0
	}
	request.Host = "h"
	standin.SetRequestHeaders(request, fmt.Sprint("r", p.lastID.Add(1)), 0)
	return p.status(request)
}

// requireBounded lets callers do something many times at once. Meanwhile the requests of other callers must be
// served, and the process must keep to its memory.
func (p *routerProcess) requireBounded(each func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(p.t.Context(), troubleTime)
	defer cancel()
	var group sync.WaitGroup
	for range concurrent {
		group.Go(func() {
			for ctx.Err() == nil {
				each(ctx)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	statuses, others := make(map[int]int), 0
	for ctx.Err() == nil {
		status := p.call(p.t.Context(), "/sound/repeatable/x", strings.NewReader("small"))
		statuses[status]++
		if status != http.StatusOK {
			others++
		}
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	peak := p.peakMB()
	p.t.Logf("peak memory %d MB of %d, statuses of other requests %v", peak, memoryMB, statuses)
	require.Less(p.t, peak, memoryMB)
	require.Equal(p.t, http.StatusOK, p.call(p.t.Context(), "/sound/repeatable/x", nil))
	p.requireRuns()
	require.Zero(p.t, others, "other requests are served: %v", statuses)
}

// sendWithoutEnd writes the start of a response, and then bytes until the router closes the connection.
func sendWithoutEnd(start, repeated string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		id, _, _ := standin.ReadRequestHeaders(r)
		_, err = io.WriteString(conn, strings.ReplaceAll(start, "ID", id))
		for err == nil {
			_, err = io.WriteString(conn, repeated)
		}
	}
}

// Guards against servers that send bytes without end, to many requests at once, until the process of the router
// has no memory left (issue 46).
func TestEndlessResponsesAreBoundedTogether(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Bronzerill-Request-Id: ID\r\nX-Bronzerill-Response-Stamp: s\r\n"
	filler := strings.Repeat("x", 64<<10)
	tests := map[string]struct{ start, repeated string }{
		"body until the connection closes": {head + "\r\n", filler},
		"body with a large length":         {head + "Content-Length: 8388608\r\n\r\n", filler},
		"chunks":                           {head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n"},
		"event":                            {head + "Content-Type: text/event-stream\r\n\r\ndata: ", filler},
		"head":                             {head, strings.Repeat("A: b\r\n", 10_000)},
		"head of one line":                 {head + "A: ", filler},
		"no head":                          {"", filler},
		"another answer":                   {"HTTP/1.1 200 OK\r\nX-Bronzerill-Request-Id: x\r\n\r\n", filler},
	}
	services := make(map[string]http.HandlerFunc)
	for name, test := range tests {
		services[strings.ReplaceAll(name, " ", "-")] = sendWithoutEnd(test.start, test.repeated)
	}
	p := startRouter(t, services)
	for name := range tests {
		for _, kind := range []string{"repeatable", "stream", "resumable"} {
			t.Log(name, kind)
			p.requireBounded(func(ctx context.Context) { p.call(ctx, "/"+strings.ReplaceAll(name, " ", "-")+"/"+kind+"/x", nil) })
		}
	}
}

// Guards against large bodies of many requests at once, whose servers are slow to read them (issue 46).
func TestRequestBodiesAreBoundedTogether(t *testing.T) {
	body := make([]byte, largeBody)
	slow := func(_ http.ResponseWriter, r *http.Request) {
		// The body is read after a second.
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
	for _, length := range []string{"with a length", "in chunks"} {
		t.Run(length, func(t *testing.T) {
			p := startRouter(t, map[string]http.HandlerFunc{"slow": slow})
			p.requireBounded(func(ctx context.Context) {
				var reader io.Reader = bytes.NewReader(body)
				if length == "in chunks" {
					reader = io.MultiReader(reader)
				}
				p.call(ctx, "/slow/repeatable/x", reader)
			})
		})
	}
}

// Guards against large responses that many callers are slow to read (issue 46).
func TestResponsesToSlowCallersAreBoundedTogether(t *testing.T) {
	body := make([]byte, largeBody)
	p := startRouter(t, map[string]http.HandlerFunc{"large": func(w http.ResponseWriter, r *http.Request) {
		id, _, _ := standin.ReadRequestHeaders(r)
		standin.Sign(w, id, "s")
		_, _ = w.Write(body)
	}})
	p.requireBounded(func(ctx context.Context) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", p.addrs["callers"])
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "POST /large/repeatable/x HTTP/1.1\r\nHost: h\r\nX-Bronzerill-Request-Id: r%d\r\nContent-Length: 0\r\n\r\n", p.lastID.Add(1))
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
	})
}
