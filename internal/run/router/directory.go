package router

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bronzerill/internal/router/caller"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/neighbour"
	"bronzerill/internal/router/placing"
)

// Timing and bounds of informing a router that has just started.
const (
	// directoryTick is the pause between looks for someone who knows.
	directoryTick = 20 * time.Millisecond
	// directorySettle is how long after its start a router waits for digests of others
	// before it takes its turn at the engines: two rounds of digests.
	directorySettle = 200 * time.Millisecond
	// directoryStep is added for each router that comes before this one, so that one
	// asks the engines and the others ask that one. All engines' lists are some
	// megabytes on a large site, so routers with a disk and its wider link go first.
	directoryStep = 150 * time.Millisecond
	// maxDirectoryWait bounds the wait for one's turn.
	maxDirectoryWait = time.Second
	// engineTimeout bounds one engine's answer.
	engineTimeout = 500 * time.Millisecond
	// enginesAtOnce bounds the engines that are asked side by side.
	enginesAtOnce = 8
)

// directoryClient learns which prompts the engines keep. That is soft state of all
// routers together; when all of them were down at once, the engines still know.
type directoryClient struct {
	router    *Router
	client    *http.Client
	informed  atomic.Bool
	startedAt time.Time
	// ableAt is when this router first knew state and list, zero before.
	ableAt time.Time
}

func newDirectoryClient(now time.Time, r *Router) *directoryClient {
	return &directoryClient{router: r, startedAt: now, client: &http.Client{
		Timeout: engineTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

func (c *directoryClient) run(ctx context.Context) error {
	tick := time.NewTicker(directoryTick)
	defer tick.Stop()
	for !c.informed.Load() {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.look(ctx, time.Now())
		}
	}
	return nil
}

// look asks a router that knows, or the engines if it is this router's turn.
func (c *directoryClient) look(ctx context.Context, now time.Time) {
	r := c.router
	table := r.holder.Table()
	if _, listed := r.servers.ListAge(now); table == nil || !listed {
		return
	}
	if c.ableAt.IsZero() {
		c.ableAt = now
	}
	if informed := r.peers.WithDirectory(now); len(informed) > 0 {
		c.askRouter(ctx, informed[0])
		return
	}
	turn := min(maxDirectoryWait, time.Duration(r.peers.Predecessors(now, r.settings.Router.DataFolder != ""))*directoryStep)
	if now.Sub(c.startedAt) >= directorySettle && now.Sub(c.ableAt) >= turn {
		c.askEngines(ctx, now, table)
	}
}

func (c *directoryClient) askRouter(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, neighbour.CallTimeout)
	defer cancel()
	var reply neighbour.DirectoryReply
	if err := c.router.clients.Call(ctx, addr, "Directory", &neighbour.DirectoryRequest{}, &reply); err != nil {
		c.router.log.Warn("directory of prompts not fetched", "from", addr, "error", err.Error())
		return
	}
	c.take(reply.Directory, addr, 0)
}

// askEngines asks every engine that takes work. Those that don't answer are left
// out: their prompts are learned as requests are placed there.
func (c *directoryClient) askEngines(ctx context.Context, now time.Time, table *declared.Table) {
	isEngine := func(name string) bool {
		service, ok := table.Service(name)
		return ok && service.Engine != nil
	}
	var (
		mu     sync.Mutex
		d      placing.DirectorySnapshot
		failed int
		tasks  errgroup.Group
	)
	tasks.SetLimit(enginesAtOnce)
	for _, engine := range c.router.servers.Engines(now, isEngine, table.IsZoneOut) {
		tasks.Go(func() error {
			parts, broken, err := c.router.adapter.Kept(ctx, c.client, engine.Addr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				c.router.log.Warn("engine not asked for its prompts", "server", engine.ID, "error", err.Error())
				return nil
			}
			if broken > 0 {
				c.router.log.Warn("engine's prompts partly unreadable", "server", engine.ID, "broken-entries", broken)
			}
			d.Kept = append(d.Kept, placing.NewCacheReport(placing.KeyOf(engine.ID), largest(parts)))
			return nil
		})
	}
	// The tasks report their errors in the log.
	_ = tasks.Wait()
	c.take(d, "engines", failed)
}

// maxKeptParts bounds the parts that are remembered of one engine. Most that it keeps
// belong to single requests; the large ones are shared, and are worth finding.
const maxKeptParts = 192

// largest returns the keys of the largest parts.
func largest(parts []caller.PromptPart) []uint64 {
	slices.SortFunc(parts, func(a, b caller.PromptPart) int { return cmp.Compare(b.Tokens, a.Tokens) })
	keys := make([]uint64, 0, min(len(parts), maxKeptParts))
	for _, part := range parts[:min(len(parts), maxKeptParts)] {
		keys = append(keys, part.ID)
	}
	return keys
}

func (c *directoryClient) take(d placing.DirectorySnapshot, source string, failed int) {
	c.router.servers.MergeDirectory(time.Now(), d)
	c.informed.Store(true)
	prompts := 0
	for _, k := range d.Kept {
		prompts += len(k.Prompts)
	}
	c.router.log.Info("directory of prompts taken", "from", source, "homes", len(d.Homes), "engines", len(d.Kept), "kept-prompts", prompts, "engines-failed", failed)
}
