package neighbour

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"
)

// Parameters of the table of routers.
const (
	// aliveFor is the silence after which a router isn't asked for anything.
	aliveFor = 2 * time.Second
	// knownFor is how long a silent router still counts as one that may be at
	// work elsewhere: longer than a cut or a restart lasts.
	knownFor = 45 * time.Second
	// maxOthers bounds the routers that a digest names.
	maxOthers = 6
	// wholeFanout and loadFanout are the numbers of routers that get one round of
	// whole digests and of loads. They bound the traffic of a router at any size
	// of the fleet.
	wholeFanout = 10
	loadFanout  = 40
)

// known is a row of the table.
type known struct {
	Peer
	// heardAt is when a digest came from the router itself, zero before.
	heardAt time.Time
	// namedAt is when it was last heard of at all.
	namedAt  time.Time
	sequence uint64
	revision uint64
	leader   string
	term     uint64
	listAt   time.Time
	listSum  uint64
	informed bool
	disk     bool
}

// Table holds the routers that this one knows.
type Table struct {
	mu     sync.Mutex
	self   Peer
	random *rand.Rand
	seeds  []string
	peers  map[string]*known
	// remembered routers were alive before this process started; they get digests
	// until rememberedUntil.
	remembered      []string
	rememberedUntil time.Time
}

// NewTable returns a table that knows the addresses of some routers.
func NewTable(self Peer, seeds []string, seed uint64) *Table {
	return &Table{self: self, seeds: seeds, random: rand.New(rand.NewPCG(seed, 3)), peers: make(map[string]*known)}
}

// SetSeeds replaces the addresses that are asked when few routers are known.
func (t *Table) SetSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = seeds
}

// SetSavedPeers takes the addresses of routers that were alive before this process; they
// are told of it until the given time.
func (t *Table) SetSavedPeers(addrs []string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remembered, t.rememberedUntil = addrs, until
}

// AliveAddrs returns the addresses of some routers alive, in order.
func (t *Table) AliveAddrs(now time.Time, most int) []string {
	addrs := t.best(now, func(*known) bool { return true }, func(a, b *known) bool { return a.Addr < b.Addr })
	return addrs[:min(most, len(addrs))]
}

// Seeds returns those addresses.
func (t *Table) Seeds() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.seeds)
}

// Receive takes a digest. It returns false for an old or own one.
func (t *Table) Receive(now time.Time, d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.From.Name == t.self.Name || d.From.Name == "" {
		return false
	}
	p := t.know(now, d.From)
	if d.From.Started < p.Started || d.From.Started == p.Started && d.Sequence <= p.sequence {
		return false
	}
	p.Peer = d.From
	p.sequence = d.Sequence
	p.heardAt = now
	p.revision = d.Revision
	p.leader = d.Leader
	p.term = d.Term
	p.listSum = d.ListSum
	p.informed = d.HasDirectory
	p.disk = d.Disk
	p.listAt = time.Time{}
	if d.ListAge >= 0 {
		p.listAt = now.Add(-d.ListAge)
	}
	for _, other := range d.Peers {
		if other.Name != t.self.Name {
			t.know(now, other)
		}
	}
	return true
}

// know adds a router, or takes its newer process.
func (t *Table) know(now time.Time, p Peer) *known {
	k, ok := t.peers[p.Name]
	if !ok {
		k = &known{Peer: p}
		t.peers[p.Name] = k
	}
	k.namedAt = now
	if p.Started > k.Started {
		k.Addr = p.Addr
	}
	return k
}

// Expire forgets routers that have been silent for long.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if now.Sub(p.heardAt) > knownFor && now.Sub(p.namedAt) > knownFor {
			delete(t.peers, name)
		}
	}
}

// Names returns the names of all routers that may be at work, in order.
func (t *Table) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{t.self.Name}
	for name := range t.peers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Rank returns the number of routers alive whose name comes before this one's.
