package router

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bronzerill/internal/control/state"
	"bronzerill/internal/router/declared"
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
	// admitted is set once a state may be in force. Until then, logged is the newest state in the log of this router's
	// replica: others may have a newer one in force, which this process had as well before it was restarted.
	admitted bool
	logged   declared.State
	// confirmation says whether the state is the newest, and reading is the attempt to confirm that, nil if there is none.
	confirmation confirmation
	reading      *confirmRead
	// readSignal holds a token while reading waits for runConfirm.
	readSignal chan struct{}
	// clock is the boot clock.
	clock  func() time.Time
	newest newestReader
	// table is compiled from the state asynchronously.
	table atomic.Pointer[declared.Table]
	// compileSignal holds a token while the newest state is not compiled.
	compileSignal chan struct{}
	// compiling protects document and compiled.
	compiling sync.Mutex
	document  declared.Document
	compiled  declared.State
	fetches   fetches
	// onChange is called for each newer state, and onFetched with the noted versions that a peer knows.
	onChange  func()
	onFetched func([]state.ServiceVersion)
}

func newHolder(adapter platform.Adapter, servers *placement.Table, clock func() time.Time, log hclog.Logger) *stateHolder {
	return &stateHolder{
		adapter: adapter, servers: servers, clock: clock, log: log, readSignal: make(chan struct{}, 1),
		compileSignal: make(chan struct{}, 1), fetches: newFetches(), onChange: func() {}, onFetched: func([]state.ServiceVersion) {},
	}
}

// Table returns the compiled state, or nil before the first one.
func (h *stateHolder) Table() *declared.Table { return h.table.Load() }

// State returns the newest state that may be in force. It is empty before there is one.
func (h *stateHolder) State() declared.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Revision returns the revision of the newest state.
func (h *stateHolder) Revision() uint64 { return h.State().Revision }

// updateFromLog stores a state of this router's replica. After a start it may be older than what was in force before, so
// it must wait for update.
func (h *stateHolder) updateFromLog(next declared.State, source string) {
	h.mu.Lock()
	if !h.admitted {
		h.logged = next
		h.mu.Unlock()
		return
	}
	h.mu.Unlock()
	h.update(next, source)
}

// update stores a state that a peer has in force, or that was the newest, if its revision is higher. Another goroutine
// compiles it and skips states that have been replaced in the meantime: a restarted replica replays all
// states since its snapshot.
func (h *stateHolder) update(next declared.State, source string) {
	h.mu.Lock()
	if !h.admitted && h.logged.Revision > next.Revision {
		next, source = h.logged, "log"
	}
	h.admitted, h.logged = true, declared.State{}
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
	h.compiling.Lock()
	defer h.compiling.Unlock()
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
