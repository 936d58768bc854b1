package placing

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds of the directory of prompts.
const (
	// maxPrompts bounds the prompts whose servers are remembered. One takes about
	// 200 bytes.
	maxPrompts = 16_384
	// maxHomes bounds the servers that are remembered for one prompt.
	maxHomes = 8
	// homeLifetime is how long a prompt that nobody asks for is believed to stay
	// in a server's memory.
	homeLifetime = 60 * time.Second
	// tellFor is how long a new home is told to neighbours: several rounds, since
	// a round reaches only some of them and digests get lost.
	tellFor = 1200 * time.Millisecond
	// maxTold bounds the homes in one digest.
	maxTold = 48
	// maxRates bounds the prompts whose requests are counted.
	maxRates = 4096
	// rateHalfLife is the time in which a counted request loses half its weight.
	rateHalfLife = time.Second
	// refreshed is the number of older homes in each digest; they bring a router
	// up to date that has just started.
	refreshed = 12
)

// CacheLocation says that a server keeps a prompt.
type CacheLocation struct {
	Prompt uint64
	Server ServerKey
	// Age is the time since the prompt was last used there.
	Age time.Duration
}

// home is one server of a prompt.
type home struct {
	server ServerKey
	usedAt time.Time
}

// PrefixDirectory is the directory of prompts: which servers keep them, as far as this
// router and its neighbours have placed them there. It answers for loads in
// which servers come and go: a hash alone would move part of the prompts to each
// new server, although they are warm elsewhere.
type PrefixDirectory struct {
	prompts *lru.Cache[uint64, []home]
	// rates counts this router's own requests by prompt.
	rates *lru.Cache[uint64, rate]
	// news lists the homes that neighbours aren't sure to know, oldest first.
	news []news
	// next is where the refreshing of older homes goes on.
	next int
	// kept holds what engines said themselves when they were asked.
	kept map[ServerKey]kept
}

type news struct {
	CacheLocation
	at time.Time
}

// NewPrefixDirectory returns an empty directory.
func NewPrefixDirectory() *PrefixDirectory {
	// The size is above 0, so no error is possible.
	prompts, _ := lru.New[uint64, []home](maxPrompts)
	rates, _ := lru.New[uint64, rate](maxRates)
	return &PrefixDirectory{prompts: prompts, rates: rates, kept: make(map[ServerKey]kept)}
}

// rate is a decayed count of requests.
type rate struct {
	count float64
	at    time.Time
}

// CountRequest counts a request of this router about a prompt and returns how many come
// in a second.
func (h *PrefixDirectory) CountRequest(now time.Time, prompt uint64) float64 {
	r, _ := h.rates.Get(prompt)
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.count *= math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
		r.at = now
	}
	r.count++
	h.rates.Add(prompt, r)
	return r.count * math.Ln2 / rateHalfLife.Seconds()
}

// Get returns the servers that are believed to keep a prompt.
func (h *PrefixDirectory) Get(now time.Time, prompt uint64) []ServerKey {
	list, _ := h.prompts.Get(prompt)
	var servers []ServerKey
	for _, home := range list {
		if now.Sub(home.usedAt) < homeLifetime {
			servers = append(servers, home.server)
		}
	}
	return h.said(now, prompt, servers)
}

// Add notes that a prompt was sent to a server by this router.
func (h *PrefixDirectory) Add(now time.Time, p CacheLocation) {
	if h.note(now, p) {
		h.news = append(h.news, news{p, now})
		if len(h.news) > maxTold {
			h.news = h.news[len(h.news)-maxTold:]
		}
	}
}

// AddFromPeer notes what a neighbour has told.
func (h *PrefixDirectory) AddFromPeer(now time.Time, told []CacheLocation) {
	for _, p := range told {
		// The age goes on with the news, so that routers can't keep a home alive by
		// telling each other.
		h.note(now.Add(-p.Age), p)
	}
}

// note takes a use at the given time and returns true for a home that wasn't
// known.
func (h *PrefixDirectory) note(usedAt time.Time, p CacheLocation) bool {
	list, _ := h.prompts.Get(p.Prompt)
	oldest := 0
	for i := range list {
		if list[i].server == p.Server {
			fresh := usedAt.Sub(list[i].usedAt) < homeLifetime
			if usedAt.After(list[i].usedAt) {
				list[i].usedAt = usedAt
			}
			return !fresh
		}
		if list[i].usedAt.Before(list[oldest].usedAt) {
			oldest = i
		}
	}
	if len(list) >= maxHomes {
		list[oldest] = home{p.Server, usedAt}
		return true
	}
	h.prompts.Add(p.Prompt, append(list, home{p.Server, usedAt}))
	return true
}

// Forget drops a server that has lost its memory.
func (h *PrefixDirectory) Forget(server ServerKey) {
	delete(h.kept, server)
	for _, prompt := range h.prompts.Keys() {
		list, _ := h.prompts.Peek(prompt)
		kept := make([]home, 0, len(list))
		for _, home := range list {
			if home.server != server {
				kept = append(kept, home)
			}
		}
		if len(kept) < len(list) {
			h.prompts.Add(prompt, kept)
		}
	}
}

// ToGossip returns the homes for the next digest: new ones, and a few older ones in
// turn.
func (h *PrefixDirectory) ToGossip(now time.Time) []CacheLocation {
	for len(h.news) > 0 && now.Sub(h.news[0].at) > tellFor {
		h.news = h.news[1:]
	}
	told := make([]CacheLocation, 0, len(h.news)+refreshed)
	for _, n := range h.news {
		told = append(told, n.CacheLocation)
	}
	prompts := h.prompts.Keys()
	for range min(refreshed, len(prompts)) {
		h.next = (h.next + 1) % len(prompts)
		prompt := prompts[h.next]
		list, _ := h.prompts.Peek(prompt)
		for _, home := range list {
			// Only what was used lately, so that stale homes die out.
			if age := now.Sub(home.usedAt); age < homeLifetime/4 {
				told = append(told, CacheLocation{prompt, home.server, age})
			}
		}
	}
	return told
}
