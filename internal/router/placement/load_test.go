package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
)

// fleet simulates routers that send requests to engines and learn each other's
// loads late, as with digests.
type fleet struct {
	t           *testing.T
	random      *rand.Rand
	tables      []*Table
	now         time.Time
	load        map[string]int
	cached      map[string]map[uint64]bool
	completions []completion
	gossipedAt  time.Time
	digests     []digest
	// servers is the number of servers that the configured bound counts.
	servers int
	// requests, prefills and aboveBound count all requests, prompts that had to be
	// read, and requests to servers above the configured bound.
	requests, prefills, aboveBound int
}

type completion struct {
	dueAt  time.Time
	table  *Table
	choice Choice
}

type digest struct {
	dueAt        time.Time
	from         int
	loads        map[ServerKey]RouterLoad
	locations    []CacheLocation
	observations map[ServerKey]Observation
}

// Parameters of the simulated engines and digests.
const (
	digestPeriod = 100 * time.Millisecond
	digestDelay  = 3 * time.Millisecond
	warmLatency  = 350 * time.Millisecond
	// prefillLatency is the time to read a long prompt.
	prefillLatency = 90 * time.Millisecond
)

func newFleet(t *testing.T, routers, servers int) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(1, 1)), now: start, gossipedAt: start,
		load: make(map[string]int), cached: make(map[string]map[uint64]bool), servers: servers}
	var names []string
	for i := range routers {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	for _, name := range names {
		table := newTable(name, list("guides", servers))
		table.SetRouters(names, len(names))
		f.tables = append(f.tables, table)
	}
	return f
}

// run sends requests at a rate, each from a random router and for one of the
// prompts.
func (f *fleet) run(d time.Duration, perSecond float64, prompt func() uint64) {
	for stop := f.now.Add(d); f.now.Before(stop); {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		f.finishDue()
		f.send(f.random.IntN(len(f.tables)), prompt())
	}
}

// gossip delivers the digests that are due.
func (f *fleet) gossip() {
	for f.gossipedAt.Add(digestPeriod).Before(f.now) {
		f.gossipedAt = f.gossipedAt.Add(digestPeriod)
		for i, table := range f.tables {
			observations := table.Observations(f.gossipedAt)
			loads := make(map[ServerKey]RouterLoad)
			for key, o := range observations {
				loads[key] = RouterLoad{InFlight: uint16(o.InFlight), Waiting: uint16(o.Waiting)}
			}
			f.digests = append(f.digests, digest{f.gossipedAt.Add(digestDelay), i, loads, table.LocationsToGossip(f.gossipedAt), observations})
		}
	}
	for len(f.digests) > 0 && !f.digests[0].dueAt.After(f.now) {
		d := f.digests[0]
		f.digests = f.digests[1:]
		for i, table := range f.tables {
			if i != d.from {
				name := fmt.Sprintf("entry-%d", d.from)
				table.SetPeerLoads(d.dueAt, name, d.loads)
				table.SetPeerObservations(d.dueAt, name, d.observations)
				table.AddPeerLocations(d.dueAt, d.locations)
			}
		}
	}
}

func (f *fleet) finishDue() {
	f.gossip()
	pending := f.completions[:0]
	for _, c := range f.completions {
		if c.dueAt.After(f.now) {
			pending = append(pending, c)
			continue
		}
		f.load[c.choice.ID]--
		c.table.Finish(c.dueAt, c.choice, "r", OutcomeAnswered, warmLatency)
	}
	f.completions = pending
}

func (f *fleet) send(router int, prompt uint64) {
	table := f.tables[router]
	choice, err := table.Pick(f.now, query(engineService, prompt))
	require.NoError(f.t, err)
	sum := 0
	for _, n := range f.load {
		sum += n
	}
	f.requests++
	if float64(f.load[choice.ID]) > 2*float64(sum)/float64(f.servers)+3 {
		f.aboveBound++
	}
	f.load[choice.ID]++
	latency := warmLatency
	if f.cached[choice.ID] == nil {
		f.cached[choice.ID] = make(map[uint64]bool)
	}
	if !f.cached[choice.ID][prompt] {
		f.cached[choice.ID][prompt] = true
		if choice.FetchFrom == "" {
			f.prefills++
		}
		latency += prefillLatency
	}
	f.completions = append(f.completions, completion{f.now.Add(latency), table, choice})
}

// TestLoadBoundUnderAHotPrompt covers a hot prompt with a third of all requests. At
// most 3 in 100 requests may go to servers above the configured bound of twice the
// mean plus 3, and few prompts may be read again.
func TestLoadBoundUnderAHotPrompt(t *testing.T) {
	for _, size := range []struct{ routers, servers int }{{8, 9}, {30, 51}} {
		f := newFleet(t, size.routers, size.servers)
		prompt := func() uint64 {
			if f.random.Float64() < 0.3 {
				return 1
			}
			return uint64(f.random.IntN(150)) + 2
		}
		f.run(20*time.Second, 10*float64(size.servers), prompt)
		require.LessOrEqual(t, float64(f.aboveBound), 0.03*float64(f.requests), "%+v", size)
		// Each prompt is read once, and fetched otherwise.
		require.LessOrEqual(t, f.prefills, 2*151, "%+v", size)
	}
}

