package main

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// link is the way from other routers to one router: its calls pass a proxy, and its
// digests a relay that loses them while the link is cut.
type link struct {
	*proxy
	digests net.PacketConn
	// dropDigests is set while digests are dropDigests.
	dropDigests atomic.Bool
}

// maxDigestBytes is above the size of any digest, in bytes.
const maxDigestBytes = 1 << 16

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
		return nil, errors.Wrap(err, "address of the router")
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
				// A router that is down takes none, which is no fault.
				_, _ = digests.WriteTo(buffer[:n], targetAddr)
			}
		}
	})
	return l, nil
}

// partition silences the way to the router in one direction or both, for a time.
func (l *link) partition(direction int32, duration time.Duration) {
	l.dropDigests.Store(direction != backward)
	l.blocked.Store(direction)
	time.Sleep(duration)
	l.heal()
}

func (l *link) heal() {
	l.blocked.Store(0)
	l.delay.Store(0)
	l.dropDigests.Store(false)
}

func (l *link) close() {
	_ = l.digests.Close()
	l.proxy.close()
}
