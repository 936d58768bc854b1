package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of the impossible length.
const (
	// contactWindow is contact_window_ms of the installation.
	contactWindow = 3 * time.Second
	keptChannels  = 6
	roundPause    = 6 * time.Second
	budget        = 5 * time.Second
	// endPause is how long the end of a process is waited for after it has closed its channels.
	endPause = time.Second
	// plainRequests are sent to the faulty server in each round, of which one answer is spoiled.
	plainRequests = 40
)

const lengthDocument = `{"version":7,"routes":[
{"name":"r-sound","host":"ficu95.example","path_prefix":"/sound/","kind":"idempotent","timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"sound","max_attempts":1,"public":false,"sticky":false,"resumable":false},
{"name":"r-faulty","host":"ficu95.example","path_prefix":"/faulty/","kind":"idempotent","timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"faulty","max_attempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"sound","health_path":"/health","max_conns":130,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0},{"name":"faulty","health_path":"/health","max_conns":130,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// playLength lets a faulty server spoil one answer per router: its head states a length that no
// answer can have. Meanwhile requests on kept channels run at sound servers.
func playLength(l *lab) (broken int, err error) {
	for i := range 2 {
		if _, err := l.addServer("sound", l.fleet.routers[i].zone, time.Second); err != nil {
			return 0, err
		}
	}
	faulty, err := l.addServer("faulty", l.fleet.routers[2].zone, 5*time.Millisecond)
	if err != nil {
		return 0, err
	}
	var spoiled atomic.Bool
	faulty.answer = func(r *received) []byte {
		if !spoiled.CompareAndSwap(true, false) {
			return nil
		}
		answer := "HTTP/1.1 200 OK\r\nX-Bronzerill-Request-Id: " + r.id + "\r\nX-Bronzerill-Response-Stamp: stamp-" + r.id +
			"\r\nContent-Length: 9223372036854775807\r\n\r\nspoiled"
		l.record.add("server", "%s spoils its answer to %s: %q", faulty.ID, r.id, answer)
		return []byte(answer)
	}
	if err := l.fleet.startAll(lengthDocument); err != nil {
		return 0, err
	}
	time.Sleep(contactWindow + time.Second)
	for i, r := range l.fleet.routers {
		lost, err := l.playLengthRound(i, r, &spoiled)
		if err != nil {
			return 0, err
		}
		// The rule LOST allows three.
		if lost > 3 {
			broken++
		}
		time.Sleep(roundPause)
	}
	return broken, nil
}

// playLengthRound plays the case at one router. It returns how many requests, passed on to sound
// servers, ended with a closed channel and no answer.
func (l *lab) playLengthRound(round int, r *router, spoiled *atomic.Bool) (lost int, err error) {
	addr := l.fleet.addr(r, portCallers)
	var channels []*channel
	for i := range keptChannels + 1 {
		c, err := openChannel(l.record, fmt.Sprintf("client-%d", i), addr)
		if err != nil {
			return 0, err
		}
		defer c.close()
		channels = append(channels, c)
	}
	plain := channels[keptChannels]
	for i := range plainRequests {
		id := fmt.Sprintf("plain-%d-%d", round, i)
		if a := plain.ask(id, request("/faulty/2f", id, budget), budget); a.status != http.StatusOK {
			return 0, fmt.Errorf("%s: %v", id, a)
		}
	}
	if first := l.askAll(fmt.Sprintf("first-%d", round), channels[:keptChannels]).wait(); first > 0 {
		return 0, fmt.Errorf("%d of the first requests to %s weren't answered", first, r.name)
	}
	second := l.askAll(fmt.Sprintf("second-%d", round), channels[:keptChannels])
	// All of them run by now; each takes a second.
	time.Sleep(300 * time.Millisecond)
	spoiled.Store(l.trouble)
	id := fmt.Sprintf("trigger-%d", round)
	plain.ask(id, request("/faulty/2f", id, budget), budget)
	lost = second.wait()
	l.record.add("result", "%s: %d of %d requests on kept channels, at sound servers, weren't answered", r.name, lost, keptChannels)
	if r.awaitEnd(endPause) {
		for _, line := range l.fleet.excerpt(r, "panic", 2) {
			l.record.add("output", "%s: %s", r.name, line)
		}
		// The platform starts a process again that has ended.
		if err := l.fleet.start(r, false); err != nil {
			return 0, err
		}
	}
	return lost, nil
}

// requests are sent at the same time, each on a channel of its own.
type requests struct {
	group      sync.WaitGroup
	unanswered atomic.Int32
}

// wait returns how many requests got no answer.
func (r *requests) wait() int {
	r.group.Wait()
	return int(r.unanswered.Load())
}

// askAll sends a request on each channel.
func (l *lab) askAll(name string, channels []*channel) *requests {
	var all requests
	for i, c := range channels {
		id := fmt.Sprintf("%s-%d", name, i)
		all.group.Go(func() {
			if a := c.ask(id, request("/sound/2f", id, budget), budget); a.err != nil {
				all.unanswered.Add(1)
			}
		})
	}
	return &all
}
