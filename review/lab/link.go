package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// link is the network path from the other routers to one router: a proxy for TCP and a relay for
// digests.
type link struct {
	lab      *lab
	listener net.Listener
	digests  net.PacketConn
	target   string
	mu       sync.Mutex
	conns    map[*channel]bool
	// cutFrom holds the routers from which nothing arrives.
	cutFrom map[*router]bool
}

// channel is one connection through a link.
type channel struct {
	from, to net.Conn
	// sender is the router that opened the connection, nil if unknown.
	sender *router
}

const maxDigestBytes = 1 << 16

func (l *lab) newLink(addr, target string) (*link, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for routers")
	}
	digests, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for digests")
	}
	targetAddr, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, errors.Wrap(err, "address of a router")
	}
	k := &link{lab: l, listener: listener, digests: digests, target: target, conns: make(map[*channel]bool), cutFrom: make(map[*router]bool)}
	l.tasks.Go(func() error { k.relayDigests(targetAddr); return nil })
	l.tasks.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			l.tasks.Go(func() error { k.relay(conn); return nil })
		}
	})
	return k, nil
}

func (k *link) relayDigests(target net.Addr) {
	buffer := make([]byte, maxDigestBytes)
	for {
		n, from, err := k.digests.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || k.isCut(k.lab.routerAt(from)) {
			continue
		}
		// A lost digest is replaced by the next one.
		_, _ = k.digests.WriteTo(buffer[:n], target)
	}
}

// routerAt returns the router whose internal address a datagram came from.
func (l *lab) routerAt(from net.Addr) *router {
	for _, r := range l.routers {
		if l.addr(r, portInternal) == from.String() {
			return r
		}
	}
	return nil
}

func (k *link) isCut(from *router) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cutFrom[from]
}

// setCut cuts off or reconnects one router. What it sends meanwhile on open connections is held up, as by
// a network that drops packets which TCP sends again.
func (k *link) setCut(from *router, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutFrom[from] = cut
}

const cutPoll = 5 * time.Millisecond

func (k *link) relay(from net.Conn) {
	sender := k.lab.senderOf(from)
	for k.isCut(sender) {
		// The opening packet is dropped and sent again.
		time.Sleep(cutPoll)
	}
	to, err := net.Dial("tcp4", k.target)
	if err != nil {
		_ = from.Close() // the router is down
		return
	}
	c := &channel{from: from, to: to, sender: sender}
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	k.lab.tasks.Go(func() error { k.copy(c, to, from); return nil })
	k.copy(c, from, to)
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// copy copies one direction of a connection.
func (k *link) copy(c *channel, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for k.isCut(c.sender) {
			time.Sleep(cutPoll)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if half, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			// The other direction may go on.
			_ = half.CloseWrite() // it may be closed already
			return
		}
		_, _ = to.Close(), from.Close() // one of them has failed
		return
	}
}

func (k *link) close() {
	_, _ = k.listener.Close(), k.digests.Close() // the case is over
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_, _ = c.from.Close(), c.to.Close()
	}
	clear(k.cutFrom)
}

// senderOf finds the router that opened a connection, by the sockets of the processes that the case
// started.
func (l *lab) senderOf(conn net.Conn) *router {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	for _, r := range l.routers {
		if r.cmd != nil && r.cmd.Process != nil && ownsPort(r.cmd.Process.Pid, remote.Port) {
			return r
		}
	}
	return nil
}

// ownsPort reports whether a process has a TCP socket with this local port.
func ownsPort(pid, port int) bool {
	folder := fmt.Sprintf("/proc/%d", pid)
	table, err := os.ReadFile(filepath.Join(folder, "net", "tcp"))
	if err != nil {
		return false
	}
	inodes := make(map[string]bool)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) {
			inodes["socket:["+fields[9]+"]"] = true
		}
	}
	files, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return false
	}
	for _, file := range files {
		if name, err := os.Readlink(filepath.Join(folder, "fd", file.Name())); err == nil && inodes[name] {
			return true
		}
	}
	return false
}
