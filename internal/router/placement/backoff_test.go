package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/wire/httpheader"
)

// backoffRun is a simulation of routers whose servers refuse all requests for some time and
// ask for pauses.
type backoffRun struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	tables []*Table
	// refusing holds the pause that each server asks for while it refuses requests.
	refusing map[string]time.Duration
	// pausedUntil is the end of the longest pause that a server has asked a router for.
	pausedUntil map[string]time.Time
	// received counts the requests by server, and inPause those in a pause that the same
	// server had asked the same router for.
	received, inPause map[string]int
	// refused counts the requests that no server could take.
	refused int
	// gossips is set if the routers send each other digests, the last ones at gossipedAt.
	gossips    bool
	gossipedAt time.Time
}

func newBackoffRun(t *testing.T, routers int, servers []Server) *backoffRun {
	run := &backoffRun{
		t: t, random: rand.New(rand.NewPCG(3, 3)), now: start, refusing: make(map[string]time.Duration),
		pausedUntil: make(map[string]time.Time), received: make(map[string]int), inPause: make(map[string]int),
	}
	var names []string
	for i := range routers {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	for _, name := range names {
		table := newTable(name, servers)
		table.SetRouters(names, routers)
		run.tables = append(run.tables, table)
	}
	return run
}

// send sends requests at a rate for some time. Each is answered immediately.
func (run *backoffRun) send(d time.Duration, perSecond float64, s Service) {
	for end := run.now.Add(d); run.now.Before(end); {
		run.now = run.now.Add(time.Duration(run.random.ExpFloat64() / perSecond * float64(time.Second)))
		run.gossip()
		run.sendOne(run.tables[run.random.IntN(len(run.tables))], s)
	}
}

// gossip delivers the digests of the rounds that are due, some of which are lost.
func (run *backoffRun) gossip() {
	if !run.gossips || run.now.Sub(run.gossipedAt) < gossipPeriod {
		return
	}
	run.gossipedAt = run.now
	for _, from := range run.tables {
		backoffs := from.BackoffsToGossip(run.now)
		for _, to := range run.tables {
			if from != to && run.random.Float64() > digestLoss {
				to.SetPeerBackoffs(run.now, from.cfg.Name, backoffs)
			}
		}
	}
}

func (run *backoffRun) sendOne(table *Table, s Service) {
	q := query(s, 1+run.random.Uint64N(40))
	q.Request.Remaining = remaining
	choice, err := table.Pick(run.now, q)
	if err != nil {
		require.Equal(run.t, bronzerill.KindServerBackoff, bronzerill.KindOf(err))
		require.Positive(run.t, choice.RetryAfter)
		require.LessOrEqual(run.t, choice.RetryAfter, remaining/3, "callers ignore longer pauses")
		run.refused++
		return
	}
	run.received[choice.ID]++
	key := table.cfg.Name + choice.ID
	if run.now.Before(run.pausedUntil[key]) {
		run.inPause[choice.ID]++
	}
	pause, refuses := run.refusing[choice.ID]
	if !refuses {
		table.SetBackoff(run.now, choice, 0)
		table.ResponseStarted(run.now, &choice)
		table.Finish(run.now, choice, "r", OutcomeAnswered, 50*time.Millisecond)
		return
	}
	run.pausedUntil[key] = latest(run.pausedUntil[key], run.now.Add(pause))
	table.SetBackoff(run.now, choice, pause)
	table.Finish(run.now, choice, "r", OutcomeNone, 0)
}

func TestPausesOfServersAreKept(t *testing.T) {
	for _, service := range []Service{deskService, engineService} {
		for _, routers := range []int{1, 9, 33} {
			for _, pause := range []time.Duration{40 * time.Millisecond, time.Second, 3 * time.Second} {
				t.Run(fmt.Sprint(service.Name, routers, pause), func(t *testing.T) {
					run := newBackoffRun(t, routers, list(service.Name, 6))
					paused := []string{service.Name + "-0", service.Name + "-1", service.Name + "-2"}
					for _, server := range paused {
						run.refusing[server] = pause
					}
					const seconds = 8
					run.send(seconds*time.Second, 300, service)
					require.Zero(t, run.refused, "three servers answer")
					for _, server := range paused {
						require.Zero(t, run.inPause[server])
						require.Positive(t, run.received[server])
						require.LessOrEqual(t, float64(run.received[server]), float64(routers)*(1+seconds/pause.Seconds()), "one request of each router after a pause")
					}
				})
			}
		}
	}
}

func TestServiceWhoseServersAllPauseRefusesAtOnce(t *testing.T) {
	run := newBackoffRun(t, 9, list("desk", 3))
	for i := range 3 {
		run.refusing[fmt.Sprintf("desk-%d", i)] = 2 * time.Second
	}
	run.send(10*time.Second, 100, deskService)
	require.Empty(t, run.inPause)
	require.Greater(t, run.refused, 700)
	clear(run.refusing)
	run.send(2100*time.Millisecond, 100, deskService)
	run.refused = 0
	run.send(3*time.Second, 100, deskService)
	require.Zero(t, run.refused, "the pauses have ended")
}

// The other half of the requests goes to the servers that didn't pause.
func TestServerIsUsedAgainRightAfterItsPause(t *testing.T) {
	for _, service := range []Service{deskService, engineService} {
		run := newBackoffRun(t, 9, list(service.Name, 4))
		run.send(3*time.Second, 300, service)
		paused := service.Name + "-0"
		before := run.received[paused]
		run.refusing[paused] = time.Second
		run.send(time.Second, 300, service)
		clear(run.refusing)
		run.send(time.Second, 300, service)
		run.received[paused] = 0
		run.send(3*time.Second, 300, service)
		require.Greater(t, run.received[paused], before/2, "its cached prompts return")
		require.Less(t, run.received[paused], before*2)
	}
}

func TestOneRequestAfterAPauseUntilTheServerAnswers(t *testing.T) {
	table := newTable("a", list("desk", 1))
	pick := func(at time.Duration) (Choice, bronzerill.Kind) {
		choice, err := table.Pick(start.Add(at), query(deskService, 0))
		return choice, bronzerill.KindOf(err)
	}
	choice, _ := pick(0)
	table.SetBackoff(start, choice, time.Second)
	table.Finish(start, choice, "r", OutcomeNone, 0)
	_, kind := pick(999 * time.Millisecond)
	require.Equal(t, bronzerill.KindServerBackoff, kind)
	first, kind := pick(time.Second)
	require.Equal(t, bronzerill.KindNone, kind)
	_, kind = pick(1400 * time.Millisecond)
	require.Equal(t, bronzerill.KindServerBackoff, kind, "the first request has no response yet")
	second, kind := pick(1500 * time.Millisecond)
	require.Equal(t, bronzerill.KindNone, kind, "the first request is silent")
	table.Finish(start.Add(1600*time.Millisecond), second, "r", OutcomeFailed, 0)
	_, kind = pick(1600 * time.Millisecond)
	require.Equal(t, bronzerill.KindNone, kind, "the second request has ended")
	table.SetBackoff(start.Add(1700*time.Millisecond), first, 0)
	for range 3 {
		_, kind = pick(1700 * time.Millisecond)
		require.Equal(t, bronzerill.KindNone, kind, "the server has answered")
	}
}

func TestPausesAreExtendedButNotShortened(t *testing.T) {
	tests := []struct {
		name string
		// later is the pause that the server states 1 s after one of 3 s, in the response to a
		// request that was sent before.
		later, until time.Duration
	}{
		{"longer", 4 * time.Second, 5 * time.Second},
		{"shorter", time.Second, 3 * time.Second},
		{"none, in a late response", 0, 3 * time.Second},
		{"longest that can be stated", math.MaxInt64, time.Second + httpheader.MaxRetryAfter},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable("a", list("desk", 1))
			choice, err := table.Pick(start, query(deskService, 0))
			require.NoError(t, err)
			table.SetBackoff(start, choice, 3*time.Second)
			table.SetBackoff(start.Add(time.Second), choice, test.later)
			require.Error(t, table.MaySend(start.Add(test.until-1), choice))
			require.NoError(t, table.MaySend(start.Add(test.until), choice))
			_, err = table.Pick(start.Add(test.until-1), query(deskService, 0))
			require.Equal(t, bronzerill.KindServerBackoff, bronzerill.KindOf(err))
			_, err = table.Pick(start.Add(test.until), query(deskService, 0))
			require.NoError(t, err)
		})
	}
}

