package router

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bronzerill/internal/router/peer"
)

// Timing of fetches of the declared state from peers.
const (
	// fetchTimeout limits one fetch. It is long enough for the largest state over a slow link.
	fetchTimeout = 3 * time.Second
	// fetchHedge is how long a fetch may take before another peer is asked too.
	fetchHedge = 200 * time.Millisecond
	// maxFetches bounds the fetches that run at the same time, one from each peer.
	maxFetches = 8
)

// fetches are the fetches of a newer declared state. One that hangs doesn't keep the router from asking other peers.
type fetches struct {
	// addrs holds the address of a peer that has a newer state.
	addrs chan string
	mu    sync.Mutex
	// running holds the peers that have been asked and haven't answered yet.
	running map[string]bool
}

func newFetches() fetches {
	return fetches{addrs: make(chan string, 1), running: make(map[string]bool)}
}

// begin records a fetch and reports whether it may run.
func (f *fetches) begin(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[addr] || len(f.running) >= maxFetches {
		return false
	}
	f.running[addr] = true
	return true
}

func (f *fetches) end(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, addr)
}

// isRunning reports whether a peer has been asked and hasn't answered yet.
func (f *fetches) isRunning(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[addr]
}

// requestFetch requests a fetch from a peer that has a newer state. It does not block.
func (h *stateHolder) requestFetch(addr string) {
	if h.fetches.isRunning(addr) {
		return
	}
	select {
	case h.fetches.addrs <- addr:
	default:
		// Another fetch is pending. The peer's next digest causes a new request.
	}
}

// runFetch fetches states from peers as requested, until ctx is done, and closes the clients. Each peer gets a while before
// the next one is asked.
func (h *stateHolder) runFetch(ctx context.Context, clients *peer.Clients) error {
	defer clients.Close()
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case addr := <-h.fetches.addrs:
			if !h.isBehind() || !h.fetches.begin(addr) {
				continue
			}
			done := make(chan struct{})
			group.Go(func() error {
				defer close(done)
				defer h.fetches.end(addr)
				h.fetch(ctx, clients, addr)
				return nil
			})
			select {
			case <-done:
			case <-time.After(fetchHedge):
			case <-ctx.Done():
			}
		}
	}
}

// isBehind reports whether a peer has a newer state.
func (h *stateHolder) isBehind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.behind.heard > 0
}

func (h *stateHolder) fetch(ctx context.Context, clients *peer.Clients, addr string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply peer.StateReply
	startedAt, revision := time.Now(), h.Revision()
	if err := clients.Call(ctx, addr, "State", &peer.StateRequest{Above: revision}, &reply); err != nil {
		h.log.Warn("declared state not fetched", "from", addr, "above", revision, "ms", time.Since(startedAt).Milliseconds(), "error", err.Error())
		return
	}
	h.onFetched(reply.Versions)
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
