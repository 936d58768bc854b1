package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/router/queueing"
)

// Parameters of the simulated engines. An engine has a capacity of 50 requests a
// second, shared evenly by the running requests.
const (
	prefillWork      = 8 * time.Millisecond
	decodeWork       = 12 * time.Millisecond
	step             = 2 * time.Millisecond
	engineRate       = float64(time.Second / (prefillWork + decodeWork))
	engineSlots      = 48
	busyRouters      = 9
	latencyObjective = 500 * time.Millisecond
	callerTimeout    = 3 * time.Second
)

// job is a request at a simulated engine.
type job struct {
	table  *Table
	choice Choice
	sentAt time.Time
	// remaining is the time that the rest of the work takes on an idle engine.
	remaining time.Duration
	started   bool
	priority  int
	customer  string
}

// busyFleet simulates routers, engines that slow down under load, and callers that
// disconnect at their timeout.
type busyFleet struct {
	*fleet
	jobs map[string][]*job
	// unlimited turns admission control off.
	unlimited  bool
	byPriority map[int]*tally
	byCustomer map[string]*tally
}

// tally counts the results for the callers of one priority or customer.
type tally struct {
	// timedOut counts the callers that disconnected before a response.
	requests, inTime, late, refused, timedOut int
	// retryDelays are the pauses after which refused callers may retry.
	retryDelays []time.Duration
}

func (t *tally) served() float64 { return float64(t.inTime+t.late) / float64(max(1, t.requests)) }

func newBusyFleet(t *testing.T, engines int) *busyFleet {
	return &busyFleet{
		fleet: newFleet(t, busyRouters, engines), jobs: make(map[string][]*job),
		byPriority: make(map[int]*tally), byCustomer: make(map[string]*tally),
	}
}

// loadRequest is one request of a simulated load.
type loadRequest struct {
	priority int
	customer string
}

// runLoad sends requests at a rate for the given time.
func (f *busyFleet) runLoad(d time.Duration, perSecond float64, next func() loadRequest) {
	due := f.now
	for stop := f.now.Add(d); f.now.Before(stop); {
		f.now = f.now.Add(step)
		f.gossip()
		f.work()
		for !due.After(f.now) {
			f.request(next())
			due = due.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		}
	}
}

// work advances the running requests of each engine by one step.
func (f *busyFleet) work() {
	for id, jobs := range f.jobs {
		share := step / time.Duration(max(1, min(len(jobs), engineSlots)))
		running := jobs[:0]
		for i, j := range jobs {
			if i < engineSlots {
				j.remaining -= share
			}
			if f.advance(j) {
				running = append(running, j)
			}
		}
		f.jobs[id] = running
	}
}

func (f *busyFleet) advance(j *job) bool {
	if !j.started && j.remaining <= decodeWork {
		j.started = true
		j.table.ResponseStarted(f.now, &j.choice)
		for _, t := range f.tallies(j.priority, j.customer) {
			if f.now.Sub(j.sentAt) <= latencyObjective {
				t.inTime++
			} else {
				t.late++
			}
		}
	}
	if j.remaining <= 0 {
		j.table.Finish(f.now, j.choice, "r", OutcomeAnswered, warmLatency)
		return false
	}
	if !j.started && f.now.Sub(j.sentAt) >= callerTimeout {
		j.table.Finish(f.now, j.choice, "r", OutcomeNone, 0)
		for _, t := range f.tallies(j.priority, j.customer) {
			t.timedOut++
		}
		return false
	}
	return true
}

func (f *busyFleet) tallies(priority int, customer string) []*tally {
	if f.byPriority[priority] == nil {
		f.byPriority[priority] = &tally{}
	}
	if f.byCustomer[customer] == nil {
		f.byCustomer[customer] = &tally{}
	}
	return []*tally{f.byPriority[priority], f.byCustomer[customer]}
}

func (f *busyFleet) request(r loadRequest) {
	table := f.tables[f.random.IntN(len(f.tables))]
	table.CountRequest(f.now, "guides", r.customer)
	q := query(engineService, uint64(f.random.IntN(60))+1)
	q.Request = queueing.Request{Customer: r.customer, Objective: latencyObjective, Remaining: callerTimeout, Priority: r.priority, Engine: true}
	if f.unlimited {
		q.Request.Remaining = 0
	}
	choice, err := table.Pick(f.now, q)
	tallies := f.tallies(r.priority, r.customer)
	for _, t := range tallies {
		t.requests++
	}
	if err != nil {
		require.Equal(f.t, bronzerill.KindOverloaded, bronzerill.KindOf(err))
		for _, t := range tallies {
			t.refused++
			t.retryDelays = append(t.retryDelays, choice.RetryAfter)
		}
		return
	}
	f.jobs[choice.ID] = append(f.jobs[choice.ID], &job{
		table: table, choice: choice, sentAt: f.now, remaining: prefillWork + decodeWork, priority: r.priority, customer: r.customer,
	})
}

