package router

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"bronzerill/internal/router/caller"
	"bronzerill/internal/router/peer"
	"bronzerill/internal/router/placement"
)

// streamLookupTimeout is the timeout of one question about a stream to a peer.
const streamLookupTimeout = 300 * time.Millisecond

// streamRegistry records at which version streams began, at this router and at a few peers
// that outlive it.
type streamRegistry struct {
	router  *Router
	records *peer.StreamTable
	// clients are separate from those of other calls, because a call that times out
	// closes the connection.
	clients *peer.Clients
}

var _ caller.Streams = (*streamRegistry)(nil)

func newStreamRegistry(r *Router, clients *peer.Clients) *streamRegistry {
	return &streamRegistry{router: r, records: peer.NewStreamTable(), clients: clients}
}

// Began records the version at which a stream began.
func (s *streamRegistry) Began(now time.Time, request string, version placement.VersionKey) {
	record := peer.StreamRecord{Stream: peer.StreamKeyOf(request), Version: version}
	s.records.Add(record)
	s.router.gossip.SendStream(record, s.router.peers.Holders(now, record.Stream, peer.StreamHolders))
}

// Version returns the version at which a stream began. If this router has no record, it
// asks the peers that may have one.
func (s *streamRegistry) Version(ctx context.Context, now time.Time, request string) (placement.VersionKey, bool) {
	stream := peer.StreamKeyOf(request)
	if version, ok := s.records.Version(stream); ok {
		return version, true
	}
	addrs := s.router.peers.Holders(now, stream, peer.StreamCandidates)
	versions := make(chan placement.VersionKey, len(addrs))
	var group errgroup.Group
	for _, addr := range addrs {
		group.Go(func() error {
			versions <- s.ask(ctx, addr, stream)
			return nil
		})
	}
	for range addrs {
		if version := <-versions; version != 0 {
			s.records.Add(peer.StreamRecord{Stream: stream, Version: version})
			return version, true
		}
	}
	return 0, false
}

// SoleVersion returns the version at which all streams of a service began, if there is only
// one.
func (s *streamRegistry) SoleVersion(ctx context.Context, service string) (placement.VersionKey, bool) {
	return s.router.versions.soleVersion(ctx, service)
}

// ask returns what a peer knows of a stream, or 0.
func (s *streamRegistry) ask(ctx context.Context, addr string, stream peer.StreamKey) placement.VersionKey {
	ctx, cancel := context.WithTimeout(ctx, streamLookupTimeout)
	defer cancel()
	var reply peer.StreamReply
	if err := s.clients.Call(ctx, addr, "Stream", &peer.StreamRequest{Stream: stream}, &reply); err != nil {
		s.router.log.Debug("stream record not fetched", "from", addr, "error", err.Error())
		return 0
	}
	return reply.Version
}