func (t *Table) Rank(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := 0
	for name, p := range t.peers {
		if name < t.self.Name && now.Sub(p.heardAt) < aliveFor {
			rank++
		}
	}
	return rank
}

// Predecessors returns the number of routers alive that come before this one: those with
// a disk before the others, and among equals those that started before. By clocks that
// may differ; it only decides who goes first.
func (t *Table) Predecessors(now time.Time, disk bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := 0
	for name, p := range t.peers {
		if now.Sub(p.heardAt) >= aliveFor {
			continue
		}
		earlier := p.Started < t.self.Started || p.Started == t.self.Started && name < t.self.Name
		if p.disk && !disk || p.disk == disk && earlier {
			before++
		}
	}
	return before
}

// Targets returns the addresses that get the next round of digests.
func (t *Table) Targets(now time.Time, whole bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []string
	alive := 0
	for _, p := range t.peers {
		targets = append(targets, p.Addr)
		if now.Sub(p.heardAt) < aliveFor {
			alive++
		}
	}
	t.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	fanout := loadFanout
	if whole {
		fanout = wholeFanout
	}
	targets = targets[:min(fanout, len(targets))]
	for _, seed := range t.seeds {
		// Seeds are asked while little is known, and now and then after a cut.
		if seed != t.self.Addr && !slices.Contains(targets, seed) && (alive < 3 || t.random.IntN(16) == 0) {
			targets = append(targets, seed)
		}
	}
	if now.Before(t.rememberedUntil) {
		for _, addr := range t.remembered {
			if addr != t.self.Addr && !slices.Contains(targets, addr) {
				targets = append(targets, addr)
			}
		}
	}
	return targets
}

// SamplePeers returns a few routers for a digest.
func (t *Table) SamplePeers(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var others []Peer
	for _, p := range t.peers {
		if now.Sub(p.heardAt) < aliveFor {
			others = append(others, p.Peer)
		}
	}
	t.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(maxOthers, len(others))]
}

// Newer returns the addresses of routers alive with a higher revision of the
// declared state, the highest first.
func (t *Table) Newer(now time.Time, revision uint64) []string {
	return t.best(now, func(p *known) bool { return p.revision > revision },
		func(a, b *known) bool { return a.revision > b.revision })
}

// FresherList returns the addresses of routers alive whose list was read after
// the given time by more than margin, the freshest first, and its checksum.
func (t *Table) FresherList(now, readAt time.Time, margin time.Duration) (addr string, at time.Time, sum uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at = readAt.Add(margin)
	for _, p := range t.peers {
		if now.Sub(p.heardAt) < aliveFor && p.listAt.After(at) {
			addr, at, sum = p.Addr, p.listAt, p.listSum
		}
	}
	return addr, at, sum
}

func (t *Table) best(now time.Time, match func(*known) bool, less func(a, b *known) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*known
	for _, p := range t.peers {
		if now.Sub(p.heardAt) < aliveFor && match(p) {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, j int) bool { return less(list[i], list[j]) })
	addrs := make([]string, len(list))
	for i, p := range list {
		addrs[i] = p.Addr
	}
	return addrs
}

// Leader returns the address of the leader of the newest term that a router
// alive has named.
func (t *Table) Leader(now time.Time) (addr string, term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if now.Sub(p.heardAt) < aliveFor && p.leader != "" && p.term > term {
			addr, term = p.leader, p.term
		}
	}
	return addr, term
}

// WithDirectory returns the addresses of routers alive that know which prompts servers
// keep, in order.
func (t *Table) WithDirectory(now time.Time) []string {
	return t.best(now, func(p *known) bool { return p.informed }, func(a, b *known) bool { return a.Addr < b.Addr })
}

// Alive returns the number of routers heard lately.
func (t *Table) Alive(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := 0
	for _, p := range t.peers {
		if now.Sub(p.heardAt) < aliveFor {
			alive++
		}
	}
	return alive
}
