package placing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/router/queueing"
)

// Figures of the played engines: one does the work of 50 requests a second, shared
// evenly by those that run.
const (
	firstWork   = 8 * time.Millisecond
	restWork    = 12 * time.Millisecond
	playStep    = 2 * time.Millisecond
	perEngine   = float64(time.Second / (firstWork + restWork))
	slots       = 48
	busyEntries = 9
	played      = 500 * time.Millisecond // objective
	playPatient = 3 * time.Second
)

// job is a request at a played engine.
type job struct {
	table    *Table
	choice   Choice
	sentAt   time.Time
	left     time.Duration
	begun    bool
	priority int
	customer string
}

// busyFleet plays entries before engines that get slower the more they carry, and
// callers that leave when their patience ends.
type busyFleet struct {
	*fleet
	jobs map[string][]*job
	// unbounded turns refusing off.
	unbounded bool
	result    map[int]*tally
	customers map[string]*tally
}

// tally is what callers of one priority or customer got.
type tally struct {
	asked, inTime, late, refused, left int
	// retries are the pauses after which refused callers may come back.
	retries []time.Duration
}

func (t *tally) served() float64 { return float64(t.inTime+t.late) / float64(max(1, t.asked)) }

func newBusyFleet(t *testing.T, engines int) *busyFleet {
	return &busyFleet{
		fleet: newFleet(t, busyEntries, engines), jobs: make(map[string][]*job),
		result: make(map[int]*tally), customers: make(map[string]*tally),
	}
}

// caller is one request of a played load.
type caller struct {
	priority int
	customer string
}

// playBusy sends requests at a rate for a time.
func (f *busyFleet) playBusy(d time.Duration, perSecond float64, next func() caller) {
	due := f.now
	for stop := f.now.Add(d); f.now.Before(stop); {
		f.now = f.now.Add(playStep)
		f.exchange()
		f.work()
		for !due.After(f.now) {
			f.ask(next())
			due = due.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		}
	}
}

// work gives each engine's running requests their share of one step.
func (f *busyFleet) work() {
	for id, jobs := range f.jobs {
		share := playStep / time.Duration(max(1, min(len(jobs), slots)))
		kept := jobs[:0]
		for i, j := range jobs {
			if i < slots {
				j.left -= share
			}
			if f.goesOn(j) {
				kept = append(kept, j)
			}
		}
		f.jobs[id] = kept
	}
}

func (f *busyFleet) goesOn(j *job) bool {
	if !j.begun && j.left <= restWork {
		j.begun = true
		j.table.ResponseStarted(f.now, &j.choice)
		for _, t := range f.tallies(j.priority, j.customer) {
			if f.now.Sub(j.sentAt) <= played {
				t.inTime++
			} else {
				t.late++
			}
		}
	}
	if j.left <= 0 {
		j.table.Finish(f.now, j.choice, "r", OutcomeAnswered, warmRun)
		return false
	}
	if !j.begun && f.now.Sub(j.sentAt) >= playPatient {
		j.table.Finish(f.now, j.choice, "r", OutcomeNone, 0)
		for _, t := range f.tallies(j.priority, j.customer) {
			t.left++
		}
		return false
	}
	return true
}

func (f *busyFleet) tallies(priority int, customer string) []*tally {
	if f.result[priority] == nil {
		f.result[priority] = &tally{}
	}
	if f.customers[customer] == nil {
		f.customers[customer] = &tally{}
	}
	return []*tally{f.result[priority], f.customers[customer]}
}

func (f *busyFleet) ask(c caller) {
	table := f.tables[f.random.IntN(len(f.tables))]
	table.CountRequest(f.now, "guides", c.customer)
	q := query(engines, uint64(f.random.IntN(60))+1)
	q.Request = queueing.Request{Customer: c.customer, Objective: played, Remaining: playPatient, Priority: c.priority, Engine: true}
	if f.unbounded {
		q.Request.Remaining = 0
	}
	choice, err := table.Pick(f.now, q)
	tallies := f.tallies(c.priority, c.customer)
	for _, t := range tallies {
		t.asked++
	}
	if err != nil {
		require.Equal(f.t, bronzerill.KindOverloaded, bronzerill.KindOf(err))
		for _, t := range tallies {
			t.refused++
			t.retries = append(t.retries, choice.RetryAfter)
		}
		return
	}
	f.jobs[choice.ID] = append(f.jobs[choice.ID], &job{
		table: table, choice: choice, sentAt: f.now, left: firstWork + restWork, priority: c.priority, customer: c.customer,
	})
}

