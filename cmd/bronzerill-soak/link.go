package main

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// link is the network path from other routers to one router. RPCs pass through a proxy,
// digests through a UDP relay, and both can be blocked.
type link struct {
	*proxy
	digests net.PacketConn
	// dropDigests is set while the relay drops digests.
	dropDigests atomic.Bool
}

// maxDigestBytes is larger than any digest.
const maxDigestBytes = 1 << 16

// newLink opens a link that listens at addr and forwards to target.
func newLink(cfg config, addr, target string) (*link, error) {
	rpcProxy, err := newProxy(cfg, addr, target)
	if err != nil {
		return nil, err
	}
	digests, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for digests")
	}
	targetAddr, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, errors.Wrap(err, "resolve router address")
	}
	l := &link{proxy: rpcProxy, digests: digests}
	cfg.tasks.Go(func() error {
		buffer := make([]byte, maxDigestBytes)
		for {
			n, _, err := digests.ReadFrom(buffer)
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err == nil && !l.dropDigests.Load() {
				// Fails while the router is down, which is not an error here.
				_, _ = digests.WriteTo(buffer[:n], targetAddr)
			}
		}
	})
	return l, nil
}

// partition blocks traffic to or from the router, or both, for a duration.
func (l *link) partition(direction int32, duration time.Duration) {
	l.dropDigests.Store(direction != backward)
	l.blocked.Store(direction)
	time.Sleep(duration)
	l.heal()
}

// heal ends all faults of the link.
func (l *link) heal() {
	l.blocked.Store(0)
	l.delay.Store(0)
	l.dropDigests.Store(false)
}

// close stops the proxy and the relay.
func (l *link) close() {
	_ = l.digests.Close()
	l.proxy.close()
}
