// Package server speaks HTTP to backend servers, over connections of its own:
// so that it is known what was sent when a connection ends, nothing is ever sent
// twice, and an answer that belongs to another request is told apart.
package server

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Limits of the connections.
const (
	// firstDial and secondDial bound a connection's handshake: data centres are
	// under 2 ms apart, and an opening packet that was lost is repeated only after
	// a second, so a new try comes sooner. A dark server costs both.
	firstDial  = 100 * time.Millisecond
	secondDial = 200 * time.Millisecond
	// userTimeout ends a connection whose packets aren't acknowledged. It is
	// above the time in which TCP gets through a few lost packets.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection that
	// has gone silent while a server thinks.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// idleTime is how long a connection is kept without use.
	idleTime = 4 * time.Second
	// idleMargin is kept from the time after which a server says it closes an
	// idle connection.
	idleMargin = time.Second
	// maxIdle bounds the idle connections to one server.
	maxIdle = 16
	// readBuffer holds a few events of a stream, or a whole small answer.
	readBuffer = 4096
	// tcpUserTimeout is Linux's option TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
)

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	addr   string
	// usableUntil is when the server may close the connection as idle.
	usableUntil time.Time
	idleSince   time.Time
}

// pool keeps idle connections by address.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// take returns an idle connection that is still sound.
func (p *pool) take(now time.Time, addr string, maxIdleFor time.Duration) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if now.Before(c.usableUntil) && now.Sub(c.idleSince) < maxIdleFor && c.isQuiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put keeps a connection for later requests.
func (p *pool) put(now time.Time, c *conn) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[c.addr]; len(list) < maxIdle {
		p.idle[c.addr] = append(list, c)
		return
	}
	_ = c.Close()
}

// sweep closes the connections that have been idle for too long.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) && now.Sub(c.idleSince) < idleTime {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// isQuiet reports whether the connection is open and nothing has arrived on it.
// Bytes that arrive without a request belong to none.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// dial opens a connection.
func dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), addr: addr, usableUntil: farFuture}, nil
}

// farFuture stands for a server that doesn't say when it closes connections.
var farFuture = time.Unix(1<<40, 0)

// idleLimit reads from an answer how long its connection may stay idle.
func idleLimit(now time.Time, header http.Header) time.Time {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return now
		}
		return now.Add(time.Duration(seconds)*time.Second - idleMargin)
	}
	return farFuture
}
