package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
)

// world is a ledger, a booking server and some agent processes, with seeded
// faults at each step between them.
type world struct {
	t       *testing.T
	mu      sync.Mutex
	random  *rand.Rand
	machine *state.Machine
	index   uint64
	// faults is the chance of a fault at each step.
	faults float64
	// late holds commands that will come a second time.
	late []state.Command
	// executions and ran are the booking server's own count.
	executions map[string]int
	ran        map[string]bool
	replies    map[string]string
}

func newWorld(t *testing.T, seed uint64, faults float64) *world {
	w := &world{
		t:          t,
		random:     rand.New(rand.NewPCG(seed, 5)),
		machine:    state.NewMachine(),
		faults:     faults,
		executions: make(map[string]int),
		ran:        make(map[string]bool),
		replies:    make(map[string]string),
	}
	ticket := bronzerill.Ticket{Number: 1}
	ticket.Pools = []bronzerill.Pool{{Name: "stable-desk", Kind: bronzerill.PoolService, LoadMultiple: 2, Slots: 8, FloorSlots: 4, ColdSlots: 4, RampStep: 1}}
	require.Equal(t, bronzerill.KindNone, w.apply(state.Command{Ticket: &state.TicketCommand{Ticket: ticket}}).Kind)
	return w
}

func (w *world) apply(c state.Command) state.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index++
	c.At = time.Now()
	data, err := c.Encode()
	require.NoError(w.t, err)
	return w.machine.Apply(w.index, data).(state.Result)
}

func (w *world) chance() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < w.faults
}

func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// process is one agent process; a killed one does nothing more.
type process struct {
	*world
	agent      string
	generation uint64
	mu         sync.Mutex
	dead       bool
	leaseUntil time.Time
}

func (w *world) startProcess(agent string) *process {
	r := w.apply(state.Command{Register: &state.Register{Agent: agent}})
	return &process{world: w, agent: agent, generation: r.Generation, leaseUntil: time.Now().Add(time.Hour)}
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

func (p *process) lapse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaseUntil = time.Time{}
}

func (p *process) view() *control.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &control.View{Config: p.machine.Config(), LeaseUntil: p.leaseUntil}
}

func (p *process) runner() *Runner {
	return NewRunner(RunnerConfig{
		Caller:     p,
		Ledger:     p,
		Agent:      p.agent,
		Pool:       "stable-desk",
		Generation: func() uint64 { return p.generation },
		View:       p.view,
		Clock:      time.Now,
		Log:        hclog.NewNullLogger(),
		Background: func(work func(ctx context.Context)) { work(context.Background()) },
	})
}

var errLost = bronzerill.Errorf(bronzerill.KindNoQuorum, "lost on the way")

// command sends a command to the ledger over a faulty way.
func (p *process) command(c state.Command) (state.Result, error) {
	for range 20 {
		time.Sleep(time.Duration(p.pick(20)) * time.Millisecond)
		switch {
		case p.isDead():
			return state.Result{}, errLost
		case p.chance():
			// The request is lost; the client sends it again.
			continue
		}
		result := p.apply(c)
		if p.chance() {
			p.apply(c)
		}
		if p.chance() {
			p.world.mu.Lock()
			p.late = append(p.late, c)
			p.world.mu.Unlock()
		}
		if p.chance() {
			// The reply is lost; half of the clients give up here.
			if p.pick(2) == 0 {
				return state.Result{}, errLost
			}
			continue
		}
		return result, result.Err()
	}
	return state.Result{}, errLost
}

// Claim asks the ledger.
func (p *process) Claim(_ context.Context, c state.Claim) (state.Decision, state.Reply, error) {
	r, err := p.command(state.Command{Claim: &c})
	return r.Decision, r.Known.Reply, err
}

// Finish tells the ledger.
func (p *process) Finish(_ context.Context, f state.Finish) error {
	_, err := p.command(state.Command{Finish: &f})
	return err
}

// Release tells the ledger.
func (p *process) Release(_ context.Context, r state.Release) error {
	_, err := p.command(state.Command{Release: &r})
	return err
}

// Doubt tells the ledger.
func (p *process) Doubt(_ context.Context, d state.Doubt) error {
	_, err := p.command(state.Command{Doubt: &d})
	return err
}

// Do is the booking server behind a faulty way.
func (p *process) Do(_ context.Context, o exchange.Open) (state.Reply, error) {
	if p.isDead() {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindUnreachable, "killed before the call")
	}
	if p.chance() {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindUnreachable, "connection refused")
	}
	if p.chance() {
		// A freeze right before the first byte: the lease lapses, the leader
		// gives the claim up, and the call still goes out when it ends.
		p.lapse()
		p.apply(state.Command{Abandon: &state.Abandon{Agent: p.agent, Generation: p.generation}})
		time.Sleep(5 * time.Second)
	}
	if p.chance() {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "crash before the call ran")
	}
	reply := p.execute(o)
	if p.chance() {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "crash after the call ran")
	}
	return reply, nil
}

func (w *world) execute(o exchange.Open) state.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions[o.Key]++
	w.ran[o.ID.Request+"."+o.ID.Attempt] = true
	body := fmt.Sprintf("booked %s, run %d", o.Key, w.executions[o.Key])
	w.replies[o.Key] = body
	return state.Reply{Status: 201, Body: []byte(body)}
}

// sink keeps an answer.
type sink struct{ body []byte }

func (s *sink) Head(int, string, bool, bool) {}
func (s *sink) Write(p []byte) (int, error)  { s.body = append(s.body, p...); return len(p), nil }
func (s *sink) whole() string                { return string(s.body) }
func open(key, request, attempt string) exchange.Open {
	return exchange.Open{
		ID: exchange.ID{Request: request, Attempt: attempt}, Customer: "hotel-serra", Pool: "stable-desk",
		Method: "POST", Path: "/bookings", Key: key, Body: []byte("landau for " + key), Timeout: time.Minute,
	}
}

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
	if bronzerill.KindOf(err).Answer().Run == bronzerill.RunNot {
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
