package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/router/placement"
	"bronzerill/platform/standin"
)

// backend is one stand-in server behind a proxy that injects faults.
type backend struct {
	id, service, zone string
	proxy             *proxy
	// target is the address at which its processes listen.
	target  string
	mu      sync.Mutex
	process *process
	// replaced counts the servers that had the address before.
	replaced     int
	unlisted     bool
	leaving      bool
	leavingSince time.Time
	// version is the version of the software. Streams of several versions don't fit together.
	version string
	limit   statedLimit
	// coldUntil is the end of the server's cold start.
	coldUntil time.Time
	// inFlight is the number of its requests.
	inFlight atomic.Int32
	// lastID is the ID of the request that was received last.
	lastID atomic.Pointer[string]
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
	// scripts holds the scripts of requests, by the ID of the caller's first attempt.
	scripts sync.Map
	// violations describes the violated guarantees, and violationKinds counts them by format.
	violations     []string
	violationKinds map[string]int
	// outSince is when each zone was acknowledged to be out, and arrivals counts the requests
	// that reached each zone.
	outSince map[string]time.Time
	arrivals map[string]int
	// oddEntry is an entry of another writer in the list, nil if there is none.
	oddEntry atomic.Pointer[string]
	loads    engineLoads
	probes   probeCounts
	// spoils is set while servers spoil some of their answers.
	spoils atomic.Bool
	// hasStrays is set while servers write refusals of other requests before responses.
	hasStrays atomic.Bool
}

// drainGrace is how long a server may still get requests after the list shows it as
// leaving.
const drainGrace = 3 * time.Second

// newWorld starts three servers of each service, and the server list.
func newWorld(cfg config) (*world, error) {
	w := &world{cfg: cfg, runs: make(map[string]int), outSince: make(map[string]time.Time), arrivals: make(map[string]int), violationKinds: make(map[string]int)}
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
	b := &backend{id: id, service: service, zone: zoneName(len(w.backends)), version: versions[0]}
	if w.cfg.hasMixedVersions() {
		b.version = versions[len(w.backends)%len(versions)]
	}
	b.target = listener.Addr().String()
	w.startProcess(b, id, listener)
	b.proxy, err = newProxy(w.cfg, "127.0.0.1:0", listener.Addr().String())
	return b, err
}

// shownViolations is how many violations of a kind are shown.
const shownViolations = 8

// addViolation records a violated guarantee. Those with the same format are of one kind.
func (w *world) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violationKinds[format]++
	if w.violationKinds[format] <= shownViolations {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

// allViolations returns the violations that are shown, and the numbers of the others.
func (w *world) allViolations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.violations
	for _, format := range slices.Sorted(maps.Keys(w.violationKinds)) {
		if more := w.violationKinds[format] - shownViolations; more > 0 {
			all = append(all, fmt.Sprintf("%d more: %s", more, format))
		}
	}
	return all
}