// TestLoadBoundDuringZoneOut covers a zone that is taken out under load.
func TestLoadBoundDuringZoneOut(t *testing.T) {
	f := newFleet(t, 8, 9)
	prompt := func() uint64 { return uint64(f.random.IntN(150)) + 1 }
	f.run(10*time.Second, 90, prompt)
	before := f.prefills
	for _, table := range f.tables {
		for i := 0; i < 9; i += 3 {
			setReplaced(table, fmt.Sprintf("guides-%d", i))
		}
	}
	f.run(10*time.Second, 90, prompt)
	require.LessOrEqual(t, float64(f.aboveBound), 0.03*float64(f.requests))
	require.Less(t, f.prefills-before, 15, "prompts are fetched from the leaving servers")
}

// TestFetchedPromptsDoNotCountAsSlowness covers new servers, which must read or
// fetch each prompt first. That takes longer than a response from cache, and says
// nothing about the speed of the server.
func TestFetchedPromptsDoNotCountAsSlowness(t *testing.T) {
	table := newTable("a", list("guides", 2))
	for i := range uint64(40) {
		for _, prompt := range []uint64{1, 1000 + i} {
			choice, err := table.Pick(start, query(engineService, prompt))
			require.NoError(t, err)
			latency := 15 * time.Millisecond
			if !choice.Warm {
				latency = 120 * time.Millisecond
			}
			table.Finish(start, choice, "r", OutcomeAnswered, latency)
		}
	}
	for id, r := range table.servers {
		require.Less(t, r.relativeLatency(), 1.2, id)
	}
}

// TestPromptsStayUpToTheLoadBound covers releases and scale-out under load. Servers
// that have the prompts cached carry more than the mean. A prompt that isn't hot
// stays on its server while the load is well below the configured bound of twice
// the mean plus 3. With 30 routers, half of all requests used to go to another
// server, which fetched the prompt.
func TestPromptsStayUpToTheLoadBound(t *testing.T) {
	table := newTable("entry-0", list("guides", 20))
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	table.SetRouters(names, len(names))
	warm := pick(t, table, start, 5)
	now := start.Add(10 * time.Second)
	loads := make(map[ServerKey]RouterLoad)
	for _, s := range list("guides", 20) {
		loads[KeyOf(s.ID)] = RouterLoad{InFlight: 4}
	}
	pickAtLoad := func(n uint16) Choice {
		loads[KeyOf(warm.ID)] = RouterLoad{InFlight: n}
		table.SetPeerLoads(now, "entry-1", loads)
		return pick(t, table, now, 5)
	}
	require.Equal(t, warm.ID, pickAtLoad(8).ID)
	now = now.Add(10 * time.Second)
	require.NotEqual(t, warm.ID, pickAtLoad(11).ID, "it moves when the server is above the bound")
}

// TestServiceMeanCountsServersAfterBackoff covers the return of crashed servers. A
// server that has not been tried since its crash has little load, and the
// configured bound is relative to the mean with it included (regnrenna-vakt,
// burst-with-loss, seed 1055169218046: LIMIT).
func TestServiceMeanCountsServersAfterBackoff(t *testing.T) {
	table := newTable("a", list("guides", 2))
	choice := pick(t, table, start, 5)
	table.Finish(start, choice, "r", OutcomeUnreachable, 0)
	loads := make(map[ServerKey]RouterLoad)
	for _, s := range list("guides", 2) {
		if s.ID != choice.ID {
			loads[KeyOf(s.ID)] = RouterLoad{InFlight: 20}
		}
	}
	mean := func(now time.Time) float64 {
		table.SetPeerLoads(now, "b", loads)
		table.mu.Lock()
		defer table.mu.Unlock()
		table.sumPeers(now)
		return table.serviceMean(now, "guides")
	}
	require.InDelta(t, 20, mean(start), 0.01, "it is down")
	require.InDelta(t, 10, mean(start.Add(maxBackoff)), 0.01, "it may be back")
}

// TestEnginesAboveTheHardBoundGetNoRequests covers the return of crashed servers
// after a burst. The survivors carry far more than twice the mean plus 3, and the
// others are cold and at their rate limit. Callers are refused and may retry.
func TestEnginesAboveTheHardBoundGetNoRequests(t *testing.T) {
	servers := list("guides", 4)
	for i := 1; i < 4; i++ {
		servers[i].Cold = time.Hour
	}
	table := newTable("a", servers)
	table.SetPeerLoads(start, "b", map[ServerKey]RouterLoad{KeyOf("guides-0"): {InFlight: 60}})
	refused := 0
	for range 40 {
		choice, err := table.Pick(start, query(engineService, 5))
		if err != nil {
			require.Equal(t, bronzerill.KindOverloaded, bronzerill.KindOf(err))
			require.Positive(t, choice.RetryAfter)
			refused++
			continue
		}
		require.NotEqual(t, "guides-0", choice.ID)
	}
	require.Positive(t, refused)

	// While the others are down, the survivor takes requests.
	down := newTable("a", list("guides", 4))
	down.SetPeerLoads(start, "b", map[ServerKey]RouterLoad{KeyOf("guides-0"): {InFlight: 60}})
	for _, r := range down.servers {
		if r.ID != "guides-0" {
			down.Finish(start, Choice{Server: r.Server, SentAt: start}, "r", OutcomeUnreachable, 0)
		}
	}
	for _, after := range []time.Duration{0, maxBackoff} {
		q := query(engineService, 5)
		q.Excluded = []string{"guides-1", "guides-2", "guides-3"}
		choice, err := down.Pick(start.Add(after), q)
		require.NoError(t, err)
		require.Equal(t, "guides-0", choice.ID)
	}
}
