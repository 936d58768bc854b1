package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func pool() bronzerill.Pool {
	return bronzerill.Pool{Name: "bronze-guides", Kind: bronzerill.PoolEngine, LoadMultiple: 1.5, Slots: 16, FloorSlots: 4, ColdSlots: 2, RampStep: 2}
}

func view(mean float64) *control.View {
	changes := bronzerill.Changes{Pools: []bronzerill.Pool{pool()}, Zones: []bronzerill.Zone{{Name: "gramado"}}}
	return &control.View{
		Config:     (&bronzerill.Config{}).WithChanges(changes),
		MeanLoad:   mean,
		MeanLoadAt: now,
		LeaseUntil: now.Add(control.LeaseTerm),
	}
}

func withChanges(v *control.View, changes bronzerill.Changes) *control.View {
	next := *v
	next.Config = v.Config.WithChanges(changes)
	return &next
}

// warmGate returns a gate whose ramp has reached Slots.
func warmGate() *Gate {
	g := NewGate("bronze-guides", "gramado")
	for range 100 {
		g.ramp = g.ramp.WithFinished(g.ramp.Epoch())
	}
	return g
}

func request(customer string) Request {
	return Request{Customer: customer, Weight: 1, Fingerprint: "p"}
}

// fill admits requests of different customers.
func fill(t *testing.T, g *Gate, v *control.View, count int) []Permit {
	var permits []Permit
	for i := range count {
		permit, kind := g.Admit(now, v, Request{Customer: fmt.Sprint("customer-", i), Weight: 1, Fingerprint: fmt.Sprint(i)})
		require.Equal(t, bronzerill.KindNone, kind, "request %d", i)
		permits = append(permits, permit)
	}
	return permits
}

func TestAdmit(t *testing.T) {
	out := bronzerill.Changes{Zones: []bronzerill.Zone{{Name: "gramado", Out: true}}}
	suspect := func(s bronzerill.SuspectState) bronzerill.Changes {
		return bronzerill.Changes{Suspects: []bronzerill.Suspect{{Name: "p", State: s}}}
	}
	leaving := view(10)
	leaving.Leaving = true
	cases := []struct {
		name string
		now  time.Time
		view *control.View
		// running is the number of requests of other customers already running.
		running int
		prepare func(g *Gate)
		request Request
		want    bronzerill.Kind
	}{
		{"admitted", now, view(10), 3, nil, request("a"), bronzerill.KindNone},
		{"lease lapsed", now.Add(control.LeaseTerm), view(10), 0, nil, request("a"), bronzerill.KindLeaseLapsed},
		{"zone out", now, withChanges(view(10), out), 0, nil, request("a"), bronzerill.KindZoneOut},
		{"draining", now, view(10), 0, (*Gate).Drain, request("a"), bronzerill.KindLeaving},
		{"states that it leaves", now, view(10), 0, func(g *Gate) { g.SetLeaving(true) }, request("a"), bronzerill.KindLeaving},
		{"on the leaving list", now, leaving, 0, nil, request("a"), bronzerill.KindLeaving},
		{"server down", now, view(10), 0, func(g *Gate) { g.SetDown(true) }, request("a"), bronzerill.KindUnreachable},
		{"held suspect", now, withChanges(view(10), suspect(bronzerill.SuspectHeld)), 0, nil, request("a"), bronzerill.KindSuspect},
		{"granted trial", now, withChanges(view(10), suspect(bronzerill.SuspectHeld)), 0, nil, Request{Customer: "a", Weight: 1, Fingerprint: "p", Trial: true}, bronzerill.KindNone},
		{"quarantined", now, withChanges(view(10), suspect(bronzerill.SuspectQuarantined)), 0, nil, Request{Customer: "a", Weight: 1, Fingerprint: "p", Trial: true}, bronzerill.KindQuarantined},
		{"trial of another request running", now, view(10), 0, func(g *Gate) { g.trial = "other" }, request("a"), bronzerill.KindOverloaded},
		{"below the floor with zero mean", now, view(0), 3, nil, request("a"), bronzerill.KindNone},
		{"at the floor with zero mean", now, view(0), 4, nil, request("a"), bronzerill.KindOverloaded},
		{"at the load bound", now, view(6), 9, nil, request("a"), bronzerill.KindOverloaded},
		{"below the load bound", now, view(6), 8, nil, request("a"), bronzerill.KindNone},
		{"all slots used", now, view(100), 16, nil, request("a"), bronzerill.KindOverloaded},
		{"mean too old", now.Add(2 * time.Second), view(10), 4, nil, request("a"), bronzerill.KindOverloaded},
		{"cold", now, view(10), 0, func(g *Gate) { g.StartCold(); g.running = 2 }, request("a"), bronzerill.KindCold},
		{"reported slots used", now, view(10), 5, func(g *Gate) { g.SetReportedSlots(5) }, request("a"), bronzerill.KindCold},
		{"reported slots don't raise the limit", now, view(6), 9, func(g *Gate) { g.SetReportedSlots(500) }, request("a"), bronzerill.KindOverloaded},
		{"batch above its percentage", now, view(6), 7, nil, Request{Customer: "a", Weight: 1, Priority: exchange.PriorityBatch}, bronzerill.KindPriority},
		{"batch below its percentage", now, view(6), 3, nil, Request{Customer: "a", Weight: 1, Priority: exchange.PriorityBatch}, bronzerill.KindNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := warmGate()
			fill(t, g, view(100), c.running)
			if c.prepare != nil {
				c.prepare(g)
			}
			_, kind := g.Admit(c.now, c.view, c.request)
			assert.Equal(t, c.want.String(), kind.String())
		})
	}
}