func (f *busyFleet) total() tally {
	var sum tally
	for _, t := range f.result {
		sum.asked += t.asked
		sum.inTime += t.inTime
		sum.late += t.late
		sum.refused += t.refused
		sum.left += t.left
		sum.retries = append(sum.retries, t.retries...)
	}
	return sum
}

func alike() caller { return caller{priority: 1, customer: "a"} }

// TestOverloadServesUpToCapacity answers a load of two and a half times what the
// engines bear: a burst while most of them are gone. As many callers are answered
// as the engines can, nearly all of them in time, and the others are refused at
// once. Without refusing, most wait until they leave.
func TestOverloadServesUpToCapacity(t *testing.T) {
	play := func(unbounded bool) tally {
		f := newBusyFleet(t, 4)
		f.unbounded = unbounded
		f.playBusy(12*time.Second, 2.5*4*perEngine, alike)
		return f.total()
	}
	borne := int(12 * 4 * perEngine)
	bounded, unbounded := play(false), play(true)
	require.GreaterOrEqual(t, bounded.inTime, borne*7/10, "%+v", bounded)
	require.LessOrEqual(t, bounded.left, bounded.asked/100, "nobody waits for nothing")
	require.Less(t, unbounded.inTime, borne/3, "the load is one that needs refusing")
	spread := make(map[time.Duration]int)
	for _, pause := range bounded.retries {
		require.LessOrEqual(t, pause, playPatient/3, "a longer pause isn't kept")
		spread[pause.Round(100*time.Millisecond)]++
	}
	for pause, n := range spread {
		require.LessOrEqual(t, n, len(bounded.retries)/4, "a wave returns after %v", pause)
	}
}

// TestOrdinaryLoadIsNeverRefused answers days without overload: half of what the
// engines bear, with bursts of a fifth of a second.
func TestOrdinaryLoadIsNeverRefused(t *testing.T) {
	f := newBusyFleet(t, 9)
	for range 8 {
		f.playBusy(1800*time.Millisecond, 0.5*9*perEngine, alike)
		f.playBusy(200*time.Millisecond, 2*9*perEngine, alike)
	}
	require.Zero(t, f.total().refused)
}

// TestRefusalsEndWithOverload answers the end of a burst: refusing ends with the queue.
func TestRefusalsEndWithOverload(t *testing.T) {
	f := newBusyFleet(t, 4)
	f.playBusy(5*time.Second, 2.5*4*perEngine, alike)
	f.playBusy(time.Second, 0.4*4*perEngine, alike)
	f.result = make(map[int]*tally)
	f.playBusy(3*time.Second, 0.4*4*perEngine, alike)
	require.Zero(t, f.total().refused)
}

// TestPriorityWithoutStarvation answers kinds of requests of different
// priority in an overload.
func TestPriorityWithoutStarvation(t *testing.T) {
	f := newBusyFleet(t, 4)
	f.playBusy(12*time.Second, 2*4*perEngine, func() caller {
		return caller{priority: f.random.IntN(3), customer: "a"}
	})
	all := f.total()
	require.GreaterOrEqual(t, f.result[0].served(), f.result[1].served()-0.02)
	require.GreaterOrEqual(t, f.result[1].served(), f.result[2].served()-0.02)
	require.GreaterOrEqual(t, f.result[2].served(), all.served()/4, "%+v", *f.result[2])
}

// TestSurgeOfOneCustomerIsRefusedFirst answers one of ten customers that sends as
// much as all others together.
func TestSurgeOfOneCustomerIsRefusedFirst(t *testing.T) {
	f := newBusyFleet(t, 4)
	f.playBusy(12*time.Second, 1.5*4*perEngine, func() caller {
		if f.random.IntN(2) == 0 {
			return caller{priority: 1, customer: "surging"}
		}
		return caller{priority: 1, customer: string(rune('a' + f.random.IntN(9)))}
	})
	others := tally{}
	for name, customer := range f.customers {
		if name != "surging" {
			others.asked += customer.asked
			others.inTime += customer.inTime
			others.late += customer.late
		}
	}
	require.GreaterOrEqual(t, others.served(), 0.85)
	require.GreaterOrEqual(t, f.customers["surging"].served(), 0.3)
}