// serveList serves the platform's server list.
func (w *world) serveList(rw http.ResponseWriter, _ *http.Request) {
	var servers []placement.Server
	now := time.Now()
	for _, b := range w.backends {
		b.mu.Lock()
		if !b.unlisted {
			servers = append(servers, placement.Server{
				ID: b.process.id, Service: b.service, Addr: b.proxy.addr, Zone: b.zone, Slots: 48, Leaving: b.leaving, Version: b.version,
				Born: b.process.born, Cold: b.coldRemaining(now),
			})
		}
		b.mu.Unlock()
	}
	list := standin.List(servers)
	if odd := w.oddEntry.Load(); odd != nil {
		list = standin.InsertEntry(list, *odd)
	}
	_, _ = rw.Write(list)
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

// versions are the versions of the engines, which serve side by side or not. newVersion replaces
// them for a while.
var versions = []string{"v1", "v2"}

const newVersion = "v3"

// eventText returns an event of a stream, which names the caller's first attempt.
func eventText(event int, firstAttempt, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", event, firstAttempt, version)
}

// A stream has eventCount events, one in each eventInterval.
const (
	eventCount    = 12
	eventInterval = 15 * time.Millisecond
	streamTime    = eventCount * eventInterval
)

// serve handles a request that a server received, and checks that it was meant for this
// server.
func (w *world) serve(b *backend, p *process, rw http.ResponseWriter, r *http.Request) {
	id, expected, lastEvent := standin.ReadRequestHeaders(r)
	if strings.HasPrefix(id, crowdPrefix) {
		w.addViolation("request %s reached %s though its caller never finished it", id, b.id)
	}
	if w.spoils.Load() && r.ContentLength >= earlyBodyBytes && expected == p.id && cutsOffEarly(id) {
		w.countRun(id)
		standin.Sign(rw, id, signature(id, ""))
		cutOffEarly(rw, firstPart(r.URL.Path, lastEvent+1, b.currentVersion()))
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if p.isStatusRequest(rw, r) {
		return
	}
	if standin.IsCacheListRequest(r) {
		_, _ = io.WriteString(rw, standin.EmptyCacheList)
		return
	}
	if expected != p.id && strings.HasPrefix(expected, b.id) {
		standin.RefuseMisdirected(rw, id)
		return
	}
	if expected != p.id {
		w.addViolation("request %s for %q reached %s", id, expected, p.id)
		return
	}
	b.mu.Lock()
	version := b.version
	late := b.leaving && time.Since(b.leavingSince) > drainGrace
	b.mu.Unlock()
	if late && w.cfg.isSettled() {
		w.addViolation("request %s reached %s more than %s after it started leaving", id, b.id, drainGrace)
	}
	now := time.Now()
	w.checkZone(b, id, now)
	b.stateLeaving(w, rw, id, now)
	if b.refuseInPause(w, rw, id, now) {
		return
	}
	first, other := w.takeScript(r, id)
	if other != nil && other.other == otherRefuses {
		other.refuse(rw, id)
		return
	}
	w.countRun(id)
	defer w.arrive(b, now).Add(-1)
	b.receiveLimited(w, rw, now)
	standin.Sign(rw, id, signature(id, ""))
	if other != nil {
		other.answer(rw)
		return
	}
	if spoil := spoiledAnswer(id); w.spoils.Load() && spoil != nil {
		spoil.write(rw)
		return
	}
	var parts []string
	if !isStreamPath(path.Dir(r.URL.Path) + "/") {
		time.Sleep(20 * time.Millisecond)
		parts = []string{"booked ", id}
	} else {
		rw.Header().Set("Content-Type", "text/event-stream")
		for event := lastEvent + 1; event <= eventCount; event++ {
			parts = append(parts, eventText(event, path.Base(r.URL.Path), version))
		}
	}
	stray := ""
	if earlier := b.lastID.Swap(&id); earlier != nil && w.hasStrays.Load() {
		stray = strayRefusal(id, *earlier)
	}
	first.play(r.Context(), beforeHead, func() { panic(http.ErrAbortHandler) })
	// An unframed response of a desk is cut off if it outlasts unused connections (KNOWN-RED.txt).
	response, err := beginResponse(rw, id, stray, first != nil && b.service == "desk")
	if err != nil {
		return
	}
	for i, part := range parts {
		if p.ended.Load() {
			response.endProcess()
		}
		response.flush()
		first.play(r.Context(), i, response.breakOff)
		if _, err := io.WriteString(response, part); err != nil {
			break
		}
		response.flush()
		time.Sleep(eventInterval)
	}
	response.end()
}

func (w *world) countRun(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
}

// hasRun reports whether a server has run a request.
func (w *world) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id] > 0
}

// firstPart returns the first part of the response to a request that resumes a stream at an event, or has none.
func firstPart(requestPath string, event int, version string) string {
	if isStreamPath(path.Dir(requestPath) + "/") {
		return eventText(event, path.Base(requestPath), version)
	}
	return "booked "
}

// stop stops the servers and the server list.
func (w *world) stop() {
	for _, b := range w.backends {
		b.proxy.close()
		_ = b.process.http.Close()
	}
	_ = w.listServer.Close()
}
