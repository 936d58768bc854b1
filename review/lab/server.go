package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// serverSettings configures the process of a backend server.
type serverSettings struct {
	ID     string `json:"id"`
	Work   int    `json:"work_ms"`
	Health string `json:"health_path"`
	// Stream is the prefix of requests that are answered with a stream of events.
	Stream string `json:"stream_prefix"`
	Events int    `json:"events"`
	Gap    int    `json:"gap_ms"`
}

// backend is a backend server in a process of its own.
type backend struct {
	id, zone string
	addr     string
	cmd      *exec.Cmd
	mu       sync.Mutex
	// arrivals holds the times at which requests reached the server.
	arrivals []time.Time
}

// startServer starts a server and lists it.
func (l *lab) startServer(id, service, zone string) error {
	settings, err := json.Marshal(serverSettings{ID: id, Work: 20, Health: "/health", Stream: streamPrefix, Events: 90, Gap: 100})
	if err != nil {
		return errors.Wrap(err, "settings of a server")
	}
	b := &backend{id: id, zone: zone, cmd: exec.Command(l.self, "server", string(settings))}
	b.cmd.Stderr = os.Stderr
	out, err := b.cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "output of a server")
	}
	if err := b.cmd.Start(); err != nil {
		return errors.Wrap(err, "start server")
	}
	l.servers = append(l.servers, b)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return errors.New("a server doesn't listen")
	}
	b.addr = lines.Text()
	l.tasks.Go(func() error {
		for lines.Scan() {
			now := time.Now()
			request, _ := strings.CutPrefix(lines.Text(), "reached ")
			b.mu.Lock()
			b.arrivals = append(b.arrivals, now)
			b.mu.Unlock()
			l.record.addAt(now, "request %s reaches server %s (%s) and runs", request, b.id, b.zone)
		}
		return nil
	})
	l.platform.add(instance{
		ID: id, Service: service, Address: b.addr, Zone: zone, Version: "v1", Slots: 48, State: "ready", Born: time.Now().UnixMilli(),
	})
	return nil
}

// arrivalsAfter returns the number of requests that reached the server after a time.
func (b *backend) arrivalsAfter(at time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := 0
	for _, arrivedAt := range b.arrivals {
		if arrivedAt.After(at) {
			late++
		}
	}
	return late
}

// runServer is the process of a server. It prints its address, and a line for each request that it runs.
func runServer(text string) error {
	var s serverSettings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return errors.Wrap(err, "settings")
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	var mu sync.Mutex
	fmt.Println(listener.Addr())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Bronzerill-Request-Id")
		if expected := r.Header.Get("X-Bronzerill-Expect-Instance"); expected != "" && expected != s.ID {
			w.Header().Set("X-Bronzerill-Request-Id", id)
			w.Header().Set("X-Bronzerill-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == s.Health {
			w.Header().Set("X-Bronzerill-Instance-Id", s.ID)
			return
		}
		mu.Lock()
		fmt.Println("reached", id)
		mu.Unlock()
		time.Sleep(time.Duration(s.Work) * time.Millisecond)
		w.Header().Set("X-Bronzerill-Request-Id", id)
		w.Header().Set("X-Bronzerill-Response-Stamp", s.ID+"."+id)
		if strings.HasPrefix(r.URL.Path, s.Stream) {
			s.stream(w, r)
			return
		}
		// The router may have disconnected.
		_, _ = fmt.Fprintf(w, "%s ran %s\n", s.ID, id)
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	return errors.Wrap(server.Serve(listener), "serve")
}

// stream answers with the events after the last one that the caller has.
func (s serverSettings) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	// Without the header the stream starts at its first event.
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	for event := last + 1; event <= s.Events; event++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", event, event)
		if err == nil {
			err = controller.Flush()
		}
		if err != nil || r.Context().Err() != nil {
			return // the router has disconnected
		}
		time.Sleep(time.Duration(s.Gap) * time.Millisecond)
	}
}
