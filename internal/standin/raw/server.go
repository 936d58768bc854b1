// Package raw is a stand-in for backend servers whose responses are broken. It writes them as they are, at any
// time and in any form.
package raw

import (
	"bufio"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Handler responds to a request whose body hasn't been read. The connection is closed unless it returns true.
type Handler func(conn *net.TCPConn, r *http.Request) (goesOn bool)

// Server passes requests on to a handler.
type Server struct {
	handler  Handler
	listener net.Listener
	group    errgroup.Group
	mu       sync.Mutex
	conns    []net.Conn
	closed   bool
}

// NewServer starts a server on a free port.
func NewServer(handler Handler) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{handler: handler, listener: listener}
	s.group.Go(func() error { s.accept(); return nil })
	return s, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes all connections and waits for the handlers.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	_ = s.group.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.add(conn) {
			s.group.Go(func() error { s.serve(conn.(*net.TCPConn)); return nil })
		}
	}
}

// add reports whether the server still takes a connection.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns = append(s.conns, conn)
	return true
}

func (s *Server) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !s.handler(conn, r) {
			return
		}
	}
}

// Reset closes a connection with a reset.
func Reset(conn *net.TCPConn) {
	// If this fails, the connection is broken already.
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
