package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bronzerill/platform/standin"
)

// process is one process of a server. After a crash the next one has the same ID.
type process struct {
	http *http.Server
	id   string
	// born is the start time, in Unix milliseconds.
	born  int64
	ended atomic.Bool
}

// startProcess starts a process that listens for a server.
func (w *world) startProcess(b *backend, id string, listener net.Listener) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &process{id: id, born: time.Now().UnixMilli()}
	if b.process != nil {
		p.born = max(p.born, b.process.born+1)
	}
	p.http = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(b, p, rw, r) }), ReadHeaderTimeout: time.Second}
	b.process = p
	w.cfg.tasks.Go(func() error { _ = p.http.Serve(listener); return nil })
}

// crash ends the process of a server and starts the next one.
func (w *world) crash(b *backend, down time.Duration) {
	w.restart(b, b.currentProcess().id, down)
}

// replace replaces a server by one of another version, which has another ID.
func (w *world) replace(b *backend, version string) {
	b.mu.Lock()
	same := b.version == version
	b.version = version
	b.mu.Unlock()
	if !same {
		w.restart(b, b.nextID(), 0)
	}
}

// nextID returns the ID of the server that replaces the present one.
func (b *backend) nextID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replaced++
	return fmt.Sprintf("%s-%d", b.id, b.replaced)
}

func (b *backend) currentVersion() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

func (b *backend) currentProcess() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process
}

func (w *world) restart(b *backend, id string, down time.Duration) {
	p := b.currentProcess()
	p.ended.Store(true)
	_ = p.http.Close()
	time.Sleep(down)
	listener, err := net.Listen("tcp", b.target)
	if err != nil {
		w.addViolation("server %s didn't start again: %v", b.id, err)
		return
	}
	w.startProcess(b, id, listener)
}

// unframedShare is one in how many responses have neither a length nor chunks.
const unframedShare = 5

// response is where a server writes the body of a response.
type response struct {
	io.Writer
	flush func()
	// end ends the response properly, and breakOff so that it is known to be incomplete.
	end, breakOff func()
}

// strayShare is one in how many responses follow a refusal of another request.
const strayShare = 6

// strayRefusal returns what a faulty server writes before the response to a request: mostly nothing,
// else the refusal of an earlier request once more, or one that names no request.
func strayRefusal(id, earlier string) string {
	switch hashOf("stray "+id) % (2 * strayShare) {
	case 0:
		return standin.Refusal(earlier)
	case 1:
		return standin.Refusal("")
	}
	return ""
}

func hashOf(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// beginResponse sends the header of a response that was set on rw, after a stray one if that isn't
// empty.
func beginResponse(rw http.ResponseWriter, id, stray string) (response, error) {
	if hashOf(id)%unframedShare > 0 && stray == "" {
		return response{rw, func() { _ = http.NewResponseController(rw).Flush() }, func() {}, func() { panic(http.ErrAbortHandler) }}, nil
	}
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return response{}, err
	}
	_, _ = io.WriteString(conn, stray+"HTTP/1.1 200 OK\r\n")
	_ = rw.Header().Write(conn)
	_, err = io.WriteString(conn, "\r\n")
	reset := func() {
		_ = resetOnClose(conn)
		_ = conn.Close()
	}
	return response{conn, func() {}, func() { _ = conn.Close() }, reset}, err
}

// endProcess ends a response as the process that sends it ends. Without framing the caller
// can't tell that from its proper end.
func (r response) endProcess() {
	r.end()
	panic(http.ErrAbortHandler)
}

// isStatusRequest answers a query for the status of a server.
func (p *process) isStatusRequest(rw http.ResponseWriter, r *http.Request) bool {
	switch {
	case !standin.IsStatusRequest(r):
		return false
	case !standin.IsFor(r, p.id):
		rw.WriteHeader(http.StatusMisdirectedRequest)
	default:
		_, _ = fmt.Fprint(rw, standin.Status(p.born))
	}
	return true
}
