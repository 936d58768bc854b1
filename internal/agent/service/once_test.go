package service

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/control/state"
)

// TestAtMostOnce sends every booking several times through several agents, with
// a fault at any step: lost, doubled and late commands, killed and frozen
// agents, calls lost before and after they ran.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runOnce(t, seed, 0.15) })
		})
	}
}

const (
	bookings = 12
	resends  = 5
	agents   = 3
)

func runOnce(t *testing.T, seed uint64, faults float64) {
	w := newWorld(t, seed, faults)
	var processes [agents]*process
	var mu sync.Mutex
	for n := range processes {
		processes[n] = w.startProcess("server-" + strconv.Itoa(n))
	}
	current := func(n int) *process {
		mu.Lock()
		defer mu.Unlock()
		return processes[n]
	}
	var group sync.WaitGroup
	for booking := range bookings {
		key := "landau-" + strconv.Itoa(booking)
		for resend := range resends {
			agent, pause := w.pick(agents), w.pick(4000)
			group.Go(func() {
				time.Sleep(time.Duration(pause) * time.Millisecond)
				w.send(current(agent), key, fmt.Sprintf("%s/%d", key, resend))
			})
		}
	}
	group.Go(func() {
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			w.replayLate()
			if n := w.pick(agents); w.chance() {
				mu.Lock()
				processes[n].kill()
				processes[n] = w.startProcess(processes[n].agent)
				mu.Unlock()
			}
		}
	})
	group.Wait()
	for key, n := range w.executions {
		assert.LessOrEqual(t, n, 1, "%s ran %d times", key, n)
	}
}

// replayLate lets doubled commands arrive long after the first copy.
func (w *world) replayLate() {
	w.mu.Lock()
	late := w.late
	w.late = nil
	w.mu.Unlock()
	for _, c := range late {
		w.apply(c)
	}
}

// send runs one attempt and checks what the caller is told against the booking
// server's own count.
func (w *world) send(p *process, key, request string) {
	s := &sink{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := p.runner().Run(ctx, open(key, request, "1"), s)
	if p.isDead() {
		// A killed process tells nobody anything.
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		assert.Equal(w.t, w.replies[key], s.whole(), "the answer is the booking's own")
		assert.Equal(w.t, 1, w.executions[key])
		return
	}
	if bronzerill.KindOf(err).Response().Run == bronzerill.RunNot {
		assert.False(w.t, w.ran[request+".1"], "%v was said of a call that ran", err)
	}
}

// TestFaultAtEachStep runs each single fault at each step of a booking, with a
// resend after it, and names what both callers must hear.
func TestFaultAtEachStep(t *testing.T) {
	cases := []struct {
		name string
		// first is the outcome that the first caller's attempt meets.
		first func(w *world, p *process)
		// second is the kind that the resend gets.
		second bronzerill.Kind
		runs   int
	}{
		{"killed before the claim", func(*world, *process) {}, bronzerill.KindNone, 1},
		{"killed after the claim", func(w *world, p *process) { w.claim(p) }, bronzerill.KindOutcomeUnknown, 0},
		{"killed after the call", func(w *world, p *process) { w.claim(p); w.execute(open("k", "r1", "1")) }, bronzerill.KindOutcomeUnknown, 1},
		{"released before the call", func(w *world, p *process) {
			w.claim(p)
			w.apply(state.Command{Release: &state.Release{Key: testKey, Attempt: p.attempt()}})
		}, bronzerill.KindNone, 1},
		{"late claim after its release", func(w *world, p *process) {
			w.claim(p)
			w.apply(state.Command{Release: &state.Release{Key: testKey, Attempt: p.attempt()}})
			assert.Equal(w.t, bronzerill.KindAborted, w.claim(p).Kind)
		}, bronzerill.KindNone, 1},
		{"finished, answer lost", func(w *world, p *process) {
			w.claim(p)
			w.apply(state.Command{Finish: &state.Finish{Key: testKey, Attempt: p.attempt(), Reply: w.execute(open("k", "r1", "1"))}})
		}, bronzerill.KindNone, 1},
		{"finished after the claim was given up", func(w *world, p *process) {
			w.claim(p)
			reply := w.execute(open("k", "r1", "1"))
			w.apply(state.Command{Abandon: &state.Abandon{Agent: p.agent, Generation: p.generation}})
			w.apply(state.Command{Finish: &state.Finish{Key: testKey, Attempt: p.attempt(), Reply: reply}})
		}, bronzerill.KindNone, 1},
		{"claim by a replaced process", func(w *world, p *process) {
			w.startProcess(p.agent)
			assert.Equal(w.t, bronzerill.KindAborted, w.claim(p).Kind)
		}, bronzerill.KindNone, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, 0)
				p := w.startProcess("server-0")
				c.first(w, p)
				p.kill()
				w.startProcess("server-0")
				s := &sink{}
				err := w.startProcess("server-1").runner().Run(t.Context(), open("k", "r2", "1"), s)
				assert.Equal(t, c.second, bronzerill.KindOf(err), "%v", err)
				assert.Equal(t, c.runs, w.executions["k"])
				if err == nil {
					assert.Equal(t, w.replies["k"], s.whole())
				}
			})
		})
	}
}

var testKey = state.Key{Customer: "hotel-serra", Pool: "stable-desk", Value: "k"}

func (p *process) attempt() state.Attempt {
	return state.Attempt{Agent: p.agent, Generation: p.generation, ID: "r1.1"}
}

func (w *world) claim(p *process) state.Result {
	return w.apply(state.Command{Claim: &state.Claim{Key: testKey, BodyHash: bodyHash(open("k", "", "")), Attempt: p.attempt()}})
}

func TestOtherBodyUnderTheSameKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 0)
		p := w.startProcess("server-0")
		require.NoError(t, p.runner().Run(t.Context(), open("k", "r1", "1"), &sink{}))
		other := open("k", "r2", "1")
		other.Body = []byte("a second landau")
		err := p.runner().Run(t.Context(), other, &sink{})
		assert.Equal(t, bronzerill.KindKeyConflict, bronzerill.KindOf(err))
		assert.Equal(t, 1, w.executions["k"])
	})
}

func TestLapsedLeaseSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 0)
		p := w.startProcess("server-0")
		p.lapse()
		err := p.runner().Run(t.Context(), open("k", "r1", "1"), &sink{})
		assert.Equal(t, bronzerill.KindLeaseLapsed, bronzerill.KindOf(err))
		assert.Zero(t, w.executions["k"])
		require.NoError(t, w.startProcess("server-1").runner().Run(t.Context(), open("k", "r2", "1"), &sink{}))
	})
}

// waitThenLost is a ledger that says wait, and is then cut off.
type waitThenLost struct {
	*process
	asked int
}

// Claim tells to wait, then nothing more.
func (l *waitThenLost) Claim(context.Context, state.Claim) (state.Decision, state.Reply, error) {
	l.asked++
	if l.asked == 1 {
		return state.DecisionWait, state.Reply{}, nil
	}
	return state.DecisionRefuse, state.Reply{}, errLost
}

// TestWaitingAttemptReportsInProgress cuts the ledger off from an attempt that
// waits for another one: the booking may well have run.
func TestWaitingAttemptReportsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 0)
		p := w.startProcess("server-0")
		r := p.runner()
		r.cfg.Ledger = &waitThenLost{process: p}
		err := r.Run(t.Context(), open("k", "r2", "1"), &sink{})
		assert.Equal(t, bronzerill.KindInProgress, bronzerill.KindOf(err), "%v", err)
	})
}