func TestPauseDoesNotApplyToAnotherServer(t *testing.T) {
	servers := list("desk", 1)
	servers[0].Born = 1
	tests := map[string]Server{
		"new server at the address":   {ID: "desk-9", Service: "desk", Addr: servers[0].Addr, Born: 1},
		"new process of the same ID":  {ID: "desk-0", Service: "desk", Addr: servers[0].Addr, Born: 2},
		"same ID at another address ": {ID: "desk-0", Service: "desk", Addr: "10.0.0.99:80", Born: 3},
	}
	for name, next := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTable("a", servers)
			paused, err := table.Pick(start, query(deskService, 0))
			require.NoError(t, err)
			table.SetBackoff(start, paused, time.Minute)
			table.Finish(start, paused, "r", OutcomeNone, 0)
			table.SetList(start.Add(time.Second), start.Add(time.Second), []Server{next})
			table.SetBackoff(start.Add(time.Second), paused, time.Minute)
			choice, err := table.Pick(start.Add(time.Second), query(deskService, 0))
			require.NoError(t, err)
			require.NoError(t, table.MaySend(start.Add(time.Second), choice))
			require.Equal(t, next.ID, choice.ID)
		})
	}
}

func TestPauseBesideAServerLimit(t *testing.T) {
	run := newBackoffRun(t, 9, list("desk", 2))
	limit := RateLimit{Limited: true, PerSecond: 20}
	for _, table := range run.tables {
		table.SetRateLimit(start, Choice{Server: Server{ID: "desk-0"}, SentAt: start}, limit)
	}
	run.refusing["desk-0"] = time.Second
	run.send(6*time.Second, 200, deskService)
	require.Zero(t, run.inPause["desk-0"])
	require.Zero(t, run.refused, "the other server takes the requests")
	require.Positive(t, run.received["desk-0"])
}

