package peer

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"
)

// Parameters of the table of peers.
const (
	// aliveTimeout is the time without a digest after which a peer no longer counts as
	// alive. Only live peers get calls.
	aliveTimeout = 2 * time.Second
	// expiryTimeout is the silence after which a peer is removed. It is longer than a
	// network partition or a restart lasts. Until it expires, the peer still counts as
	// running, since it may be serving requests on the other side of a partition.
	expiryTimeout = 45 * time.Second
	// maxDigestPeers is the maximum number of peers in a digest.
	maxDigestPeers = 6
	// fullFanout and loadFanout are the numbers of peers that get a full digest and a
	// digest of loads in one round. They bound the traffic of a router at any fleet
	// size.
	fullFanout = 10
	loadFanout = 40
)

// peerState is an entry of the table.
type peerState struct {
	Peer
	// digestAt is when the last digest of this peer arrived, zero before the first.
	digestAt time.Time
	// mentionedAt is when a digest of this or another peer last named the peer.
	mentionedAt  time.Time
	sequence     uint64
	revision     uint64
	leader       string
	term         uint64
	listReadAt   time.Time
	listSum      uint64
	hasDirectory bool
	disk         bool
	// routers is the number of routers that the peer knows.
	routers int
}

// Table holds the peers that this router knows. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	self   Peer
	random *rand.Rand
	seeds  []string
	peers  map[string]*peerState
	// savedPeers are the addresses of peers that were alive before this process
	// started. They get digests until savedPeersUntil.
	savedPeers      []string
	savedPeersUntil time.Time
}

// NewTable returns a table without peers. The seeds are addresses of routers to contact
// first, and seed initializes the random generator.
func NewTable(self Peer, seeds []string, seed uint64) *Table {
	return &Table{self: self, seeds: seeds, random: rand.New(rand.NewPCG(seed, 3)), peers: make(map[string]*peerState)}
}

// SetSeeds replaces the addresses that get digests while few peers are alive.
func (t *Table) SetSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = seeds
}

// SetSavedPeers sets the addresses of peers that were alive before this process
// started. They get digests until the given time.
func (t *Table) SetSavedPeers(addrs []string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.savedPeers, t.savedPeersUntil = addrs, until
}

// AliveAddrs returns the sorted addresses of at most limit live peers.
func (t *Table) AliveAddrs(now time.Time, limit int) []string {
	addrs := t.selectAlive(now, func(*peerState) bool { return true }, func(a, b *peerState) bool { return a.Addr < b.Addr })
	return addrs[:min(limit, len(addrs))]
}

// Seeds returns the addresses that get digests while few peers are alive.
func (t *Table) Seeds() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.seeds)
}

// Receive records a digest. It returns false if the digest is outdated, comes from this
// router itself or has no sender.
func (t *Table) Receive(now time.Time, d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.From.Name == t.self.Name || d.From.Name == "" {
		return false
	}
	p := t.upsert(now, d.From)
	if d.From.Started == p.Started && d.Sequence <= p.sequence {
		return false
	}
	// A process that seems to have started earlier may have been started after its clock was set back.
	if d.From.Started < p.Started && now.Sub(p.digestAt) < aliveTimeout {
		return false
	}
	p.Peer = d.From
	p.sequence = d.Sequence
	p.digestAt = now
	p.revision = d.Revision
	p.leader = d.Leader
	p.term = d.Term
	p.listSum = d.ListSum
	p.hasDirectory = d.HasDirectory
	p.disk = d.Disk
	p.routers = d.Extension.Routers
	p.listReadAt = time.Time{}
	if d.ListAge >= 0 {
		p.listReadAt = now.Add(-d.ListAge)
	}
	for _, other := range d.Peers {
		if other.Name != t.self.Name {
			t.upsert(now, other)
		}
	}
	return true
}

// upsert adds a peer if it is missing. It updates the address if the process is newer.
func (t *Table) upsert(now time.Time, p Peer) *peerState {
	state, ok := t.peers[p.Name]
	if !ok {
		state = &peerState{Peer: p}
		t.peers[p.Name] = state
	}
	state.mentionedAt = now
	if p.Started > state.Started {
		state.Addr = p.Addr
	}
	return state
}

// Expire removes peers that have been silent for longer than expiryTimeout.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if now.Sub(p.digestAt) > expiryTimeout && now.Sub(p.mentionedAt) > expiryTimeout {
			delete(t.peers, name)
		}
	}
}

// Names returns the sorted names of this router and of all peers that may be running.
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

