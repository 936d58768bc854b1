package router

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/control/state"
	"bronzerill/internal/router/peer"
)

// zoneSlots bounds the counters of orders. Zones that share one only cause rejections that
// weren't necessary.
const zoneSlots = 256

// zoneOrders counts the orders for zones that this router has accepted as the leader. Unlike a
// declared state, an order has no number by which a newer one could be recognized. The counts
// needn't outlive the leader: its successor has another term, and so rejects all orders that
// are based on the revisions of this one. It is safe for concurrent use.
type zoneOrders struct {
	mu sync.Mutex
	// term is the term to which accepted belongs.
	term     uint64
	accepted [zoneSlots]uint64
}

// revision returns the revision of a zone in a term of this leader.
func (o *zoneOrders) revision(term uint64, zone string) peer.ZoneRevision {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begin(term)
	return peer.ZoneRevision{Term: term, Accepted: *o.slot(zone)}
}

// accept calls enqueue for an order if base is still the revision of the zone. The log has the
// accepted orders in the order of these calls. A base of zero is always accepted, since routers
// of earlier builds send none.
func (o *zoneOrders) accept(term uint64, zone string, base peer.ZoneRevision, enqueue func() error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begin(term)
	accepted := o.slot(zone)
	if current := (peer.ZoneRevision{Term: term, Accepted: *accepted}); base != (peer.ZoneRevision{}) && base != current {
		return bronzerill.Errorf(bronzerill.KindStaleOrder, "order for zone %s is based on %+v, newest is %+v", zone, base, current)
	}
	*accepted++
	return enqueue()
}

// begin discards the counts of an earlier term. Calls of such a term may still come in; their
// orders can't be appended to the log any more.
func (o *zoneOrders) begin(term uint64) {
	if term > o.term {
		o.term, o.accepted = term, [zoneSlots]uint64{}
	}
}

func (o *zoneOrders) slot(zone string) *uint64 {
	return &o.accepted[xxhash.Sum64String(zone)%zoneSlots]
}

// ZoneRevision returns the revision of a zone if this router is the leader. It waits until a
// quorum has confirmed that, which also gives the disconnect of an operator that has given up
// the time to arrive.
func (g *group) ZoneRevision(ctx context.Context, zone string) (peer.ZoneRevision, error) {
	node := g.replica()
	if node == nil {
		return peer.ZoneRevision{}, bronzerill.Errorf(bronzerill.KindNotLeader, "this router has no replica")
	}
	before := node.Status(time.Now())
	if err := node.AwaitReadIndex(ctx); err != nil {
		return peer.ZoneRevision{}, err
	}
	// Only the leader of a term knows which orders were accepted in it.
	if after := node.Status(time.Now()); !before.IsLeader || !after.IsLeader || before.Term != after.Term {
		return peer.ZoneRevision{}, bronzerill.Errorf(bronzerill.KindNotLeader, "this router hasn't led all the time")
	}
	return g.zoneOrders.revision(before.Term, zone), nil
}

// submit appends a command to the log of the leader and returns the result of the state machine.
func (g *group) submit(ctx context.Context, node *replica.Node, command []byte, base peer.ZoneRevision) (any, error) {
	zone, err := state.OrderedZone(command)
	if err != nil {
		return nil, bronzerill.Errorf(bronzerill.KindBadRequest, "%v", err)
	}
	if zone == "" {
		return node.Propose(ctx, command)
	}
	var await func() (any, error)
	term := node.Status(time.Now()).Term
	err = g.zoneOrders.accept(term, zone, base, func() (err error) {
		await, err = node.Enqueue(ctx, term, command)
		return err
	})
	if err != nil {
		return nil, err
	}
	return await()
}
