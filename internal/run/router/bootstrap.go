package router

import (
	"context"
	"slices"
	"time"

	"bronzerill/internal/control/replica"
	"bronzerill/internal/router/peer"
)

// initFolder initializes an empty data folder. One replica bootstraps the group as its
// only member. All others start without members and join.
func (g *group) initFolder(ctx context.Context, folder string) error {
	name := g.router.settings.Name
	if !g.router.settings.Router.Bootstrap {
		// A replica with the configured name may have voted before its folder was lost,
		// so the replica gets a new name.
		name = replica.NewName(name)
		g.router.log.Info("data folder initialized", "replica", name, "founder", false)
		return replica.InitStore(folder, name, replica.Members{})
	}
	founder := g.mayBootstrap(ctx)
	if ctx.Err() != nil {
		return nil
	}
	members := replica.Members{}
	if founder {
		members = members.With(replica.Member{Name: name, Addr: g.router.settings.Router.AdvertisedAddr(), Voter: true})
	}
	g.router.log.Info("data folder initialized", "replica", name, "founder", founder)
	return replica.InitStore(folder, name, members)
}

// mayBootstrap asks for permission to bootstrap the group, until it gets an answer or
// knows a leader. It asks the lowest seed address, so that all replicas ask the same
// router.
func (g *group) mayBootstrap(ctx context.Context) bool {
	seeds := g.router.peers.Seeds()
	grantor := slices.Min(seeds)
	self := g.router.settings.Router
	request := peer.BootstrapRequest{Name: g.router.settings.Name, Addr: self.AdvertisedAddr()}
	if grantor == self.AdvertisedAddr() {
		return g.GrantBootstrap(request)
	}
	for ctx.Err() == nil {
		if leader, _ := g.router.peers.Leader(time.Now()); leader != "" {
			return false
		}
		var reply peer.BootstrapReply
		callCtx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
		err := g.router.clients.Call(callCtx, grantor, "Found", &request, &reply)
		cancel()
		if err == nil {
			return reply.Granted
		}
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapRetryDelay):
		}
	}
	return false
}

// GrantBootstrap permits one replica to bootstrap the group: this router's own replica if
// it has a disk, else the first that asks. A router whose settings exclude it from the
// bootstrap permits none.
func (g *group) GrantBootstrap(r peer.BootstrapRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.router.settings.Router
	if !own.Bootstrap {
		return false
	}
	if own.DataFolder != "" {
		return r.Addr == own.AdvertisedAddr()
	}
	if g.bootstrapGrantee == "" {
		g.bootstrapGrantee = r.Addr
	}
	return g.bootstrapGrantee == r.Addr
}
