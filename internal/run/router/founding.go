package router

import (
	"context"
	"slices"
	"time"

	"bronzerill/internal/control/replica"
	"bronzerill/internal/router/neighbour"
)

// initFolder prepares an empty folder: the one replica that may found the group
// starts it alone, all others join.
func (g *group) initFolder(ctx context.Context, folder string) error {
	name := g.router.settings.Name
	if !g.router.settings.Router.Found {
		// The folder before this one may have voted under the old name.
		name = replica.NewName(name)
		g.router.log.Info("data folder prepared", "replica", name, "founder", false)
		return replica.InitStore(folder, name, replica.Members{})
	}
	founder := g.mayFound(ctx)
	if ctx.Err() != nil {
		return nil
	}
	members := replica.Members{}
	if founder {
		members = members.With(replica.Member{Name: name, Addr: g.router.settings.Router.Reached(), Voter: true})
	}
	g.router.log.Info("data folder prepared", "replica", name, "founder", founder)
	return replica.InitStore(folder, name, members)
}

// mayFound asks the first of the seeds, which is the same one for all, until it
// has an answer or a group is known.
func (g *group) mayFound(ctx context.Context) bool {
	seeds := g.router.peers.Seeds()
	registrar := slices.Min(seeds)
	self := g.router.settings.Router
	request := neighbour.BootstrapRequest{Name: g.router.settings.Name, Addr: self.Reached()}
	if registrar == self.Reached() {
		return g.GrantBootstrap(request)
	}
	for ctx.Err() == nil {
		if leader, _ := g.router.peers.Leader(time.Now()); leader != "" {
			return false
		}
		var reply neighbour.BootstrapReply
		callCtx, cancel := context.WithTimeout(ctx, neighbour.CallTimeout)
		err := g.router.clients.Call(callCtx, registrar, "Found", &request, &reply)
		cancel()
		if err == nil {
			return reply.Granted
		}
		select {
		case <-ctx.Done():
		case <-time.After(foundInterval):
		}
	}
	return false
}

// GrantBootstrap grants the founding to one replica: to this router's own, if it has a
// disk, else to the first that asks.
func (g *group) GrantBootstrap(r neighbour.BootstrapRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.router.settings.Router
	if !own.Found {
		return false
	}
	if own.DataFolder != "" {
		return r.Addr == own.Reached()
	}
	if g.granted == "" {
		g.granted = r.Addr
	}
	return g.granted == r.Addr
}
