package main

import (
	"encoding/json"
	"net"
	"net/http"
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
}

func (l *lab) startPlatform() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the list of servers")
	}
	p := &platformList{addr: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		// The router may have disconnected.
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.instances, "next": nil})
	})
	p.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	l.platform = p
	l.tasks.Go(func() error { _ = p.http.Serve(listener); return nil })
	return nil
}

func (p *platformList) add(i instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, i)
}
