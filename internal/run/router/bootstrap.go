package router

import (
	"context"
	"slices"
	"time"

	"bronzerill/internal/control/replica"
	"bronzerill/internal/router/peer"
)

// initFolder initializes an empty data folder. At the first start of the fleet, the replica may be one of the
// founders of the group. All others join it under a new name, since a replica with the configured name may have voted
// before its folder was lost.
func (g *group) initFolder(ctx context.Context, folder string) error {
	own := g.router.settings
	id, err := replica.NewFolderID()
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.founding.setEmpty(own.Router.Bootstrap)
	g.mu.Unlock()
	identity := replica.Identity{Name: own.Name, Folder: id}
	if own.Router.Bootstrap {
		identity.Members = g.awaitFounders(ctx, peer.BootstrapRequest{Name: own.Name, Addr: own.Router.AdvertisedAddr(), Folder: id})
		if ctx.Err() != nil {
			return nil
		}
	}
	if len(identity.Members.List) == 0 {
		identity.Name = replica.NewName(own.Name)
	}
	g.router.log.Info("data folder initialized", "replica", identity.Name, "founders", len(identity.Members.List))
	return replica.InitStoreAs(folder, identity)
}

// awaitFounders asks the seeds for the founders until these are chosen, or a leader is known. It returns an empty list
// if the replica isn't one of them.
func (g *group) awaitFounders(ctx context.Context, own peer.BootstrapRequest) replica.Members {
	for ctx.Err() == nil {
		if leader, _ := g.router.peers.Leader(time.Now()); leader != "" {
			break
		}
		if founders, chosen := g.askForFounders(ctx, own); chosen {
			return foundersFor(own, founders)
		}
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapRetryDelay):
		}
	}
	return replica.Members{}
}

// askForFounders asks the seeds in the order of their addresses. This replica chooses the founders if it is the first
// seed that may be one, and none of the others knows any.
func (g *group) askForFounders(ctx context.Context, own peer.BootstrapRequest) (founders replica.Members, chosen bool) {
	seeds := slices.Sorted(slices.Values(g.router.peers.Seeds()))
	if len(seeds) > 0 && seeds[0] == own.Addr {
		// Only this router could have chosen any, and its folder is empty since the first start.
		return g.chooseFounders(own, seeds, nil)
	}
	required := []string{}
	for _, seed := range seeds {
		if seed == own.Addr {
			continue
		}
		reply := g.askSeed(ctx, seed, own)
		switch {
		case reply.State == peer.BootstrapFounded:
			return reply.Founders, true
		case reply.State == peer.BootstrapBlank:
		case reply.State == peer.BootstrapCandidate && seed > own.Addr:
			required = append(required, seed)
		default:
			return founders, false
		}
	}
	if !slices.Contains(seeds, own.Addr) {
		return founders, false
	}
	return g.chooseFounders(own, seeds, required)
}

func (g *group) chooseFounders(own peer.BootstrapRequest, seeds, required []string) (founders replica.Members, chosen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.founding.choose(time.Now(), &own, seeds, required)
}

// askSeed returns what a seed knows of the founders. A seed that doesn't answer may know them.
func (g *group) askSeed(ctx context.Context, seed string, own peer.BootstrapRequest) peer.BootstrapReply {
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	var reply peer.BootstrapReply
	if err := g.router.clients.Call(ctx, seed, "Found", &own, &reply); err != nil {
		g.router.log.Debug("founders not known", "seed", seed, "error", err.Error())
		return peer.BootstrapReply{}
	}
	return reply
}

// Bootstrap returns what this router knows of the founders, and records that the sender may be one of them.
func (g *group) Bootstrap(r peer.BootstrapRequest) peer.BootstrapReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node != nil && len(g.node.Founders().List) == 0 && len(g.node.Status(time.Now()).Members.List) > 0 {
		// It has joined a group. Another one must not be founded, even if that one has lost its founders.
		return peer.BootstrapReply{}
	}
	return g.founding.answer(time.Now(), g.router.settings.Router.AdvertisedAddr(), g.router.peers.Seeds(), r)
}