func (f *busyFleet) total() tally {
	var sum tally
	for _, t := range f.byPriority {
		sum.requests += t.requests
		sum.inTime += t.inTime
		sum.late += t.late
		sum.refused += t.refused
		sum.timedOut += t.timedOut
		sum.retryDelays = append(sum.retryDelays, t.retryDelays...)
	}
	return sum
}

func sameRequest() loadRequest { return loadRequest{priority: 1, customer: "a"} }

// TestOverloadServesUpToCapacity covers a load of 2.5 times the engines' capacity,
// as in a burst while most of them are down. The engines answer as many callers as
// they can, nearly all of them in time, and the others are refused at once. Without
// admission control, most callers wait until their timeout.
func TestOverloadServesUpToCapacity(t *testing.T) {
	run := func(unlimited bool) tally {
		f := newBusyFleet(t, 4)
		f.unlimited = unlimited
		f.runLoad(12*time.Second, 2.5*4*engineRate, sameRequest)
		return f.total()
	}
	capacity := int(12 * 4 * engineRate)
	limited, unlimited := run(false), run(true)
	require.GreaterOrEqual(t, limited.inTime, capacity*7/10, "%+v", limited)
	require.LessOrEqual(t, limited.timedOut, limited.requests/100, "callers don't wait in vain")
	require.Less(t, unlimited.inTime, capacity/3, "the load needs admission control")
	spread := make(map[time.Duration]int)
	for _, pause := range limited.retryDelays {
		require.LessOrEqual(t, pause, callerTimeout/3, "callers ignore longer pauses")
		spread[pause.Round(100*time.Millisecond)]++
	}
	for pause, n := range spread {
		require.LessOrEqual(t, n, len(limited.retryDelays)/4, "too many callers return after %v", pause)
	}
}

// TestOrdinaryLoadIsNeverRefused covers operation without overload: half of the
// engines' capacity, with bursts of 200 ms.
func TestOrdinaryLoadIsNeverRefused(t *testing.T) {
	f := newBusyFleet(t, 9)
	for range 8 {
		f.runLoad(1800*time.Millisecond, 0.5*9*engineRate, sameRequest)
		f.runLoad(200*time.Millisecond, 2*9*engineRate, sameRequest)
	}
	require.Zero(t, f.total().refused)
}

// TestRefusalsEndWithOverload covers the end of a burst: refusals end with the
// queue.
func TestRefusalsEndWithOverload(t *testing.T) {
	f := newBusyFleet(t, 4)
	f.runLoad(5*time.Second, 2.5*4*engineRate, sameRequest)
	f.runLoad(time.Second, 0.4*4*engineRate, sameRequest)
	f.byPriority = make(map[int]*tally)
	f.runLoad(3*time.Second, 0.4*4*engineRate, sameRequest)
	require.Zero(t, f.total().refused)
}

// TestPriorityWithoutStarvation covers requests of different priorities in an
// overload.
func TestPriorityWithoutStarvation(t *testing.T) {
	f := newBusyFleet(t, 4)
	f.runLoad(12*time.Second, 2*4*engineRate, func() loadRequest {
		return loadRequest{priority: f.random.IntN(3), customer: "a"}
	})
	all := f.total()
	require.GreaterOrEqual(t, f.byPriority[0].served(), f.byPriority[1].served()-0.02)
	require.GreaterOrEqual(t, f.byPriority[1].served(), f.byPriority[2].served()-0.02)
	require.GreaterOrEqual(t, f.byPriority[2].served(), all.served()/4, "%+v", *f.byPriority[2])
}

// TestSurgeOfOneCustomerIsRefusedFirst covers a customer that sends as many
// requests as the nine others together.
func TestSurgeOfOneCustomerIsRefusedFirst(t *testing.T) {
	f := newBusyFleet(t, 4)
	f.runLoad(12*time.Second, 1.5*4*engineRate, func() loadRequest {
		if f.random.IntN(2) == 0 {
			return loadRequest{priority: 1, customer: "surging"}
		}
		return loadRequest{priority: 1, customer: string(rune('a' + f.random.IntN(9)))}
	})
	others := tally{}
	for name, customer := range f.byCustomer {
		if name != "surging" {
			others.requests += customer.requests
			others.inTime += customer.inTime
			others.late += customer.late
		}
	}
	require.GreaterOrEqual(t, others.served(), 0.85)
	require.GreaterOrEqual(t, f.byCustomer["surging"].served(), 0.3)
}