func TestEnginesInAPauseAreNotQueriedForCachedPrompts(t *testing.T) {
	table := newTable("a", list("guides", 3))
	table.SetBackoff(start, Choice{Server: Server{ID: "guides-1"}, SentAt: start}, time.Second)
	isEngine := func(string) bool { return true }
	require.Len(t, table.Engines(start, isEngine, noZoneOut), 2)
	require.Len(t, table.Engines(start.Add(time.Second), isEngine, noZoneOut), 3)
}

func TestSilentRequestDoesNotMoveToAServerInAPause(t *testing.T) {
	table := newTable("a", list("desk", 2))
	q := query(deskService, 0)
	q.Excluded = []string{"desk-0"}
	require.True(t, table.HasOther(start, q))
	table.SetBackoff(start, Choice{Server: Server{ID: "desk-1"}, SentAt: start}, time.Second)
	require.False(t, table.HasOther(start, q))
}

// Engines in a pause have no load, so the mean of all would turn requests away from the others.
func TestLoadBoundLeavesOutEnginesInAPause(t *testing.T) {
	table := newTable("a", list("guides", 8))
	for i := range 6 {
		table.SetBackoff(start, Choice{Server: Server{ID: fmt.Sprintf("guides-%d", i)}, SentAt: start}, time.Minute)
	}
	for i := range 20 {
		_, err := table.Pick(start.Add(time.Second), query(engineService, uint64(i+1)))
		require.NoError(t, err, "request %d of 20 at two engines with 48 slots", i)
	}
}

// Without digests, each of the 30 routers would be refused after each pause.
func TestRoutersAvoidServersThatAskedTheirPeersForPauses(t *testing.T) {
	for _, service := range []Service{deskService, engineService} {
		t.Run(service.Name, func(t *testing.T) {
			const routers = 30
			run := newBackoffRun(t, routers, list(service.Name, 6))
			run.gossips = true
			paused := []string{service.Name + "-0", service.Name + "-3"}
			run.send(2*time.Second, 300, service)
			before := maps.Clone(run.received)
			clear(run.received)
			for _, server := range paused {
				run.refusing[server] = 3 * time.Second
			}
			run.send(12*time.Second, 300, service)
			require.Zero(t, run.refused)
			for _, server := range paused {
				require.Zero(t, run.inPause[server])
				require.LessOrEqual(t, run.received[server], routers+4*backoffTrialSenders, "each router may learn of the first pause by itself, three of the others")
			}
			clear(run.refusing)
			run.send(3*time.Second+peerBackoffMargin+gossipPeriod, 300, service)
			clear(run.received)
			run.send(2*time.Second, 300, service)
			for _, server := range paused {
				require.Greater(t, run.received[server], before[server]/2, "the server is used again")
			}
		})
	}
}

func TestPausesOfPeersAreNoReasonToRefuse(t *testing.T) {
	table := newTable("a", list("desk", 2))
	pauses := map[ServerKey]time.Duration{KeyOf("desk-0"): time.Second}
	picked := func() map[string]int {
		counts := make(map[string]int)
		for i := range 20 {
			choice, err := table.Pick(start.Add(time.Duration(i)), query(deskService, 0))
			require.NoError(t, err)
			table.Finish(start.Add(time.Duration(i)), choice, "r", OutcomeNone, 0)
			counts[choice.ID]++
		}
		return counts
	}
	table.SetPeerBackoffs(start, "b", pauses)
	require.Len(t, picked(), 2, "one peer may be refused for reasons of its own")
	table.SetPeerBackoffs(start, "c", pauses)
	require.Equal(t, map[string]int{"desk-1": 20}, picked())
	table.SetBackoff(start, Choice{Server: Server{ID: "desk-1"}, SentAt: start}, time.Second)
	require.Equal(t, map[string]int{"desk-0": 20}, picked(), "no other server is left")
}

func TestGossipOfManyPausesIsBounded(t *testing.T) {
	table := newTable("a", list("desk", 500))
	for _, server := range list("desk", 500) {
		table.SetBackoff(start, Choice{Server: server, SentAt: start}, time.Minute)
	}
	require.Len(t, table.BackoffsToGossip(start), maxGossipedBackoffs)
	require.Empty(t, table.BackoffsToGossip(start.Add(time.Minute)))
}
