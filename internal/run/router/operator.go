package router

import (
	"context"
	"math"
	"strings"
	"time"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/peer"
	"bronzerill/platform"
)

var _ platform.Control = (*group)(nil)

// Declare validates a complete declared state and replicates it.
func (g *group) Declare(ctx context.Context, source []byte) error {
	document, err := g.router.adapter.Document(source)
	if err != nil {
		return g.rejectState(err.Error())
	}
	if faults := document.Faults(); len(faults) > 0 {
		return g.rejectState(strings.Join(faults, "; "))
	}
	err = g.propose(ctx, state.Command{At: time.Now(), Declare: &state.Declare{Number: document.Number, Source: source}}, peer.ZoneRevision{})
	g.router.log.Info("declared state submitted", "number", document.Number, "bytes", len(source), "outcome", bronzerill.KindOf(err).String())
	return err
}

func (g *group) rejectState(detail string) error {
	g.router.log.Info("declared state rejected", "detail", detail)
	return bronzerill.Errorf(bronzerill.KindTicketInvalid, "%s", detail)
}

// SetZone takes a data centre out of service or back into service. It fails if another order for
// the zone is accepted meanwhile.
func (g *group) SetZone(ctx context.Context, zone string, out bool) error {
	base, err := g.newestZoneRevision(ctx, zone)
	if err == nil {
		err = g.propose(ctx, state.Command{At: time.Now(), SetZone: &state.SetZone{Zone: zone, Out: out}}, base)
	}
	g.router.log.Info("zone set", "zone", zone, "out", out, "base-term", base.Term, "base-orders", base.Accepted, "outcome", bronzerill.KindOf(err).String())
	return err
}

// newestZoneRevision returns the revision of a zone at the leader.
func (g *group) newestZoneRevision(ctx context.Context, zone string) (revision peer.ZoneRevision, err error) {
	err = g.callLeader(ctx, func() error {
		var err error
		revision, err = g.ZoneRevision(ctx, zone)
		return err
	}, func(addr string) error {
		var reply peer.ReadReply
		if err := g.router.clients.Call(ctx, addr, "Read", &peer.ReadRequest{Above: math.MaxUint64, Zone: zone}, &reply); err != nil {
			return bronzerill.Errorf(bronzerill.KindNoQuorum, "%v", err)
		}
		revision = reply.ZoneRevision
		return peer.Err(reply.Kind, reply.Detail)
	})
	return revision, err
}

// propose replicates a command. base is zero except for orders for a zone.
func (g *group) propose(ctx context.Context, command state.Command, base peer.ZoneRevision) error {
	data, err := command.Encode()
	if err != nil {
		return bronzerill.Errorf(bronzerill.KindInternal, "encode command: %v", err)
	}
	return g.callLeader(ctx, func() error {
		_, err := g.Propose(ctx, data, base)
		return err
	}, func(addr string) error {
		var reply peer.ProposeReply
		if err := g.router.clients.Call(ctx, addr, "Propose", &peer.ProposeRequest{Command: data, Base: base}, &reply); err != nil {
			return bronzerill.Errorf(bronzerill.KindNoQuorum, "%v", err)
		}
		return peer.Err(reply.Kind, reply.Detail)
	})
}

// NewestVersions returns the noted versions by a linearizable read.
func (g *group) NewestVersions(ctx context.Context) (versions []state.NotedVersion, err error) {
	err = g.callLeader(ctx, func() error {
		var err error
		versions, err = g.Versions(ctx)
		return err
	}, func(addr string) error {
		var reply peer.VersionsReply
		if err := g.router.clients.Call(ctx, addr, "Versions", &peer.VersionsRequest{}, &reply); err != nil {
			return bronzerill.Errorf(bronzerill.KindNoQuorum, "%v", err)
		}
		versions = reply.Versions
		return peer.Err(reply.Kind, reply.Detail)
	})
	return versions, err
}

// Newest returns the newest declared state by a linearizable read.
func (g *group) Newest(ctx context.Context) (newest declared.State, err error) {
	err = g.callLeader(ctx, func() error {
		var err error
		newest, err = g.Read(ctx)
		return err
	}, func(addr string) error {
		current := g.router.holder.State()
		var reply peer.ReadReply
		if err := g.router.clients.Call(ctx, addr, "Read", &peer.ReadRequest{Above: current.Revision}, &reply); err != nil {
			return bronzerill.Errorf(bronzerill.KindNoQuorum, "%v", err)
		}
		if err := peer.Err(reply.Kind, reply.Detail); err != nil {
			return err
		}
		newest = current
		if reply.Revision > current.Revision {
			var err error
			if newest, err = reply.State.Unpack(); err != nil {
				return bronzerill.Errorf(bronzerill.KindInternal, "%v", err)
			}
		}
		return nil
	})
	return newest, err
}
