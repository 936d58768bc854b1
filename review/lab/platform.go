package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// instance is an entry of the platform's list of servers.
type instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold_remaining_ms"`
	Born    int64  `json:"born"`
}

// platformList serves the list of servers.
type platformList struct {
	addr      string
	http      *http.Server
	mu        sync.Mutex
	instances []instance
	// foreign is an entry of another writer, empty for none.
	foreign string
}

func (l *lab) startPlatform() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the list of servers")
	}
	p := &platformList{addr: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The router may have disconnected.
		_, _ = io.WriteString(w, p.page())
	})
	p.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	l.platform = p
	l.tasks.Go(func() error { _ = p.http.Serve(listener); return nil })
	return nil
}

// page returns the list. It has a single page.
func (p *platformList) page() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var entries []string
	for _, i := range p.instances {
		// The fields are plain data, so encoding can't fail.
		data, _ := json.Marshal(i)
		entries = append(entries, string(data))
	}
	if p.foreign != "" {
		entries = append(entries, p.foreign)
	}
	return `{"instances":[` + strings.Join(entries, ",") + `],"next":null}`
}

// setForeign adds an entry of another writer.
func (p *platformList) setForeign(entry string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.foreign = entry
}

// setState sets the state of a server in the list.
func (p *platformList) setState(id, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.instances {
		if p.instances[i].ID == id {
			p.instances[i].State = state
		}
	}
}

// remove removes a server from the list.
func (p *platformList) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.DeleteFunc(p.instances, func(i instance) bool { return i.ID == id })
}

func (p *platformList) add(i instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, i)
}
