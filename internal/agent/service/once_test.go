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
// random faults at each step: lost, duplicated and delayed commands, killed and
// suspended agents, calls lost before and after they ran.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSeed(t, seed, 0.15) })
		})
	}
}

const (
	bookings = 12
	resends  = 5
	agents   = 3
)

func runSeed(t *testing.T, seed uint64, faults float64) {
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
			agent, pause := w.randomInt(agents), w.randomInt(4000)
			group.Go(func() {
				time.Sleep(time.Duration(pause) * time.Millisecond)
				w.send(current(agent), key, fmt.Sprintf("%s/%d", key, resend))
			})
		}
	}
	group.Go(func() {
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			w.applyDelayed()
			if n := w.randomInt(agents); w.hasFault() {
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

// applyDelayed applies duplicated commands long after their first copy.
func (w *world) applyDelayed() {
	w.mu.Lock()
	delayed := w.delayed
	w.delayed = nil
	w.mu.Unlock()
	for _, c := range delayed {
		w.apply(c)
	}
}

// send runs one attempt and compares its result with the count of the booking
// server.
func (w *world) send(p *process, key, request string) {
	s := &sink{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := p.runner().Run(ctx, open(key, request, "1"), s)
	if p.isDead() {
		// The caller gets no result from a killed process.
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		assert.Equal(w.t, w.replies[key], s.text(), "the reply is that of the booking")
		assert.Equal(w.t, 1, w.executions[key])
		return
	}
	if bronzerill.KindOf(err).Response().Run == bronzerill.RunNot {
		assert.False(w.t, w.ran[request+".1"], "the call ran, but the error means not run: %v", err)
	}
}

// TestFaultAtEachStep runs one fault at each step of a booking, followed by a
// resend of the booking through another agent. It checks the result of the
// resend.
func TestFaultAtEachStep(t *testing.T) {
	cases := []struct {
		name string
		// first runs the first attempt up to its fault.
		first func(w *world, p *process)
		// second is the kind of the result of the resend.
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
		{"reply lost after finish", func(w *world, p *process) {
			w.claim(p)
			w.apply(state.Command{Finish: &state.Finish{Key: testKey, Attempt: p.attempt(), Reply: w.execute(open("k", "r1", "1"))}})
		}, bronzerill.KindNone, 1},
		{"finished after the claim was abandoned", func(w *world, p *process) {
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
					assert.Equal(t, w.replies["k"], s.text())
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
		p.expireLease()
		err := p.runner().Run(t.Context(), open("k", "r1", "1"), &sink{})
		assert.Equal(t, bronzerill.KindLeaseLapsed, bronzerill.KindOf(err))
		assert.Zero(t, w.executions["k"])
		require.NoError(t, w.startProcess("server-1").runner().Run(t.Context(), open("k", "r2", "1"), &sink{}))
	})
}

// waitThenDisconnect is a ledger that returns DecisionWait once and is
// unreachable after that.
type waitThenDisconnect struct {
	*process
	calls int
}

// Claim returns DecisionWait at the first call and errLost after that.
func (l *waitThenDisconnect) Claim(context.Context, state.Claim) (state.Decision, state.Reply, error) {
	l.calls++
	if l.calls == 1 {
		return state.DecisionWait, state.Reply{}, nil
	}
	return state.DecisionRefuse, state.Reply{}, errLost
}

// TestWaitingAttemptReportsInProgress disconnects the ledger from an attempt
// that waits for another one. The booking may have run, so the error must not
// mean not run.
func TestWaitingAttemptReportsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 0)
		p := w.startProcess("server-0")
		r := p.runner()
		r.cfg.Ledger = &waitThenDisconnect{process: p}
		err := r.Run(t.Context(), open("k", "r2", "1"), &sink{})
		assert.Equal(t, bronzerill.KindInProgress, bronzerill.KindOf(err), "%v", err)
	})
}
