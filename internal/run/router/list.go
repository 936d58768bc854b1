package router

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill/internal/router/peer"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/wire/httpresponse"
)

// Timing of reads of the list of servers. A server must get no new requests 3 s after
// the list first shows it as leaving. All routers share the allowed rate of reads.
const (
	// listReadAge is the age at which the first router reads the list again.
	listReadAge = 500 * time.Millisecond
	// listTurnDelay is added for each router that ranks before this one. Normally only
	// one router reads the list. If it fails, another one soon takes over.
	listTurnDelay = 200 * time.Millisecond
	// maxListReadAge is the age at which every router reads the list itself.
	maxListReadAge = 1300 * time.Millisecond
	// listCheckInterval is the time between checks of the list's age.
	listCheckInterval = 100 * time.Millisecond
	// listTimeout is the timeout of one read.
	listTimeout = 700 * time.Millisecond
	// listMargin is by how much a peer's list must be fresher to replace this router's.
	listMargin = 150 * time.Millisecond
	// listBackoff is the delay after a failed read.
	listBackoff = 400 * time.Millisecond
)

// Sources of a list, beside the addresses of peers.
const (
	ownSource = "platform"
	// sameSource means that a peer has read the same list again.
	sameSource = "same"
)

// listPoller keeps the list of servers fresh.
type listPoller struct {
	router  *Router
	client  *http.Client
	mu      sync.Mutex
	address string
	list    []placement.Server
	sum     uint64
	readAt  time.Time
	// own is set if this router read the list itself.
	own bool
	// retryAt is when the list may be read again after a failure.
	retryAt time.Time
	failing bool
	// invalid is the number of invalid entries in the list that was read last.
	invalid int
}

func newListPoller(r *Router) *listPoller {
	return &listPoller{router: r, client: newListClient(), address: r.settings.Router.InstanceList}
}

func newListClient() *http.Client {
	return &http.Client{Timeout: listTimeout, Transport: httpresponse.NewTransport(&http.Transport{MaxResponseHeaderBytes: maxHeader})}
}

func (p *listPoller) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

// age returns the age and the checksum of the list. The age is negative without a list.
func (p *listPoller) age(now time.Time) (time.Duration, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readAt.IsZero() {
		return -1, 0
	}
	return now.Sub(p.readAt), p.sum
}

// current returns the list and the time at which it was read.
func (p *listPoller) current() ([]placement.Server, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.readAt
}

func (p *listPoller) run(ctx context.Context) error {
	return ticker.Every(ctx, listCheckInterval, func(ctx context.Context) { p.poll(ctx, time.Now()) })
}

// poll uses a fresher list of a peer if there is one. It reads the list itself if it is
// this router's turn.
func (p *listPoller) poll(ctx context.Context, now time.Time) {
	_, readAt := p.current()
	addr, at, sum := p.router.peers.FresherList(now, readAt, listMargin)
	switch {
	case addr != "" && sum == p.checksum():
		p.touch(now, at)
	case addr != "":
		p.fetch(ctx, addr)
	}
	p.markNoted(now)
	_, readAt = p.current()
	readAge := min(maxListReadAge, listReadAge+time.Duration(p.router.peers.Rank(now))*listTurnDelay)
	if now.Sub(readAt) >= readAge && !now.Before(p.retryAt) {
		p.read(ctx, now)
	}
}

// markNoted marks the servers in the list whose versions have been noted since it was read.
func (p *listPoller) markNoted(now time.Time) {
	list, readAt := p.current()
	marked, changed := p.router.versions.mark(now, list)
	if !changed {
		return
	}
	p.mu.Lock()
	p.list, p.sum = marked, listSum(marked)
	p.mu.Unlock()
	p.router.servers.SetList(now, readAt, marked)
}

// isOwn reports whether this router read the list itself.
func (p *listPoller) isOwn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.own
}

func (p *listPoller) checksum() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum
}

// touch updates the read time after a peer has read the same list again.
func (p *listPoller) touch(now, at time.Time) {
	list, _ := p.current()
	p.apply(now, at, list, sameSource)
}

func (p *listPoller) fetch(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	var reply peer.ListReply
	if err := p.router.clients.Call(ctx, addr, "List", &peer.ListRequest{}, &reply); err != nil {
		p.router.log.Warn("list of servers not fetched", "from", addr, "error", err.Error())
		return
	}
	if reply.Age >= 0 {
		now := time.Now()
		p.apply(now, now.Add(-reply.Age), reply.Servers, addr)
	}
}

func (p *listPoller) read(ctx context.Context, now time.Time) {
	p.mu.Lock()
	address := p.address
	p.mu.Unlock()
	list, invalid, err := p.router.adapter.Servers(ctx, p.client, address)
	if err != nil {
		p.client.CloseIdleConnections()
		p.retryAt = time.Now().Add(listBackoff)
		if !p.failing {
			p.failing = true
			p.router.log.Warn("list of servers lost", "address", address, "error", err.Error())
		}
		return
	}
	if p.failing {
		p.failing = false
		p.router.log.Info("list of servers regained", "address", address, "broken-entries", invalid)
	}
	if invalid != p.invalid {
		p.router.log.Warn("broken entries in the list of servers", "address", address, "broken-entries", invalid, "before", p.invalid)
		p.invalid = invalid
	}
	// The age counts from the start of the call.
	list, _ = p.router.versions.mark(time.Now(), list)
	p.apply(time.Now(), now, list, ownSource)
}

// apply stores a list if it is fresher than the current one, and logs the changes.
func (p *listPoller) apply(now, readAt time.Time, list []placement.Server, source string) {
	p.mu.Lock()
	if !readAt.After(p.readAt) {
		p.mu.Unlock()
		return
	}
	p.readAt = readAt
	p.list = list
	p.sum = listSum(list)
	p.own = source == ownSource || source == sameSource && p.own
	p.mu.Unlock()
	for _, c := range p.router.servers.SetList(now, readAt, list) {
		p.router.log.Info("server "+c.State, "server", c.Server.ID, "service", c.Server.Service, "zone", c.Server.Zone,
			"address", c.Server.Addr, "version", c.Server.Version, "cold-ms", c.Server.Cold.Milliseconds(), "list-age-ms", now.Sub(readAt).Milliseconds(), "from", source)
	}
}

func listSum(list []placement.Server) uint64 {
	// The fields are plain data, so encoding can't fail.
	data, _ := json.Marshal(list)
	return xxhash.Sum64(data)
}
