// Package server implements the operator port of a process. It serves health checks for
// the load balancer, metrics and, on control replicas, the operator API.
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

// Config holds the configuration of a Server.
type Config struct {
	// Secret is the bearer token that operators must send.
	Secret string
	// Allow lists the CIDR ranges of clients that may connect.
	Allow []string
	// API is the handler of the operator API, nil without a control role.
	API http.Handler
}

// Server serves the operator port. Its methods are safe for concurrent use.
type Server struct {
	cfg     Config
	allowed []netip.Prefix
	ready   atomic.Bool
}

// NewServer returns a server that isn't ready. It fails if a range in cfg.Allow is invalid.
func NewServer(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg}
	for _, cidr := range cfg.Allow {
		prefix, err := netip.ParsePrefix(cidr)
		if err != nil {
			return nil, errors.Wrap(err, "operator.allow")
		}
		s.allowed = append(s.allowed, prefix)
	}
	return s, nil
}

// SetReady sets the result of the load balancer's readiness check.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Handler returns the HTTP handler of the operator port.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", s.serveReady)
	mux.Handle("GET /debug/vars", s.requireSecret(expvar.Handler()))
	mux.Handle("GET /debug/pprof/", s.requireSecret(http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", s.requireSecret(http.HandlerFunc(pprof.Profile)))
	if s.cfg.API != nil {
		mux.Handle("/v1/", s.requireSecret(s.cfg.API))
	}
	return s.restrictAddresses(mux)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// restrictAddresses refuses requests from addresses outside the allowed ranges.
func (s *Server) restrictAddresses(next http.Handler) http.Handler {
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
	for _, prefix := range s.allowed {
		if prefix.Contains(addr.Addr().Unmap()) {
			return true
		}
	}
	return false
}

// requireSecret refuses requests without the operator secret.
func (s *Server) requireSecret(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.cfg.Secret)) != 1 {
			http.Error(w, "operator secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
