package router

import (
	"context"
	"time"

	"bronzerill"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/router/peer"
)

// maintainMembership asks the leader to add the replica, unless the replica is a voter that knows a leader. A
// replica that is about to stop asks to leave instead.
func (g *group) maintainMembership(ctx context.Context, node *replica.Node, now time.Time) {
	status := node.Status(now)
	if g.router.stopping.Load() {
		g.leave(ctx, node, now)
		return
	}
	g.findLostDisks(ctx, node, now)
	isVoter := status.Members.IsVoter(status.Name)
	if status.Leader != "" {
		g.leaderSeenAt = now
	}
	// Without a leader, a voter may be part of the next election.
	if isVoter && now.Sub(g.leaderSeenAt) < leaderTimeout {
		return
	}
	leader := g.remoteLeader(now)
	if leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	request := peer.JoinRequest{Name: node.Name(), Addr: g.router.settings.Router.AdvertisedAddr(), Spare: !g.router.settings.Router.Bootstrap}
	var reply peer.JoinReply
	err := g.router.clients.Call(ctx, leader, "Join", &request, &reply)
	if err == nil {
		err = peer.Err(reply.Kind, reply.Detail)
	}
	if err != nil {
		g.router.log.Debug("not joined", "leader", leader, "error", err.Error())
	}
}

// remoteLeader returns the address of the leader by the digests of peers. It is empty if none is known or
// the leader is this router.
func (g *group) remoteLeader(now time.Time) string {
	leader, _ := g.router.peers.Leader(now)
	if leader == g.router.settings.Router.AdvertisedAddr() {
		return ""
	}
	return leader
}

// leave hands over the leadership, or asks the leader to go on without the replica's vote. The leader
// forgets the request unless it is repeated.
func (g *group) leave(ctx context.Context, node *replica.Node, now time.Time) {
	status := node.Status(now)
	if status.IsLeader {
		node.TransferLeadership()
		return
	}
	leader, _ := g.leader(now)
	if leader == "" || leader == g.router.settings.Router.AdvertisedAddr() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	var reply peer.LeaveReply
	err := g.router.clients.Call(ctx, leader, "Leave", &peer.LeaveRequest{Name: status.Name}, &reply)
	if err == nil {
		err = peer.Err(reply.Kind, reply.Detail)
	}
	if err != nil {
		g.router.log.Debug("request to leave failed", "leader", leader, "error", err.Error())
	}
}

// Join adds a replica if this router is the leader.
func (g *group) Join(ctx context.Context, r peer.JoinRequest) error {
	node, isLeader := g.localLeader(time.Now())
	if !isLeader {
		return bronzerill.Errorf(bronzerill.KindNotLeader, "this router is not the leader")
	}
	if _, changed := node.Status(time.Now()).Members.WithJoined(r.Name, r.Addr, r.Spare); !changed {
		return nil
	}
	g.router.log.Info("replica joins", "replica", r.Name, "address", r.Addr, "spare", r.Spare)
	return node.ChangeMembers(ctx, func(m replica.Members) (replica.Members, error) {
		next, _ := m.WithJoined(r.Name, r.Addr, r.Spare)
		return next, nil
	})
}

// Leave notes that a replica is about to stop if this router is the leader.
func (g *group) Leave(name string) error {
	node := g.replica()
	if node == nil {
		return bronzerill.Errorf(bronzerill.KindNotLeader, "this router has no replica")
	}
	return node.Leave(name)
}