// TestSurgeIsLimitedToCustomerShare sends many requests of one customer. Alone,
// the customer may fill the limit; beside others, it is limited to its share.
func TestSurgeIsLimitedToCustomerShare(t *testing.T) {
	g := warmGate()
	v := view(10)
	surging := 0
	for range 100 {
		if _, kind := g.Admit(now, v, request("surging")); kind == bronzerill.KindNone {
			surging++
		}
	}
	assert.Equal(t, 15, surging, "alone, the customer fills the limit")

	g = warmGate()
	fill(t, g, v, 3)
	surging = 0
	for range 100 {
		if _, kind := g.Admit(now, v, request("surging")); kind == bronzerill.KindNone {
			surging++
		}
	}
	assert.Less(t, surging+3, 15, "beside others, the customer leaves slots free")
	_, kind := g.Admit(now, v, request("customer-0"))
	assert.Equal(t, bronzerill.KindNone, kind)
}

// TestLoadBoundAtEveryAdmission admits and finishes requests at random, with
// changes of the mean and cold starts in between. It checks the load bound and
// the ramp at each admission.
func TestLoadBoundAtEveryAdmission(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := NewGate("bronze-guides", "gramado")
		var permits []Permit
		finished, v := 0, view(0)
		for range 5000 {
			switch random.IntN(12) {
			case 0:
				v = view(random.Float64() * 20)
			case 1:
				if random.IntN(20) == 0 {
					g.StartCold()
					finished = 0
					permits = nil
					g = NewGate("bronze-guides", "gramado")
				}
			case 2, 3, 4:
				if len(permits) > 0 {
					succeeded := random.IntN(2) == 0
					g.Release(permits[0], succeeded)
					permits = permits[1:]
					if succeeded {
						finished++
					}
				}
			default:
				before := g.Running()
				permit, kind := g.Admit(now, v, request(fmt.Sprint("c", random.IntN(3))))
				if kind != bronzerill.KindNone {
					assert.Equal(t, bronzerill.RunNot, kind.Response().Run)
					continue
				}
				permits = append(permits, permit)
				p := pool()
				bound := max(p.FloorSlots, int(math.Ceil(p.LoadMultiple*v.MeanLoad)))
				assert.LessOrEqual(t, before+1, min(bound, p.Slots, p.ColdSlots+finished/p.RampStep))
			}
		}
	}
}

func TestRamp(t *testing.T) {
	p := pool()
	r := Ramp{}
	assert.Equal(t, 2, r.Limit(p))
	for range 2 {
		r = r.WithFinished(r.Epoch())
	}
	assert.Equal(t, 3, r.Limit(p))
	for range 100 {
		r = r.WithFinished(r.Epoch())
	}
	assert.Equal(t, p.Slots, r.Limit(p))
	old := r.Epoch()
	r = r.WithColdStart()
	assert.Equal(t, 2, r.Limit(p))
	assert.Equal(t, r, r.WithFinished(old), "requests started before the cold start don't count")
}

func TestReleaseRestoresCounts(t *testing.T) {
	g := warmGate()
	v := view(10)
	permits := fill(t, g, v, 10)
	assert.Len(t, g.Fingerprints(), 10)
	for _, permit := range permits {
		g.Release(permit, true)
	}
	assert.Zero(t, g.Running())
	assert.Empty(t, g.Fingerprints())
	assert.Empty(t, g.customers)
}
