// Package server sends HTTP requests to backend servers. It manages its own
// connections, so that it knows how much was sent when a connection breaks, never
// sends a request twice, and detects a response that belongs to another request.
package server

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/wire/tcp"
)

// Limits of connections.
const (
	// firstDialTimeout and secondDialTimeout limit the TCP handshake. Data centres are
	// less than 2 ms apart, and TCP resends a lost SYN packet only after a second, so
	// a second dial is faster. An unreachable server costs both timeouts.
	firstDialTimeout  = 100 * time.Millisecond
	secondDialTimeout = 200 * time.Millisecond
	// userTimeout closes a connection whose packets aren't acknowledged, or whose server doesn't
	// read on. It is longer than TCP needs to recover from lost packets, and than servers pause.
	userTimeout = 5 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection
	// while a server is still processing a request.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// maxIdleTime is the maximum idle time of a pooled connection.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a server announces.
	idleMargin = time.Second
	// maxKeepAliveSeconds is the longest idle timeout that is believed, in seconds.
	maxKeepAliveSeconds = 3600
	// maxIdleConns is the maximum number of idle connections to one server.
	maxIdleConns = 16
	// readBuffer is the size of the read buffer in bytes: a few events of a stream,
	// or one small response.
	readBuffer = 4096
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
)

// clientConn is one connection to a server.
type clientConn struct {
	*tcp.Conn
	// reader reads from limited.
	reader  *bufio.Reader
	limited *limitedReader
	addr    string
	// usableUntil is when the server may close the connection for being idle.
	usableUntil time.Time
	idleSince   time.Time
}

// beginHead prepares the connection for the header of a response.
func (c *clientConn) beginHead() error {
	alreadyRead, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return errors.Wrap(err, "read buffer")
	}
	return c.limited.beginHead(alreadyRead)
}

// reset closes the connection of a call that is given up.
func (c *clientConn) reset() error { return tcp.Reset(c.Conn) }

// pool holds idle connections by address.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*clientConn
}

// take returns an idle connection that can be reused, or nil.
func (p *pool) take(now time.Time, addr string, maxIdleFor time.Duration) *clientConn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if now.Before(c.usableUntil) && now.Sub(c.idleSince) < maxIdleFor && c.isReusable() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(addr string) *clientConn {
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

// put returns a connection to the pool.
func (p *pool) put(now time.Time, c *clientConn) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[c.addr]; len(list) < maxIdleConns {
		p.idle[c.addr] = append(list, c)
		return
	}
	_ = c.Close()
}

// putUnused returns a connection on which nothing was sent since it was taken. Connections
// that were used are taken before it, since the server closes it for being idle first.
func (p *pool) putUnused(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[c.addr]; len(list) < maxIdleConns {
		p.idle[c.addr] = slices.Insert(list, 0, c)
		return
	}
	_ = c.Close()
}

// sweep closes the connections that were idle for too long.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) && now.Sub(c.idleSince) < maxIdleTime {
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

// isReusable reports whether the connection is open and has no unread data. Data that
// arrives while a connection is idle doesn't belong to the next request.
func (c *clientConn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var first [1]byte
		_, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}

// dial opens a connection to addr.
func dial(ctx context.Context, addr string, timeout time.Duration) (*clientConn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(network, address string, raw syscall.RawConn) error {
			if err := tcp.LimitBuffers(network, address, raw); err != nil {
				return err
			}
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	conn := tcp.NewConn(c)
	limited := &limitedReader{Reader: conn, remaining: unlimited}
	return &clientConn{Conn: conn, reader: bufio.NewReaderSize(limited, readBuffer), limited: limited, addr: addr, usableUntil: farFuture}, nil
}

// farFuture is the idle deadline for servers that announce no idle timeout.
var farFuture = time.Unix(1<<40, 0)

// idleDeadline returns the time until which a connection may stay idle, by the
// Keep-Alive header of its last response.
func idleDeadline(now time.Time, header http.Header) time.Time {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return now
		}
		return now.Add(time.Duration(min(seconds, maxKeepAliveSeconds))*time.Second - idleMargin)
	}
	return farFuture
}
