package peer

import (
	"context"
	"expvar"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Gossip timing.
const (
	// gossipInterval is the time between two rounds. Loads change within a few hundred
	// milliseconds.
	gossipInterval = 100 * time.Millisecond
	// fullDigestEvery is the number of rounds from one full digest to the next.
	fullDigestEvery = 2
)

var (
	digestBytesSent   = expvar.NewInt("digest-bytes-written")
	digestBytesRead   = expvar.NewInt("digest-bytes-read")
	digestsUnreadable = expvar.NewInt("digests-unreadable")
)

// GossipConfig configures a Gossip.
type GossipConfig struct {
	Self Peer
	// Listen is the local address. Peers may reach it under another address.
	Listen string
	Table  *Table
	// Fill adds this router's data to a digest.
	Fill func(now time.Time, d *Digest)
	// Received is called for each new digest.
	Received func(now time.Time, d Digest)
	// ReceivedStream is called for each record of a stream.
	ReceivedStream func(r StreamRecord)
	Clock          func() time.Time
	Log            hclog.Logger
}

// Gossip exchanges digests with peers over UDP.
type Gossip struct {
	cfg      GossipConfig
	conn     *net.UDPConn
	sequence uint64
	trigger  chan struct{}
	// forceFull makes the next digest a full one.
	forceFull bool
}

// NewGossip opens the UDP socket for digests. Run closes it.
func NewGossip(cfg GossipConfig) (*Gossip, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve address %s", cfg.Listen)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for digests")
	}
	return &Gossip{cfg: cfg, conn: conn, trigger: make(chan struct{}, 1)}, nil
}

// Trigger starts a round with a full digest without delay. It is called when something
// has changed.
func (g *Gossip) Trigger() {
	select {
	case g.trigger <- struct{}{}:
	default:
	}
}

// Run sends and receives digests until ctx is done.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return g.conn.Close()
	})
	group.Go(func() error { return g.receive(ctx) })
	group.Go(func() error {
		ticker := time.NewTicker(gossipInterval)
		defer ticker.Stop()
		for {
			g.sendRound()
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			case <-g.trigger:
				g.forceFull = true
			}
		}
	})
	return group.Wait()
}

func (g *Gossip) sendRound() {
	now := g.cfg.Clock()
	g.sequence++
	d := Digest{From: g.cfg.Self, Sequence: g.sequence, Full: g.sequence%fullDigestEvery == 0 || g.forceFull}
	g.forceFull = false
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
		// Send errors are ignored: the next digest replaces a lost one, and peers
		// notice a network failure as silence of this router.
		if n, err := g.conn.WriteToUDP(data, addr); err == nil {
			digestBytesSent.Add(int64(n))
		}
	}
}

// SendStream sends the record of a stream to peers. A record may be lost.
func (g *Gossip) SendStream(r StreamRecord, targets []string) {
	data := r.encode()
	for _, target := range targets {
		addr, err := net.ResolveUDPAddr("udp4", target)
		if err != nil {
			g.cfg.Log.Error("stream record not sent", "to", target, "error", err.Error())
			continue
		}
		// Send errors are ignored, because other peers get the record too.
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
			// This is the ICMP error of an earlier send. The socket stays usable.
			continue
		}
		digestBytesRead.Add(int64(n))
		if record, ok := decodeStreamRecord(buffer[:n]); ok {
			g.cfg.ReceivedStream(record)
			continue
		}
		d, err := decodeDigest(buffer[:n])
		if err != nil {
			digestsUnreadable.Add(1)
			g.cfg.Log.Warn("digest not decoded", "bytes", n, "error", err.Error())
			continue
		}
		now := g.cfg.Clock()
		if g.cfg.Table.Receive(now, d) {
			g.cfg.Received(now, d)
		}
	}
}
