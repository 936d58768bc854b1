package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/router/placement"
	"bronzerill/platform/standin"
)

// backend is one stand-in server behind a proxy that injects faults.
type backend struct {
	id, service  string
	httpServer   *http.Server
	proxy        *proxy
	mu           sync.Mutex
	leaving      bool
	leavingSince time.Time
	// version is the version of the software. Streams of several versions don't fit together.
	version string
	limit   statedLimit
	// pause and leavingSoon are what the server states, nil if it doesn't.
	pause, leavingSoon atomic.Pointer[statement]
}

// world holds everything around the routers: the stand-in servers, the platform's
// server list, and a record of what the servers received.
type world struct {
	cfg        config
	backends   []*backend
	listServer *http.Server
	listAddr   string
	mu         sync.Mutex
	// runs counts the runs of each request, by its ID.
	runs map[string]int
	// sentTo holds the index of the router that each request was sent to, by its ID.
	sentTo sync.Map
	// violations describes the violated guarantees.
	violations []string
}

// drainGrace is how long a server may still get requests after the list shows it as
// leaving.
const drainGrace = 3 * time.Second

// newWorld starts three servers of each service, and the server list.
func newWorld(cfg config) (*world, error) {
	w := &world{cfg: cfg, runs: make(map[string]int)}
	for i := range 6 {
		service := "guides"
		if i >= 3 {
			service = "desk"
		}
		b, err := w.startBackend(fmt.Sprintf("i-%d", i), service)
		if err != nil {
			return nil, err
		}
		w.backends = append(w.backends, b)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	w.listAddr = listener.Addr().String()
	w.listServer = &http.Server{Handler: http.HandlerFunc(w.serveList), ReadHeaderTimeout: time.Second}
	cfg.tasks.Go(func() error { _ = w.listServer.Serve(listener); return nil })
	return w, nil
}

// startBackend starts a stand-in server and its proxy.
func (w *world) startBackend(id, service string) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	b := &backend{id: id, service: service, version: versions[len(w.backends)%len(versions)]}
	b.httpServer = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(b, rw, r) }), ReadHeaderTimeout: time.Second}
	w.cfg.tasks.Go(func() error { _ = b.httpServer.Serve(listener); return nil })
	b.proxy, err = newProxy(w.cfg, "127.0.0.1:0", listener.Addr().String())
	return b, err
}

// addViolation records a violated guarantee. It ignores all but the first 20.
func (w *world) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) < 20 {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

// serveList serves the platform's server list.
func (w *world) serveList(rw http.ResponseWriter, _ *http.Request) {
	var servers []placement.Server
	for i, b := range w.backends {
		b.mu.Lock()
		servers = append(servers, placement.Server{
			ID: b.id, Service: b.service, Addr: b.proxy.addr, Zone: fmt.Sprintf("zone-%d", i%3), Slots: 48, Leaving: b.leaving, Version: b.version,
		})
		b.mu.Unlock()
	}
	_, _ = rw.Write(standin.List(servers))
}

// startLeaving marks a server as leaving, unless all others of its service are already
// leaving. Without any server, no request could be served after the faults.
func (w *world) startLeaving(b *backend, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.mayLeave(b) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving, b.leavingSince = true, now
}

// mayLeave reports whether a server isn't leaving, nor the last of its service. The caller
// holds the lock.
func (w *world) mayLeave(b *backend) bool {
	remaining := 0
	for _, other := range w.backends {
		other.mu.Lock()
		if other.service == b.service && !other.leaving {
			remaining++
		}
		other.mu.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return remaining >= 2 && !b.leaving
}

// signature returns a hash that binds a response to its request and body.
func signature(id, body string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id + "|" + body))
	return strconv.FormatUint(h.Sum64(), 16)
}

// versions are the versions of the engines. All serve side by side.
var versions = []string{"v1", "v2"}

// eventText returns an event of a stream, which names the caller's first attempt.
func eventText(event int, firstAttempt, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", event, firstAttempt, version)
}

// eventCount is the number of events in each stream.
const eventCount = 12

// serve handles a request that a server received, and checks that it was meant for this
// server.
func (w *world) serve(b *backend, rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if standin.IsCacheListRequest(r) {
		_, _ = io.WriteString(rw, standin.EmptyCacheList)
		return
	}
	id, expected, lastEvent := standin.ReadRequestHeaders(r)
	if expected != b.id {
		w.addViolation("request %s for %q reached %s", id, expected, b.id)
		return
	}
	b.mu.Lock()
	late := b.leaving && time.Since(b.leavingSince) > drainGrace
	b.mu.Unlock()
	if late && w.cfg.isSettled() {
		w.addViolation("request %s reached %s more than %s after it started leaving", id, b.id, drainGrace)
	}
	now := time.Now()
	b.stateLeaving(w, rw, id, now)
	if b.refuseInPause(w, rw, id, now) {
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	b.receiveLimited(w, rw, now)
	standin.Sign(rw, id, signature(id, ""))
	if b.service == "desk" {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(rw, "booked "+id)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := lastEvent + 1; event <= eventCount; event++ {
		if _, err := io.WriteString(rw, eventText(event, path.Base(r.URL.Path), b.version)); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(15 * time.Millisecond)
	}
}

// stop stops the servers and the server list.
func (w *world) stop() {
	for _, b := range w.backends {
		b.proxy.close()
		_ = b.httpServer.Close()
	}
	_ = w.listServer.Close()
}
