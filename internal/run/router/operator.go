package router

import (
	"context"
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
	err = g.propose(ctx, state.Command{At: time.Now(), Declare: &state.Declare{Number: document.Number, Source: source}})
	g.router.log.Info("declared state submitted", "number", document.Number, "bytes", len(source), "outcome", bronzerill.KindOf(err).String())
	return err
}

func (g *group) rejectState(detail string) error {
	g.router.log.Info("declared state rejected", "detail", detail)
	return bronzerill.Errorf(bronzerill.KindTicketInvalid, "%s", detail)
}

// SetZone takes a data centre out of service or back into service.
func (g *group) SetZone(ctx context.Context, zone string, out bool) error {
	err := g.propose(ctx, state.Command{At: time.Now(), SetZone: &state.SetZone{Zone: zone, Out: out}})
	g.router.log.Info("zone set", "zone", zone, "out", out, "outcome", bronzerill.KindOf(err).String())
	return err
}

func (g *group) propose(ctx context.Context, command state.Command) error {
	data, err := command.Encode()
	if err != nil {
		return bronzerill.Errorf(bronzerill.KindInternal, "encode command: %v", err)
	}
	return g.callLeader(ctx, func() error {
		_, err := g.Propose(ctx, data)
		return err
	}, func(addr string) error {
		var reply peer.ProposeReply
		if err := g.router.clients.Call(ctx, addr, "Propose", &peer.ProposeRequest{Command: data}, &reply); err != nil {
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
