package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/wire/tcp"
)

// proxy forwards TCP connections to a target. It can delay responses, reset
// connections, and block one direction or both.
type proxy struct {
	cfg      config
	addr     string
	target   string
	listener net.Listener
	// delay is added to each read from the target, in nanoseconds.
	delay atomic.Int64
	// blocked holds the directions, as bits, in which no data passes.
	blocked atomic.Int32
	// held is what is held up on its way to the target, nil if nothing is.
	held  atomic.Pointer[heldOrder]
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Directions of a connection, as bits: forward is toward the target.
const (
	forward  int32 = 1
	backward int32 = 2
	both     int32 = 3
)

// newProxy opens a proxy that listens at addr and forwards to target.
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

// relay connects to the target and copies data in both directions.
func (p *proxy) relay(conn net.Conn) {
	dialed, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	// A reset must not become a close on its way to the router.
	upstream := net.Conn(tcp.NewConn(dialed))
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

// copy copies data in one direction until a connection fails or ends.
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
		if direction == forward {
			p.held.Load().await(buffer[:n])
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.reset(to)
				p.reset(from)
			}
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// reset prepares a connection so that its Close sends a TCP reset.
func (p *proxy) reset(conn net.Conn) {
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// With a linger time of 0, Close sends a reset. SetLinger fails if the connection is
		// already closed, which is not an error here.
		_ = lingerer.SetLinger(0)
	}
}

// resetAll resets every open connection.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		p.reset(conn)
		_ = conn.Close()
	}
}

// close stops listening and resets every open connection.
func (p *proxy) close() {
	p.blocked.Store(0)
	p.held.Load().release()
	_ = p.listener.Close()
	p.resetAll()
}
