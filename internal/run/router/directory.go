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

	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/caller"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/peer"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/wire/httpresponse"
	"bronzerill/platform"
)

// Timing and limits of loading the prefix directory after a start.
const (
	// directoryCheckInterval is the time between two attempts to load the directory.
	directoryCheckInterval = 20 * time.Millisecond
	// directoryStartDelay is how long a router waits for digests of peers after its
	// start, before it may query the engines. It covers two rounds of gossip.
	directoryStartDelay = 200 * time.Millisecond
	// directoryTurnDelay is added for each router that goes before this one. As a
	// result, one router queries the engines, and the others fetch the directory from
	// it. The lists of all engines are some megabytes at a large site, so routers with a
	// disk go first: they have the faster links.
	directoryTurnDelay = 150 * time.Millisecond
	// maxDirectoryWait is the maximum delay until a router's turn.
	maxDirectoryWait = time.Second
	// engineTimeout is the timeout of the query to one engine.
	engineTimeout = 500 * time.Millisecond
	// maxConcurrentEngines is the maximum number of engines that are queried concurrently.
	maxConcurrentEngines = 8
)

// directoryClient loads the prefix directory after a start. The directory is soft state
// that all routers share. If all of them were down at once, the engines still know which
// prompts they have cached.
type directoryClient struct {
	router    *Router
	client    *http.Client
	loaded    atomic.Bool
	startedAt time.Time
	// readyAt is when this router first had the declared state and the list of servers,
	// zero before.
	readyAt time.Time
}

func newDirectoryClient(now time.Time, r *Router) *directoryClient {
	return &directoryClient{router: r, startedAt: now, client: &http.Client{
		Timeout: engineTimeout, Transport: httpresponse.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeader}),
	}}
}

func (c *directoryClient) run(ctx context.Context) error {
	tick := time.NewTicker(directoryCheckInterval)
	defer tick.Stop()
	for !c.loaded.Load() {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.tryLoad(ctx, time.Now())
		}
	}
	return nil
}

// tryLoad fetches the directory from a peer that has it. If no peer has it, tryLoad
// queries the engines once it is this router's turn.
func (c *directoryClient) tryLoad(ctx context.Context, now time.Time) {
	r := c.router
	table := r.holder.Table()
	if _, listed := r.servers.ListAge(now); table == nil || !listed {
		return
	}
	if c.readyAt.IsZero() {
		c.readyAt = now
	}
	if addrs := r.peers.WithDirectory(now); len(addrs) > 0 {
		c.fetchFromPeer(ctx, addrs[0])
		return
	}
	delay := min(maxDirectoryWait, time.Duration(r.peers.Predecessors(now, r.settings.Router.DataFolder != ""))*directoryTurnDelay)
	if now.Sub(c.startedAt) >= directoryStartDelay && now.Sub(c.readyAt) >= delay {
		c.queryEngines(ctx, now, table)
	}
}

func (c *directoryClient) fetchFromPeer(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	var reply peer.DirectoryReply
	if err := c.router.clients.Call(ctx, addr, "Directory", &peer.DirectoryRequest{}, &reply); err != nil {
		c.router.log.Warn("prefix directory not fetched", "from", addr, "error", err.Error())
		return
	}
	c.apply(reply.Directory, addr, 0)
}

// queryEngines queries every engine that accepts requests. It skips engines that don't
// answer. Their cache locations become known as requests are sent to them.
func (c *directoryClient) queryEngines(ctx context.Context, now time.Time, table *declared.Table) {
	isEngine := func(name string) bool {
		service, ok := table.Service(name)
		return ok && service.Engine != nil
	}
	var (
		mu     sync.Mutex
		d      placement.DirectorySnapshot
		failed int
		tasks  errgroup.Group
	)
	tasks.SetLimit(maxConcurrentEngines)
	for _, engine := range c.router.servers.Engines(now, isEngine, table.IsZoneOut) {
		tasks.Go(func() error {
			list, err := c.queryEngine(ctx, engine)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				c.router.log.Warn("cached prompts of engine not read", "server", engine.ID, "error", err.Error())
				return nil
			}
			if list.Invalid > 0 {
				c.router.log.Warn("cached prompts of engine partly invalid", "server", engine.ID, "broken-entries", list.Invalid)
			}
			d.Kept = append(d.Kept, placement.NewCacheReport(placement.KeyOf(engine.ID), largestParts(list.Parts)))
			return nil
		})
	}
	// The tasks log their errors.
	_ = tasks.Wait()
	c.apply(d, "engines", failed)
}

// queryEngine queries one engine, unless it is leaving or in a pause by now, and records what
// its response states about that.
func (c *directoryClient) queryEngine(ctx context.Context, engine placement.Server) (platform.CacheList, error) {
	choice := placement.Choice{Server: engine, SentAt: time.Now()}
	if err := c.router.servers.MaySend(choice.SentAt, choice); err != nil {
		return platform.CacheList{}, err
	}
	list, err := c.router.adapter.CachedParts(ctx, c.client, engine.Addr)
	if pause := list.Response.Backoff; pause > 0 {
		c.router.servers.SetBackoff(time.Now(), choice, pause)
		metrics.Count(metrics.EventBackoff)
		c.router.log.Info("server asked for a pause", "server", engine.ID, "service", engine.Service, "request", "cached prompts", "pause-ms", pause.Milliseconds())
	}
	if list.Response.Leaving && c.router.servers.SetStatedLeaving(time.Now(), choice) {
		metrics.Count(metrics.EventServerLeaving)
		c.router.log.Info("server states that it leaves", "server", engine.ID, "service", engine.Service, "request", "cached prompts")
	}
	return list, err
}

// maxPartsPerEngine is the maximum number of prompt parts that are recorded per engine.
// Most cached parts belong to a single request. Large parts are shared by requests, so
// their locations are worth recording.
const maxPartsPerEngine = 192

// largestParts returns the IDs of the largest parts, at most maxPartsPerEngine.
func largestParts(parts []caller.PromptPart) []uint64 {
	slices.SortFunc(parts, func(a, b caller.PromptPart) int { return cmp.Compare(b.Tokens, a.Tokens) })
	keys := make([]uint64, 0, min(len(parts), maxPartsPerEngine))
	for _, part := range parts[:min(len(parts), maxPartsPerEngine)] {
		keys = append(keys, part.ID)
	}
	return keys
}

func (c *directoryClient) apply(d placement.DirectorySnapshot, source string, failed int) {
	c.router.servers.MergeDirectory(time.Now(), d)
	c.loaded.Store(true)
	prompts := 0
	for _, k := range d.Kept {
		prompts += len(k.Prompts)
	}
	c.router.log.Info("prefix directory loaded", "from", source, "homes", len(d.Homes), "engines", len(d.Kept), "kept-prompts", prompts, "engines-failed", failed)
}
