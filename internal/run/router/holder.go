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
	// state is the newest state, and source is where it came from.
	state  declared.State
	source string
	// table is compiled from the state a moment later.
	table atomic.Pointer[declared.Table]
	// fresh holds a token while the newest state isn't compiled.
	fresh chan struct{}
	// document and compiled belong to the task that compiles.
	document declared.Document
	compiled declared.State
	wanted   chan string
	changed  func()
}

func newHolder(adapter platform.Adapter, servers *placing.Table, log hclog.Logger) *holder {
	return &holder{
		adapter: adapter, servers: servers, log: log,
		fresh: make(chan struct{}, 1), wanted: make(chan string, 1), changed: func() {},
	}
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

// update takes a state of a higher revision. It is compiled by another task, which
// passes over states that are already replaced: a replica that starts again runs
// through all states since its snapshot.
func (h *holder) update(next declared.State, source string) {
	h.mu.Lock()
	newer := next.Revision > h.state.Revision
	if newer {
		h.state, h.source = next, source
	}
	h.mu.Unlock()
	if !newer {
		return
	}
	select {
	case h.fresh <- struct{}{}:
	default:
		// The task will see this state too.
	}
	h.changed()
}

// runCompile compiles each newest state.
func (h *holder) runCompile(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.fresh:
			h.compile()
		}
	}
}

// compile puts the newest state in force.
func (h *holder) compile() {
	h.mu.Lock()
	next, source := h.state, h.source
	h.mu.Unlock()
	before := h.compiled
	if next.Revision <= before.Revision {
		return
	}
	if next.Number != before.Number {
		document, err := h.adapter.Document(next.Source)
		if err != nil {
			// It was checked before it was accepted, so this is a fault of ours.
			h.log.Error("declared state unreadable", "revision", next.Revision, "number", next.Number, "error", err.Error())
			return
		}
		h.document = document
	}
	h.compiled = next
	if next.Number > 0 {
		h.table.Store(declared.NewTable(h.document, next.ZonesOut))
	}
	for _, zone := range before.ZonesOut {
		if !slices.Contains(next.ZonesOut, zone) {
			h.servers.SetZoneCold(zone)
		}
	}
	h.log.Info("declared state taken", "revision", next.Revision, "number", next.Number,
		"before", before.Number, "passed-over", next.Revision-before.Revision-1, "zones-out", next.ZonesOut, "from", source)
}

// fetchFrom asks for the state of a router that has a newer one.
func (h *holder) fetchFrom(addr string) {
	select {
	case h.wanted <- addr:
	default:
		// A fetch is under way; the next digest asks again.
	}
}

// runFetch fetches states from other routers.
func (h *holder) runFetch(ctx context.Context, r *Router) error {
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
	if !reply.Newer {
		return
	}
	state, err := reply.State.Unpack()
	if err != nil {
		h.log.Error("declared state not fetched", "from", addr, "error", err.Error())
		return
	}
	h.update(state, addr)
}
