package router

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/peer"
	"bronzerill/internal/router/placement"
	"bronzerill/platform"
)

// stateHolder holds the newest declared state that this router knows. The revision never
// decreases during the life of the process. It is safe for concurrent use.
type stateHolder struct {
	adapter platform.Adapter
	servers *placement.Table
	log     hclog.Logger
	mu      sync.Mutex
	// state is the newest state, and source is where it came from.
	state  declared.State
	source string
	behind behindState
	// table is compiled from the state asynchronously.
	table atomic.Pointer[declared.Table]
	// compileSignal holds a token while the newest state is not compiled.
	compileSignal chan struct{}
	// document and compiled are used only by the compiling goroutine.
	document declared.Document
	compiled declared.State
	// fetchAddr holds the address of a peer to fetch a newer state from.
	fetchAddr chan string
	// onChange is called for each newer state.
	onChange func()
}

func newHolder(adapter platform.Adapter, servers *placement.Table, log hclog.Logger) *stateHolder {
	return &stateHolder{
		adapter: adapter, servers: servers, log: log,
		compileSignal: make(chan struct{}, 1), fetchAddr: make(chan string, 1), onChange: func() {},
	}
}

// Table returns the compiled state, or nil before the first one.
func (h *stateHolder) Table() *declared.Table { return h.table.Load() }

// State returns the newest state.
func (h *stateHolder) State() declared.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Revision returns the revision of the newest state.
func (h *stateHolder) Revision() uint64 { return h.State().Revision }

// update stores a state if its revision is higher. Another goroutine compiles it and
// skips states that have been replaced in the meantime: a restarted replica replays all
// states since its snapshot.
func (h *stateHolder) update(next declared.State, source string) {
	h.mu.Lock()
	newer := next.Revision > h.state.Revision
	if newer {
		h.state, h.source = next, source
		h.behind = h.behind.withRevision(next.Revision)
	}
	h.mu.Unlock()
	if !newer {
		return
	}
	select {
	case h.compileSignal <- struct{}{}:
	default:
		// The pending compilation will use this state.
	}
	h.onChange()
}

// runCompile compiles the newest state after updates, until ctx is done.
func (h *stateHolder) runCompile(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.compileSignal:
			h.compile(time.Now())
		}
	}
}

// compile compiles the newest state and puts it in force.
func (h *stateHolder) compile(now time.Time) {
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
			// The document was validated before it was accepted, so this is a bug.
			h.log.Error("declared state not parsed", "revision", next.Revision, "number", next.Number, "error", err.Error())
			return
		}
		h.document = document
	}
	h.compiled = next
	for _, zone := range before.ZonesOut {
		if !slices.Contains(next.ZonesOut, zone) {
			h.servers.SetZoneCold(now, zone)
		}
	}
	if next.Number > 0 {
		h.table.Store(declared.NewTable(h.document, next.Revision, next.ZonesOut))
	}
	h.log.Info("declared state taken", "revision", next.Revision, "number", next.Number,
		"before", before.Number, "passed-over", next.Revision-before.Revision-1, "zones-out", next.ZonesOut, "from", source)
}

// requestFetch requests a fetch from a peer that has a newer state. It does not block.
func (h *stateHolder) requestFetch(addr string) {
	select {
	case h.fetchAddr <- addr:
	default:
		// Another fetch is pending. The peer's next digest causes a new request.
	}
}

// runFetch fetches states from peers as requested, until ctx is done.
func (h *stateHolder) runFetch(ctx context.Context, r *Router) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-h.fetchAddr:
			h.fetch(ctx, r, addr)
		}
	}
}

func (h *stateHolder) fetch(ctx context.Context, r *Router, addr string) {
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	var reply peer.StateReply
	startedAt, revision := time.Now(), h.Revision()
	if err := r.clients.Call(ctx, addr, "State", &peer.StateRequest{Above: revision}, &reply); err != nil {
		h.log.Warn("declared state not fetched", "from", addr, "above", revision, "ms", time.Since(startedAt).Milliseconds(), "error", err.Error())
		return
	}
	r.versions.setFetched(reply.Versions)
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
