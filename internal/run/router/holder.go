package router

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/neighbour"
	"bronzerill/internal/router/placing"
	"bronzerill/platform"
)

// holder keeps the newest declared state that this router knows. It never goes
// back within the life of the process.
type holder struct {
	adapter platform.Adapter
	servers *placing.Table
	log     hclog.Logger
	mu      sync.Mutex
	state   declared.State
	table   atomic.Pointer[declared.Table]
	// document is decoded from the state's source.
	document declared.Document
	wanted   chan string
	changed  func()
}

func newHolder(adapter platform.Adapter, servers *placing.Table, log hclog.Logger) *holder {
	return &holder{adapter: adapter, servers: servers, log: log, wanted: make(chan string, 1), changed: func() {}}
}

// Table returns the compiled state, nil before there is one.
func (h *holder) Table() *declared.Table { return h.table.Load() }

// State returns the state.
func (h *holder) State() declared.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Revision returns the state's revision.
func (h *holder) Revision() uint64 { return h.State().Revision }

// update takes a state of a higher revision.
func (h *holder) update(next declared.State, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next.Revision <= h.state.Revision {
		return
	}
	before := h.state
	if next.Number != before.Number {
		document, err := h.adapter.Document(next.Source)
		if err != nil {
			// It was checked before it was accepted, so this is a fault of ours.
			h.log.Error("declared state unreadable", "revision", next.Revision, "number", next.Number, "error", err.Error())
			return
		}
		h.document = document
	}
	h.state = next
	if next.Number > 0 {
		h.table.Store(declared.NewTable(h.document, next.ZonesOut))
	}
	for _, zone := range before.ZonesOut {
		if !slices.Contains(next.ZonesOut, zone) {
			h.servers.SetZoneCold(zone)
		}
	}
	h.log.Info("declared state taken", "revision", next.Revision, "number", next.Number,
		"before", before.Number, "zones-out", next.ZonesOut, "from", source)
	h.changed()
}

// fetchFrom asks for the state of a router that has a newer one.
func (h *holder) fetchFrom(addr string) {
	select {
	case h.wanted <- addr:
	default:
		// A fetch is under way; the next digest asks again.
	}
}

// run fetches states from other routers.
func (h *holder) run(ctx context.Context, r *Router) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-h.wanted:
			h.fetch(ctx, r, addr)
		}
	}
}

func (h *holder) fetch(ctx context.Context, r *Router, addr string) {
	ctx, cancel := context.WithTimeout(ctx, neighbour.CallTimeout)
	defer cancel()
	var reply neighbour.StateReply
	if err := r.clients.Call(ctx, addr, "State", &neighbour.StateRequest{Above: h.Revision()}, &reply); err != nil {
		h.log.Warn("declared state not fetched", "from", addr, "error", err.Error())
		return
	}
	if reply.Newer {
		h.update(reply.State, addr)
	}
}
