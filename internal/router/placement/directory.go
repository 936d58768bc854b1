package placement

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds of the prefix directory.
const (
	// maxPrompts limits the prompts in the directory. Each takes about 200 bytes.
	maxPrompts = 16_384
	// maxLocations limits the locations of one prompt.
	maxLocations = 8
	// locationLifetime is how long an unused prompt is believed to stay in a
	// server's cache.
	locationLifetime = 60 * time.Second
	// newLocationLifetime is how long a new location is gossiped. It covers several
	// rounds, because a round reaches only some peers and digests get lost.
	newLocationLifetime = 1200 * time.Millisecond
	// maxNewLocations limits the new locations in one digest.
	maxNewLocations = 48
	// maxRates limits the prompts whose requests are counted.
	maxRates = 4096
	// rateHalfLife is the half-life of a counted request.
	rateHalfLife = time.Second
	// refreshedPrompts is the number of older prompts in each digest. Routers that
	// have just started learn them from these.
	refreshedPrompts = 12
)

// CacheLocation states that a server has a prompt cached.
type CacheLocation struct {
	Prompt uint64
	Server ServerKey
	// Age is the time since the prompt was last used there.
	Age time.Duration
}

// location is a server that has a prompt cached.
type location struct {
	server ServerKey
	usedAt time.Time
}

// PrefixDirectory records which servers have a prompt cached, as far as this
// router, its peers and the engines know. It keeps prompts in place while servers
// come and go: a rendezvous hash alone would move part of the prompts to each new
// server, although they are cached elsewhere.
type PrefixDirectory struct {
	prompts *lru.Cache[uint64, []location]
	// rates counts this router's own requests by prompt.
	rates *lru.Cache[uint64, rate]
	// recent holds the locations that peers may not know yet, oldest first.
	recent []recent
	// refreshIndex is the position in the refresh of older prompts.
	refreshIndex int
	// reports holds what engines reported when they were queried.
	reports map[ServerKey]storedReport
}

type recent struct {
	CacheLocation
	addedAt time.Time
}

// NewPrefixDirectory returns an empty directory.
func NewPrefixDirectory() *PrefixDirectory {
	// The size is above 0, so no error is possible.
	prompts, _ := lru.New[uint64, []location](maxPrompts)
	rates, _ := lru.New[uint64, rate](maxRates)
	return &PrefixDirectory{prompts: prompts, rates: rates, reports: make(map[ServerKey]storedReport)}
}

// rate is a decayed count of requests.
type rate struct {
	count     float64
	updatedAt time.Time
}

// CountRequest counts a request of this router for a prompt and returns the number
// of requests per second.
func (d *PrefixDirectory) CountRequest(now time.Time, prompt uint64) float64 {
	r, _ := d.rates.Get(prompt)
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		r.count *= math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
		r.updatedAt = now
	}
	r.count++
	d.rates.Add(prompt, r)
	return r.count * math.Ln2 / rateHalfLife.Seconds()
}

// Get returns the servers that are believed to have a prompt cached.
func (d *PrefixDirectory) Get(now time.Time, prompt uint64) []ServerKey {
	list, _ := d.prompts.Get(prompt)
	var servers []ServerKey
	for _, location := range list {
		if now.Sub(location.usedAt) < locationLifetime {
			servers = append(servers, location.server)
		}
	}
	return d.appendReported(now, prompt, servers)
}

// AddSent records that this router sent a prompt to a server.
func (d *PrefixDirectory) AddSent(now time.Time, l CacheLocation) {
	if d.update(now, l) {
		d.recent = append(d.recent, recent{l, now})
		if len(d.recent) > maxNewLocations {
			d.recent = d.recent[len(d.recent)-maxNewLocations:]
		}
	}
}

// AddPeerLocations adds the locations that a peer reported.
func (d *PrefixDirectory) AddPeerLocations(now time.Time, locations []CacheLocation) {
	for _, l := range locations {
		// The age is passed on with the location, so that routers can't keep a
		// location alive by gossip alone.
		d.update(now.Add(-l.Age), l)
	}
}

// update records a use at the given time. It returns true if the location was
// unknown or had expired.
func (d *PrefixDirectory) update(usedAt time.Time, l CacheLocation) bool {
	list, _ := d.prompts.Get(l.Prompt)
	oldest := 0
	for i := range list {
		if list[i].server == l.Server {
			alive := usedAt.Sub(list[i].usedAt) < locationLifetime
			if usedAt.After(list[i].usedAt) {
				list[i].usedAt = usedAt
			}
			return !alive
		}
		if list[i].usedAt.Before(list[oldest].usedAt) {
			oldest = i
		}
	}
	if len(list) >= maxLocations {
		list[oldest] = location{l.Server, usedAt}
		return true
	}
	d.prompts.Add(l.Prompt, append(list, location{l.Server, usedAt}))
	return true
}

// Forget removes a server that has lost its cache.
func (d *PrefixDirectory) Forget(server ServerKey) {
	delete(d.reports, server)
	for _, prompt := range d.prompts.Keys() {
		list, _ := d.prompts.Peek(prompt)
		remaining := make([]location, 0, len(list))
		for _, location := range list {
			if location.server != server {
				remaining = append(remaining, location)
			}
		}
		if len(remaining) < len(list) {
			d.prompts.Add(prompt, remaining)
		}
	}
}

// LocationsToGossip returns the locations for the next digest: new ones, and a few
// older ones in turn.
func (d *PrefixDirectory) LocationsToGossip(now time.Time) []CacheLocation {
	for len(d.recent) > 0 && now.Sub(d.recent[0].addedAt) > newLocationLifetime {
		d.recent = d.recent[1:]
	}
	locations := make([]CacheLocation, 0, len(d.recent)+refreshedPrompts)
	for _, r := range d.recent {
		locations = append(locations, r.CacheLocation)
	}
	prompts := d.prompts.Keys()
	for range min(refreshedPrompts, len(prompts)) {
		d.refreshIndex = (d.refreshIndex + 1) % len(prompts)
		prompt := prompts[d.refreshIndex]
		list, _ := d.prompts.Peek(prompt)
		for _, location := range list {
			// Only recently used locations are repeated, so that stale ones expire.
			if age := now.Sub(location.usedAt); age < locationLifetime/4 {
				locations = append(locations, CacheLocation{prompt, location.server, age})
			}
		}
	}
	return locations
}