// Count returns the number of routers that may be running. A router that has just started
// knows only some of them by name, so it counts like the peer that knows most.
func (t *Table) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := max(1+len(t.peers), len(t.seeds))
	if now.Before(t.savedPeersUntil) {
		count = max(count, 1+len(t.savedPeers))
	}
	for _, p := range t.peers {
		count = max(count, p.routers)
	}
	return count
}

// Rank returns the number of live peers whose name sorts before this router's.
func (t *Table) Rank(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := 0
	for name, p := range t.peers {
		if name < t.self.Name && now.Sub(p.digestAt) < aliveTimeout {
			rank++
		}
	}
	return rank
}

// Predecessors returns the number of live peers that go before this router. The parameter
// disk states whether this router has a disk. Routers with a disk go first, and among
// equals those that started earlier. Their clocks may differ, which affects only the order.
func (t *Table) Predecessors(now time.Time, disk bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	predecessors := 0
	for name, p := range t.peers {
		if now.Sub(p.digestAt) >= aliveTimeout {
			continue
		}
		startedFirst := p.Started < t.self.Started || p.Started == t.self.Started && name < t.self.Name
		if p.disk && !disk || p.disk == disk && startedFirst {
			predecessors++
		}
	}
	return predecessors
}

// Targets returns the addresses that get the next digest.
func (t *Table) Targets(now time.Time, full bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []string
	alive := 0
	for _, p := range t.peers {
		targets = append(targets, p.Addr)
		if now.Sub(p.digestAt) < aliveTimeout {
			alive++
		}
	}
	t.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	fanout := loadFanout
	if full {
		fanout = fullFanout
	}
	targets = targets[:min(fanout, len(targets))]
	for _, seed := range t.seeds {
		// Seeds get digests while few peers are alive, and occasionally at other times,
		// to reconnect after a network partition.
		if seed != t.self.Addr && !slices.Contains(targets, seed) && (alive < 3 || t.random.IntN(16) == 0) {
			targets = append(targets, seed)
		}
	}
	if now.Before(t.savedPeersUntil) {
		for _, addr := range t.savedPeers {
			if addr != t.self.Addr && !slices.Contains(targets, addr) {
				targets = append(targets, addr)
			}
		}
	}
	return targets
}

// SamplePeers returns a random sample of the live peers for a digest.
func (t *Table) SamplePeers(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var others []Peer
	for _, p := range t.peers {
		if now.Sub(p.digestAt) < aliveTimeout {
			others = append(others, p.Peer)
		}
	}
	t.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(maxDigestPeers, len(others))]
}

// Newer returns the addresses of live peers with a higher revision of the declared
// state, the highest first.
func (t *Table) Newer(now time.Time, revision uint64) []string {
	return t.selectAlive(now, func(p *peerState) bool { return p.revision > revision },
		func(a, b *peerState) bool { return a.revision > b.revision })
}

// FresherList returns the address of the live peer with the freshest list, the time at
// which that list was read and its checksum. The address is empty if no list was read
// later than readAt by more than margin.
func (t *Table) FresherList(now, readAt time.Time, margin time.Duration) (addr string, at time.Time, sum uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at = readAt.Add(margin)
	for _, p := range t.peers {
		if now.Sub(p.digestAt) < aliveTimeout && p.listReadAt.After(at) {
			addr, at, sum = p.Addr, p.listReadAt, p.listSum
		}
	}
	return addr, at, sum
}

func (t *Table) selectAlive(now time.Time, match func(*peerState) bool, less func(a, b *peerState) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*peerState
	for _, p := range t.peers {
		if now.Sub(p.digestAt) < aliveTimeout && match(p) {
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

// Leader returns the address of the leader in the highest term that a live peer has
// reported, and that term.
func (t *Table) Leader(now time.Time) (addr string, term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if now.Sub(p.digestAt) < aliveTimeout && p.leader != "" && p.term > term {
			addr, term = p.leader, p.term
		}
	}
	return addr, term
}

// WithDirectory returns the sorted addresses of live peers that have the prefix directory.
func (t *Table) WithDirectory(now time.Time) []string {
	return t.selectAlive(now, func(p *peerState) bool { return p.hasDirectory }, func(a, b *peerState) bool { return a.Addr < b.Addr })
}

// Alive returns the number of live peers.
func (t *Table) Alive(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := 0
	for _, p := range t.peers {
		if now.Sub(p.digestAt) < aliveTimeout {
			alive++
		}
	}
	return alive
}
