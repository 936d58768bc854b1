package router

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// link is the network path to one router. It can hold up a call, as a network does that drops
// packets which TCP sends again.
type link struct {
	target string
	mu     sync.Mutex
	// holdIf reports whether bytes that routers send must be held up; nil holds nothing.
	holdIf func(data []byte) bool
	// held is the number of connections that were held up. Closing released lets them through.
	held     int
	released chan struct{}
	conns    []net.Conn
	// cut is set while nothing gets to the router.
	cut bool
}

func (c *cluster) linkAddr(router int) string {
	return fmt.Sprintf("127.0.1.%d:%d", router+1, c.ports["internal"])
}

func newLink(t *testing.T, addr, target string) *link {
	listener, err := net.Listen("tcp4", addr)
	require.NoError(t, err)
	digests, err := net.ListenPacket("udp4", addr)
	require.NoError(t, err)
	targetAddr, err := net.ResolveUDPAddr("udp4", target)
	require.NoError(t, err)
	k := &link{target: target}
	tasks := new(errgroup.Group)
	tasks.Go(func() error {
		buffer := make([]byte, 1<<16)
		for {
			n, _, err := digests.ReadFrom(buffer)
			if err != nil {
				return nil
			}
			if !k.isCut() {
				_, _ = digests.WriteTo(buffer[:n], targetAddr) // the router may be down
			}
		}
	})
	tasks.Go(func() error {
		for {
			from, err := listener.Accept()
			if err != nil {
				return nil
			}
			tasks.Go(func() error { k.relay(tasks, from); return nil })
		}
	})
	t.Cleanup(func() {
		_, _ = listener.Close(), digests.Close()
		k.release()
		k.mu.Lock()
		for _, conn := range k.conns {
			_ = conn.Close()
		}
		k.mu.Unlock()
		require.NoError(t, tasks.Wait())
	})
	return k
}

// hold holds up each connection on which bytes arrive for which holdIf returns true.
func (k *link) hold(holdIf func(data []byte) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holdIf, k.released = holdIf, make(chan struct{})
}

// setCut cuts the router off from the others, or reconnects it. What they send meanwhile is lost.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	if cut {
		for _, conn := range k.conns {
			_ = conn.Close()
		}
		k.conns = nil
	}
}

func (k *link) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut
}

// stopHolding lets new bytes through, but not those that are held up already. It returns the
// number of connections that are held up.
func (k *link) stopHolding() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holdIf = nil
	return k.held
}

// release lets through what is held up.
func (k *link) release() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.released != nil {
		close(k.released)
		k.released, k.holdIf = nil, nil
	}
}

// await blocks while the bytes must be held up.
func (k *link) await(data []byte) {
	k.mu.Lock()
	released := k.released
	if k.holdIf == nil || !k.holdIf(data) {
		k.mu.Unlock()
		return
	}
	k.held++
	k.mu.Unlock()
	<-released
}

func (k *link) relay(tasks *errgroup.Group, from net.Conn) {
	to, err := net.Dial("tcp4", k.target)
	if err != nil || k.isCut() {
		_ = from.Close()
		return
	}
	k.mu.Lock()
	k.conns = append(k.conns, from, to)
	k.mu.Unlock()
	tasks.Go(func() error {
		_, _ = io.Copy(from, to) // ends with either connection
		_ = from.Close()         // may be closed already
		return nil
	})
	buffer := make([]byte, 1<<16)
	for {
		n, err := from.Read(buffer)
		k.await(buffer[:n])
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// proposesFor reports whether bytes contain a proposal that names a zone.
func proposesFor(zone string) func(data []byte) bool {
	return func(data []byte) bool {
		return bytes.Contains(data, []byte("Propose")) && bytes.Contains(data, []byte(zone))
	}
}
