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
	// lost is set while digests are lost.
	lost atomic.Bool
}

// maxDigest is above the size of any digest, in bytes.
const maxDigest = 1 << 16

func newLink(cfg config, addr, target string) (*link, error) {
	calls, err := newProxy(cfg, addr, target)
	if err != nil {
		return nil, err
	}
	digests, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for digests")
	}
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, errors.Wrap(err, "address of the router")
	}
	l := &link{proxy: calls, digests: digests}
	cfg.tasks.Go(func() error {
		buffer := make([]byte, maxDigest)
		for {
			n, _, err := digests.ReadFrom(buffer)
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err == nil && !l.lost.Load() {
				// A router that is down takes none, which is no fault.
				_, _ = digests.WriteTo(buffer[:n], to)
			}
		}
	})
	return l, nil
}

// cut silences the way to the router in one direction or both, for a time.
func (l *link) cut(direction int32, length time.Duration) {
	l.lost.Store(direction != backward)
	l.silent.Store(direction)
	time.Sleep(length)
	l.heal()
}

func (l *link) heal() {
	l.silent.Store(0)
	l.delay.Store(0)
	l.lost.Store(false)
}

func (l *link) close() {
	_ = l.digests.Close()
	l.proxy.close()
}
