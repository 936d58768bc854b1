// Package server is the operator port of a process: health for the balancer,
// metrics and, on control replicas, the operators' functions.
package server

import (
	"crypto/subtle"
	"expvar"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Config configures a Server.
type Config struct {
	// Secret is what operators prove as a bearer token.
	Secret string
	// Allow lists the address ranges that may connect.
	Allow []string
	// API serves the operators' functions; nil without a control role.
	API http.Handler
}

// Server is the handler of the operator port.
type Server struct {
	cfg   Config
	allow []netip.Prefix
	ready atomic.Bool
}

// NewServer returns a server that isn't ready.
func NewServer(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg}
	for _, text := range cfg.Allow {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, errors.Wrap(err, "operator.allow")
		}
		s.allow = append(s.allow, prefix)
	}
	return s, nil
}

// SetReady tells the balancer whether to send callers here.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", s.serveReady)
	mux.Handle("GET /debug/vars", s.guard(expvar.Handler()))
	mux.Handle("GET /debug/pprof/", s.guard(http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", s.guard(http.HandlerFunc(pprof.Profile)))
	if s.cfg.API != nil {
		mux.Handle("/v1/", s.guard(s.cfg.API))
	}
	return s.filter(mux)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// filter refuses addresses that may not connect.
func (s *Server) filter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.isAllowed(r.RemoteAddr) {
			http.Error(w, "address not allowed", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) isAllowed(remote string) bool {
	addr, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	for _, prefix := range s.allow {
		if prefix.Contains(addr.Addr().Unmap()) {
			return true
		}
	}
	return false
}

// guard refuses operators without the secret.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.cfg.Secret)) != 1 {
			http.Error(w, "operator secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
