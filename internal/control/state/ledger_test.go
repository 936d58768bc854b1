package state

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill"
)

var (
	key   = Key{Customer: "hotel-serra", Pool: "stable-desk", Value: "landau-1"}
	first = Attempt{Agent: "server-1", ID: "r1.1"}
	other = Attempt{Agent: "server-2", ID: "r2.1"}
)

func claimOf(a Attempt) Claim { return Claim{Key: key, BodyHash: "h", Attempt: a} }

func TestLedgerRetention(t *testing.T) {
	l := NewLedger(nil)
	_, decision, _ := l.Claim(testNow, claimOf(first))
	require.Equal(t, DecisionSend, decision)
	reply := Reply{Status: 201, Body: []byte("booked")}
	require.Equal(t, bronzerill.KindNone, l.Finish(testNow, Finish{Key: key, Attempt: first, Reply: reply}))

	record, decision, _ := l.Claim(testNow, claimOf(other))
	assert.Equal(t, DecisionReplay, decision)
	assert.Equal(t, reply, record.Reply)

	l.Expire(testNow.Add(ResponseRetention + time.Minute))
	_, decision, kind := l.Claim(testNow, claimOf(other))
	assert.Equal(t, DecisionRefuse, decision)
	assert.Equal(t, bronzerill.KindAnswerNotKept, kind, "a key whose response was dropped must not run again")

	l.Expire(testNow.Add(ResponseRetention + KeyRetention + time.Minute))
	assert.Zero(t, l.Len())
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	l := NewLedger(nil)
	l.Claim(testNow, claimOf(first))
	l.Finish(testNow, Finish{Key: key, Attempt: first, Reply: Reply{Status: 201, Body: make([]byte, MaxResponseBytes+1)}})
	_, decision, kind := l.Claim(testNow, claimOf(other))
	assert.Equal(t, DecisionRefuse, decision)
	assert.Equal(t, bronzerill.KindAnswerNotKept, kind)
}

func TestRunningClaimNeverExpires(t *testing.T) {
	l := NewLedger(nil)
	l.Claim(testNow, claimOf(first))
	l.Expire(testNow.Add(10 * KeyRetention))
	_, decision, _ := l.Claim(testNow, claimOf(other))
	assert.Equal(t, DecisionWait, decision)
}

func TestRestoredLedgerAbandonsRunningClaims(t *testing.T) {
	h := newHarness(t)
	h.apply(Command{Register: &Register{Agent: "server-1"}})
	attempt := Attempt{Agent: "server-1", Generation: h.m.Generation("server-1"), ID: "r1.1"}
	require.Equal(t, DecisionSend, h.apply(Command{Claim: &Claim{Key: key, BodyHash: "h", Attempt: attempt}}).Decision)
	h.restart()
	assert.Equal(t, []string{"server-1"}, h.m.RunningAgents())
	h.apply(Command{Register: &Register{Agent: "server-1"}})
	record, _ := h.m.Record(key)
	assert.Equal(t, ClaimUnknown, record.State)
	assert.Empty(t, h.m.RunningAgents())
}

// ticketInput and ticketOutput describe the submission of a ticket by one of
// several concurrent operators.
type ticketInput struct {
	number uint64
	out    bool
}

type ticketOutput struct {
	kind     bronzerill.Kind
	revision uint64
}

// ticketModel specifies the results that concurrent operators may get: the first
// content under a ticket number is accepted, and every resend gets its outcome.
var ticketModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byNumber := make(map[uint64][]porcupine.Operation)
		for _, op := range history {
			number := op.Input.(ticketInput).number
			byNumber[number] = append(byNumber[number], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byNumber {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return ticketState{} },
	Step: func(state, input, output any) (bool, any) {
		w, in, out := state.(ticketState), input.(ticketInput), output.(ticketOutput)
		if !w.taken {
			return out.kind == bronzerill.KindNone, ticketState{true, in.out, out.revision}
		}
		if w.out == in.out {
			return out == ticketOutput{bronzerill.KindNone, w.revision}, w
		}
		return out.kind == bronzerill.KindTicketConflict && out.revision == w.revision, w
	},
}

type ticketState struct {
	taken    bool
	out      bool
	revision uint64
}

// TestRacingTicketsAreLinearizable submits conflicting tickets with the same
// numbers from several goroutines and checks that the history is linearizable.
func TestRacingTicketsAreLinearizable(t *testing.T) {
	h := newHarness(t)
	require.Equal(t, bronzerill.KindNone, h.ticket(testTicket(1)).Kind)
	results := make(chan porcupine.Operation, 400)
	inputs := make(chan ticketInput)
	logLock := make(chan struct{}, 1)
	logLock <- struct{}{}
	started := time.Now()
	var group errgroup.Group
	for client := range 4 {
		group.Go(func() error {
			for in := range inputs {
				call := time.Since(started).Nanoseconds()
				<-logLock
				ticket := bronzerill.Ticket{Number: in.number}
				ticket.Zones = []bronzerill.Zone{{Name: "canela", Out: in.out}}
				r := h.ticket(ticket)
				logLock <- struct{}{}
				results <- porcupine.Operation{
					ClientId: client, Input: in, Call: call,
					Output: ticketOutput{r.Kind, r.Outcome.Revision}, Return: time.Since(started).Nanoseconds(),
				}
			}
			return nil
		})
	}
	for n := range 400 {
		inputs <- ticketInput{number: uint64(2 + n/8), out: n%3 == 0}
	}
	close(inputs)
	require.NoError(t, group.Wait())
	var history []porcupine.Operation
	for range 400 {
		history = append(history, <-results)
	}
	assert.True(t, porcupine.CheckOperations(ticketModel, history))
}
