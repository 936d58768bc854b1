package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/memory"
)

// world simulates a ledger, a booking server and agent processes, with seeded
// random faults at each step between them.
type world struct {
	t       *testing.T
	mu      sync.Mutex
	random  *rand.Rand
	machine *state.Machine
	index   uint64
	// faults is the probability of a fault at each step.
	faults float64
	// delayed holds commands that will be applied a second time.
	delayed []state.Command
	// executions counts the runs by key, and ran holds the attempts that ran.
	// Both are recorded by the booking server.
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

func (w *world) hasFault() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < w.faults
}

func (w *world) randomInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// process is one agent process. A killed process does nothing more.
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

func (p *process) expireLease() {
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
		Client:     p,
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

var errLost = bronzerill.Errorf(bronzerill.KindNoQuorum, "command lost in the network")

// command sends a command to the ledger over a faulty network.
func (p *process) command(c state.Command) (state.Result, error) {
	for range 20 {
		time.Sleep(time.Duration(p.randomInt(20)) * time.Millisecond)
		switch {
		case p.isDead():
			return state.Result{}, errLost
		case p.hasFault():
			// The request is lost, and the client sends it again.
			continue
		}
		result := p.apply(c)
		if p.hasFault() {
			p.apply(c)
		}
		if p.hasFault() {
			p.world.mu.Lock()
			p.delayed = append(p.delayed, c)
			p.world.mu.Unlock()
		}
		if p.hasFault() {
			// The reply is lost. Half of the clients return an error, the others
			// send the command again.
			if p.randomInt(2) == 0 {
				return state.Result{}, errLost
			}
			continue
		}
		return result, result.Err()
	}
	return state.Result{}, errLost
}

// Claim sends a claim to the ledger.
func (p *process) Claim(_ context.Context, c state.Claim) (state.Decision, state.Reply, error) {
	r, err := p.command(state.Command{Claim: &c})
	return r.Decision, r.Record.Reply, err
}

// Finish sends an outcome to the ledger.
func (p *process) Finish(_ context.Context, f state.Finish) error {
	_, err := p.command(state.Command{Finish: &f})
	return err
}

// Release releases a claim in the ledger.
func (p *process) Release(_ context.Context, r state.Release) error {
	_, err := p.command(state.Command{Release: &r})
	return err
}

// MarkUnknown marks a claim as unknown in the ledger.
func (p *process) MarkUnknown(_ context.Context, m state.MarkUnknown) error {
	_, err := p.command(state.Command{MarkUnknown: &m})
	return err
}

// Do calls the booking server over a faulty network.
func (p *process) Do(_ context.Context, o exchange.Open, _ *memory.Buffer) (state.Reply, error) {
	if p.isDead() {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindUnreachable, "killed before the call")
	}
	if p.hasFault() {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindUnreachable, "connection refused")
	}
	if p.hasFault() {
		// The process is suspended right before the first byte. The lease
		// expires, the leader abandons the claim, and the call is still sent
		// when the process continues.
		p.expireLease()
		p.apply(state.Command{Abandon: &state.Abandon{Agent: p.agent, Generation: p.generation}})
		time.Sleep(5 * time.Second)
	}
	if p.hasFault() {
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "crash before the call ran")
	}
	reply := p.execute(o)
	if p.hasFault() {
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

// sink records a response.
type sink struct{ body []byte }

func (s *sink) WriteHead(int, string, bool, bool) {}
func (s *sink) Write(p []byte) (int, error)       { s.body = append(s.body, p...); return len(p), nil }
func (s *sink) text() string                      { return string(s.body) }
func open(key, request, attempt string) exchange.Open {
	return exchange.Open{
		ID: exchange.ID{Request: request, Attempt: attempt}, Customer: "hotel-serra", Pool: "stable-desk",
		Method: "POST", Path: "/bookings", Key: key, Body: []byte("landau for " + key), Timeout: time.Minute,
	}
}

// newBuffer returns a buffer for one reply.
func newBuffer() *memory.Buffer {
	buffer := memory.NewBudget(defaultMemory).NewBuffer(nil, 0)
	return &buffer
}
