package neighbour

import (
	"context"
	"expvar"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Timing of the digests.
const (
	// interval is the pause between two rounds: loads change within a few hundred
	// milliseconds.
	interval = 100 * time.Millisecond
	// wholeEvery is the number of rounds from one whole digest to the next.
	wholeEvery = 2
)

var (
	digestBytesSent = expvar.NewInt("digest-bytes-written")
	digestBytesRead = expvar.NewInt("digest-bytes-read")
	digestsBroken   = expvar.NewInt("digests-unreadable")
)

// GossipConfig configures a Gossip.
type GossipConfig struct {
	Self Peer
	// Listen is the router's own address, which others may reach under another.
	Listen string
	Table  *Table
	// Fill completes a digest with what this router has to tell.
	Fill func(now time.Time, d *Digest)
	// Received takes each new digest.
	Received func(now time.Time, d Digest)
	Clock    func() time.Time
	Log      hclog.Logger
}

// Gossip sends and receives digests over UDP.
type Gossip struct {
	cfg      GossipConfig
	conn     *net.UDPConn
	sequence uint64
	prompt   chan struct{}
	// whole asks for a whole digest in the next round.
	whole bool
}

// NewGossip listens on the router's own address.
func NewGossip(cfg GossipConfig) (*Gossip, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "address %s", cfg.Listen)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for digests")
	}
	return &Gossip{cfg: cfg, conn: conn, prompt: make(chan struct{}, 1)}, nil
}

// Trigger asks for a round at once, since something has changed.
func (g *Gossip) Trigger() {
	select {
	case g.prompt <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return g.conn.Close()
	})
	group.Go(func() error { return g.receive(ctx) })
	group.Go(func() error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			g.round()
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			case <-g.prompt:
				g.whole = true
			}
		}
	})
	return group.Wait()
}

func (g *Gossip) round() {
	now := g.cfg.Clock()
	g.sequence++
	d := Digest{From: g.cfg.Self, Sequence: g.sequence, Full: g.sequence%wholeEvery == 0 || g.whole}
	g.whole = false
	if d.Full {
		d.Peers = g.cfg.Table.SamplePeers(now)
	}
	g.cfg.Fill(now, &d)
	data, err := d.encode()
	if err != nil || len(data) > maxDigest {
		g.cfg.Log.Error("digest not sent", "bytes", len(data), "error", errText(err))
		return
	}
	for _, target := range g.cfg.Table.Targets(now, d.Full) {
		addr, err := net.ResolveUDPAddr("udp4", target)
		if err != nil {
			g.cfg.Log.Error("digest not sent", "to", target, "error", err.Error())
			continue
		}
		// A lost digest is followed by the next one; errors of the network show
		// as silence of the router.
		if n, err := g.conn.WriteToUDP(data, addr); err == nil {
			digestBytesSent.Add(int64(n))
		}
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (g *Gossip) receive(ctx context.Context) error {
	buffer := make([]byte, 1<<16)
	for {
		n, _, err := g.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// An ICMP error of an earlier send; the socket goes on.
			continue
		}
		digestBytesRead.Add(int64(n))
		d, err := decodeDigest(buffer[:n])
		if err != nil {
			digestsBroken.Add(1)
			g.cfg.Log.Warn("digest unreadable", "bytes", n, "error", err.Error())
			continue
		}
		now := g.cfg.Clock()
		if g.cfg.Table.Receive(now, d) {
			g.cfg.Received(now, d)
		}
	}
}
