package agent

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"bronzerill"
	"bronzerill/internal/agent/engine"
	"bronzerill/internal/operator/metrics"
	wire "bronzerill/internal/wire/control"
)

// OrderSender sends an order to an engine.
type OrderSender interface {
	SendOrder(ctx context.Context, o engine.Order) error
}

// orders gives the engine its newest order. Engines that ignore fencing numbers
// rely on the agent being their only writer.
type orders struct {
	giver  OrderSender
	server string
	log    hclog.Logger
	// given is the highest fencing number that the engine has taken.
	given uint64
}

func newOrders(g OrderSender, server string, log hclog.Logger) *orders {
	return &orders{giver: g, server: server, log: log}
}

// due returns the order to give now. registeredAt is when this process became
// the only writer; the earlier process's lease must have run out since.
func (o *orders) due(now time.Time, v *wire.View, registeredAt time.Time) (engine.Order, bool) {
	order, ok := v.Config.Order(o.server)
	if !ok || order.Revision <= o.given || !v.HasLease(now) {
		return engine.Order{}, false
	}
	if now.Sub(registeredAt) < wire.LeaseTerm {
		return engine.Order{}, false
	}
	return engine.Order{Fencing: order.Revision, Action: order.Action, Value: order.Value}, true
}

// give sends the order that is due, within the lease.
func (o *orders) give(ctx context.Context, now time.Time, v *wire.View, registeredAt time.Time) {
	order, ok := o.due(now, v, registeredAt)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, v.LeaseUntil.Sub(now))
	defer cancel()
	err := o.giver.SendOrder(ctx, order)
	switch {
	case bronzerill.KindOf(err) == bronzerill.KindStaleOrder:
		metrics.Count(metrics.EventStaleOrder)
		o.given = order.Fencing
	case err != nil:
		o.log.Warn("order not given", "fencing", order.Fencing, "error", err.Error())
	default:
		metrics.Count(metrics.EventOrder)
		o.given = order.Fencing
		o.log.Info("order given", "fencing", order.Fencing, "action", order.Action)
	}
}

func (r *Role) giveOrder(ctx context.Context, o *orders) {
	if at := r.registeredAt.Load(); at != nil {
		o.give(ctx, time.Now(), r.keeper.View(), *at)
	}
}
