package router

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill/internal/router/neighbour"
	"bronzerill/internal/router/placing"
	"bronzerill/internal/run/ticker"
)

// Timing of the list of servers. A server that leaves must get nothing new 3 s
// after the list shows it, and the list is shared by all routers.
const (
	// listPeriod is the age at which the first router reads the list again.
	listPeriod = 500 * time.Millisecond
	// listStep is added for each router that comes before this one, so that only
	// one reads while all is well, and another takes its place soon.
	listStep = 200 * time.Millisecond
	// maxListPeriod bounds the age at which any router reads by itself.
	maxListPeriod = 1300 * time.Millisecond
	// listTick is the pause between looks at the list's age.
	listTick = 100 * time.Millisecond
	// listTimeout bounds one reading.
	listTimeout = 700 * time.Millisecond
	// fresher is the difference of age at which a neighbour's list is taken.
	fresher = 150 * time.Millisecond
	// listBackoff is the pause after a failed reading.
	listBackoff = 400 * time.Millisecond
)

// poller keeps the list of servers fresh.
type poller struct {
	router  *Router
	client  *http.Client
	mu      sync.Mutex
	address string
	list    []placing.Server
	sum     uint64
	readAt  time.Time
	// pauseUntil is when the list may be read again after a failure.
	pauseUntil time.Time
	failing    bool
}

func newPoller(r *Router) *poller {
	return &poller{router: r, client: &http.Client{Timeout: listTimeout}, address: r.settings.Router.InstanceList}
}

func (p *poller) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

// age returns the age of the list, negative without one, and its checksum.
func (p *poller) age(now time.Time) (time.Duration, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readAt.IsZero() {
		return -1, 0
	}
	return now.Sub(p.readAt), p.sum
}

// current returns the list.
func (p *poller) current() ([]placing.Server, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.readAt
}

func (p *poller) run(ctx context.Context) error {
	return ticker.Every(ctx, listTick, func(ctx context.Context) { p.look(ctx, time.Now()) })
}

// look takes a fresher list from a neighbour, or reads it if it is this router's
// turn.
func (p *poller) look(ctx context.Context, now time.Time) {
	_, readAt := p.current()
	addr, at, sum := p.router.peers.FresherList(now, readAt, fresher)
	switch {
	case addr != "" && sum == p.checksum():
		p.touch(now, at)
	case addr != "":
		p.fetch(ctx, addr)
	}
	_, readAt = p.current()
	turn := min(maxListPeriod, listPeriod+time.Duration(p.router.peers.Rank(now))*listStep)
	if now.Sub(readAt) >= turn && !now.Before(p.pauseUntil) {
		p.read(ctx, now)
	}
}

func (p *poller) checksum() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum
}

// touch notes that the same list was read again elsewhere.
func (p *poller) touch(now, at time.Time) {
	list, _ := p.current()
	p.take(now, at, list, "same")
}

func (p *poller) fetch(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, neighbour.CallTimeout)
	defer cancel()
	var reply neighbour.ListReply
	if err := p.router.clients.Call(ctx, addr, "List", &neighbour.ListRequest{}, &reply); err != nil {
		p.router.log.Warn("list not fetched", "from", addr, "error", err.Error())
		return
	}
	if reply.Age >= 0 {
		now := time.Now()
		p.take(now, now.Add(-reply.Age), reply.Servers, addr)
	}
}

func (p *poller) read(ctx context.Context, now time.Time) {
	p.mu.Lock()
	address := p.address
	p.mu.Unlock()
	list, broken, err := p.router.adapter.Servers(ctx, p.client, address)
	if err != nil {
		p.client.CloseIdleConnections()
		p.pauseUntil = time.Now().Add(listBackoff)
		if !p.failing {
			p.failing = true
			p.router.log.Warn("list of servers lost", "address", address, "error", err.Error())
		}
		return
	}
	if p.failing {
		p.failing = false
		p.router.log.Info("list of servers regained", "address", address, "broken-entries", broken)
	}
	// The age counts from before the call.
	p.take(time.Now(), now, list, "platform")
}

// take keeps a list that is fresher than the present one.
func (p *poller) take(now, readAt time.Time, list []placing.Server, source string) {
	p.mu.Lock()
	if !readAt.After(p.readAt) {
		p.mu.Unlock()
		return
	}
	p.readAt = readAt
	p.list = list
	p.sum = listSum(list)
	p.mu.Unlock()
	for _, c := range p.router.servers.SetList(now, readAt, list) {
		p.router.log.Info("server "+c.State, "server", c.Server.ID, "service", c.Server.Service, "zone", c.Server.Zone,
			"address", c.Server.Addr, "cold-ms", c.Server.Cold.Milliseconds(), "list-age-ms", now.Sub(readAt).Milliseconds(), "from", source)
	}
}

func listSum(list []placing.Server) uint64 {
	// The fields are plain data, so encoding can't fail.
	data, _ := json.Marshal(list)
	return xxhash.Sum64(data)
}
