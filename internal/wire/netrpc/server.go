package netrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// maxConns bounds the number of open connections of one server.
	maxConns = 16_384
	// acceptRetryDelay is the delay after a connection couldn't be accepted.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server serves net/rpc services to peers that prove the secret.
type Server struct {
	secret Secret
	log    hclog.Logger
	rpc    *rpc.Server
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

// NewServer returns a server without services.
func NewServer(secret Secret, log hclog.Logger) *Server {
	return &Server{secret: secret, log: log, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Register registers a service under a name.
func (s *Server) Register(name string, service any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, service), "register %s", name)
}

// Serve accepts connections until ctx ends, then closes all connections.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		s.closeAll()
		return listener.Close()
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "accept")
			}
			if err != nil {
				// The process may have no file descriptor left. The others of its connections go on.
				s.log.Error("connection not accepted", "error", err.Error())
				select {
				case <-ctx.Done():
				case <-time.After(acceptRetryDelay):
				}
				continue
			}
			group.Go(func() error { s.serveConn(ctx, conn); return nil })
		}
	})
	return group.Wait()
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	if !s.track(ctx, conn) {
		return
	}
	defer s.untrack(conn)
	if err := s.secret.handshake(conn, "server", "client"); err != nil {
		s.log.Debug("handshake failed", "peer", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	s.rpc.ServeConn(countingConn{conn})
}

func (s *Server) track(ctx context.Context, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || len(s.conns) >= maxConns {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
