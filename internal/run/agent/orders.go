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

// orderDispatcher sends the engine its newest order. Engines that ignore fencing
// numbers rely on the agent being their only writer.
type orderDispatcher struct {
	sender OrderSender
	server string
	log    hclog.Logger
	// lastFencing is the fencing number of the last order that needs no resend:
	// the engine accepted it or has a newer one.
	lastFencing uint64
}

func newOrderDispatcher(s OrderSender, server string, log hclog.Logger) *orderDispatcher {
	return &orderDispatcher{sender: s, server: server, log: log}
}

// dueOrder returns the order to send now. registeredAt is when this process became
// the only writer. No order is due until LeaseTerm has passed since then, because
// the lease of an earlier process may still be valid.
func (d *orderDispatcher) dueOrder(now time.Time, v *wire.View, registeredAt time.Time) (engine.Order, bool) {
	order, ok := v.Config.Order(d.server)
	if !ok || order.Revision <= d.lastFencing || !v.HasLease(now) {
		return engine.Order{}, false
	}
	if now.Sub(registeredAt) < wire.LeaseTerm {
		return engine.Order{}, false
	}
	return engine.Order{Fencing: order.Revision, Action: order.Action, Value: order.Value}, true
}

// send sends the order that is due, if any. The call ends with the lease.
func (d *orderDispatcher) send(ctx context.Context, now time.Time, v *wire.View, registeredAt time.Time) {
	order, ok := d.dueOrder(now, v, registeredAt)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, v.LeaseUntil.Sub(now))
	defer cancel()
	err := d.sender.SendOrder(ctx, order)
	switch {
	case bronzerill.KindOf(err) == bronzerill.KindStaleOrder:
		metrics.Count(metrics.EventStaleOrder)
		d.lastFencing = order.Fencing
	case err != nil:
		d.log.Warn("failed to send order", "fencing", order.Fencing, "error", err.Error())
	default:
		metrics.Count(metrics.EventOrder)
		d.lastFencing = order.Fencing
		d.log.Info("order sent", "fencing", order.Fencing, "action", order.Action)
	}
}

// sendOrder sends the due order once the process is registered. An engine that is about to stop
// gets none; its next process does.
func (r *Role) sendOrder(ctx context.Context, dispatcher *orderDispatcher) {
	if at := r.registeredAt.Load(); at != nil && !r.engineLeaving.Load() {
		dispatcher.send(ctx, r.clock(), r.renewer.View(), *at)
	}
}
