package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
)

var testNow = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// harness applies commands to a machine in log order.
type harness struct {
	t     *testing.T
	m     *Machine
	index uint64
	now   time.Time
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, m: NewMachine(), now: testNow}
}

func (h *harness) apply(c Command) Result {
	h.index++
	c.At = h.now
	data, err := c.Encode()
	require.NoError(h.t, err)
	return h.m.Apply(h.index, data).(Result)
}

// restart replaces the machine with one that is restored from its snapshot.
func (h *harness) restart() {
	data, err := h.m.Snapshot()()
	require.NoError(h.t, err)
	h.m = NewMachine()
	require.NoError(h.t, h.m.Restore(data))
}

func testPool(name string) bronzerill.Pool {
	return bronzerill.Pool{Name: name, Kind: bronzerill.PoolEngine, LoadMultiple: 1.5, Slots: 16, FloorSlots: 4, ColdSlots: 2, RampStep: 2}
}

func testTicket(number uint64) bronzerill.Ticket {
	t := bronzerill.Ticket{Number: number}
	t.Zones = []bronzerill.Zone{{Name: "gramado"}}
	t.Pools = []bronzerill.Pool{testPool("bronze-guides")}
	t.Customers = []bronzerill.Customer{{Name: "hotel-serra", KeyHash: hash('a'), Weight: 1}}
	t.Policies = []bronzerill.Policy{{Name: "guide", Pool: "bronze-guides", SpillHops: 3}}
	return t
}

func hash(digit byte) string {
	text := make([]byte, 64)
	for i := range text {
		text[i] = digit
	}
	return string(text)
}

func (h *harness) ticket(t bronzerill.Ticket) Result {
	return h.apply(Command{Ticket: &TicketCommand{t}})
}

func TestTicketSurvivesLogAndSnapshot(t *testing.T) {
	h := newHarness(t)
	require.Equal(t, bronzerill.KindNone, h.ticket(testTicket(1)).Kind)
	h.restart()
	c := h.m.Config()
	assert.Equal(t, uint64(1), c.Revision())
	pool, ok := c.Pool("bronze-guides")
	require.True(t, ok)
	assert.Equal(t, 16, pool.Slots)
	customer, ok := c.CustomerByKeyHash(hash('a'))
	require.True(t, ok)
	assert.Equal(t, "hotel-serra", customer.Name)
	_, ok = c.Policy("guide")
	assert.True(t, ok)
}

func TestTicketNumbers(t *testing.T) {
	h := newHarness(t)
	first := h.ticket(testTicket(7))
	require.Equal(t, bronzerill.KindNone, first.Kind)
	h.restart()

	again := h.ticket(testTicket(7))
	assert.Equal(t, bronzerill.KindNone, again.Kind)
	assert.Equal(t, first.Outcome, again.Outcome, "a resent ticket must get its first outcome")

	rival := testTicket(7)
	rival.Zones[0].Out = true
	refused := h.ticket(rival)
	assert.Equal(t, bronzerill.KindTicketConflict, refused.Kind)
	assert.Equal(t, first.Outcome, refused.Outcome, "a conflict must return the outcome of the accepted ticket")
	assert.Equal(t, uint64(1), h.m.Config().Revision())
}

func TestInvalidTicketChangesNothing(t *testing.T) {
	h := newHarness(t)
	bad := testTicket(1)
	bad.Pools[0].LoadMultiple = 0.5
	bad.Policies[0].Pool = "missing"
	bad.Customers[0].KeyHash = "short"
	bad.Suspects = []bronzerill.Suspect{{Name: "x"}}
	r := h.ticket(bad)
	assert.Equal(t, bronzerill.KindTicketInvalid, r.Kind)
	assert.Len(t, r.Faults, 4, "every fault must be listed: %v", r.Faults)
	assert.Equal(t, uint64(0), h.m.Config().Revision())
	assert.Equal(t, bronzerill.KindNone, h.ticket(testTicket(1)).Kind, "an invalid ticket must not use up its number")
}
