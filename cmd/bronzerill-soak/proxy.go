package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// proxy stands before a server and delays, resets, cuts or silences connections.
type proxy struct {
	cfg      config
	addr     string
	target   string
	listener net.Listener
	// delay is added to each answer, in nanoseconds.
	delay atomic.Int64
	// blocked connections pass nothing in a direction, or in both.
	blocked atomic.Int32
	mu      sync.Mutex
	conns   map[net.Conn]bool
}

// Directions in which a connection is silent.
const (
	forward  int32 = 1
	backward int32 = 2
	both     int32 = 3
)

func newProxy(cfg config, addr, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &proxy{cfg: cfg, addr: listener.Addr().String(), target: target, listener: listener, conns: make(map[net.Conn]bool)}
	cfg.tasks.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			cfg.tasks.Go(func() error { p.relay(conn); return nil })
		}
	})
	return p, nil
}

func (p *proxy) relay(conn net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[upstream] = true, true
	p.mu.Unlock()
	p.cfg.tasks.Go(func() error { p.copy(upstream, conn, forward); return nil })
	p.copy(conn, upstream, backward)
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn, direction int32) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if direction == backward {
			time.Sleep(time.Duration(p.delay.Load()))
		}
		for p.blocked.Load()&direction != 0 {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.reset(to)
			}
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (p *proxy) reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without lingering the close is a reset; a closed connection needs none.
		_ = tcp.SetLinger(0)
	}
}

// resetAll resets every connection.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		p.reset(conn)
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	p.blocked.Store(0)
	_ = p.listener.Close()
	p.resetAll()
}
