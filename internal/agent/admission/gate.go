package admission

import (
	"math"
	"time"

	"bronzerill"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
)

// Parameters of admission.
const (
	// meanMaxAge is how old a mean load may be before only the floor counts.
	meanMaxAge = 1500 * time.Millisecond
	// pressurePercent of the limit is where customer shares begin to bind.
	pressurePercent = 80
	// batchPercent of the limit is what batch requests may fill.
	batchPercent = 75
)

// Request is a request for admission.
type Request struct {
	Customer string
	// Weight is the customer's; at least 1.
	Weight      int
	Priority    exchange.Priority
	Fingerprint string
	// Trial means that control has granted a trial of the fingerprint.
	Trial bool
}

// Permit is the right to run one request; it must be given back once.
type Permit struct {
	ask   Request
	epoch uint64
}

// customerUse is what one customer has running here.
type customerUse struct {
	running int
	weight  int
}

// Gate holds the requests that run on one backend server. It is not safe for
// concurrent use.
type Gate struct {
	pool string
	zone string
	ramp Ramp
	// running equals the sum over customers, and the sum over fingerprints.
	running      int
	customers    map[string]customerUse
	fingerprints map[string]int
	// trial is the fingerprint that runs alone, or empty.
	trial    string
	draining bool
	down     bool
	// reported is what the server says it bears, or 0 when it says nothing. The
	// report lags, so it only ever lowers the limit.
	reported int
}

// NewGate returns the gate of a server that is cold.
func NewGate(pool, zone string) *Gate {
	return &Gate{pool: pool, zone: zone, customers: make(map[string]customerUse), fingerprints: make(map[string]int)}
}

// Admit decides about a request. KindNone admits it, and the pass must be given
// to Done; every other kind means that nothing was sent to the server.
func (g *Gate) Admit(now time.Time, v *control.View, a Request) (Permit, bronzerill.Kind) {
	if kind := g.closed(now, v); kind != bronzerill.KindNone {
		return Permit{}, kind
	}
	if kind := g.suspicion(v, a); kind != bronzerill.KindNone {
		return Permit{}, kind
	}
	if kind := g.pressure(now, v, a); kind != bronzerill.KindNone {
		return Permit{}, kind
	}
	g.running++
	use := g.customers[a.Customer]
	g.customers[a.Customer] = customerUse{use.running + 1, a.Weight}
	g.fingerprints[a.Fingerprint]++
	if a.Trial {
		g.trial = a.Fingerprint
	}
	return Permit{ask: a, epoch: g.ramp.Epoch()}, bronzerill.KindNone
}

// closed returns why the server takes no new work at all.
func (g *Gate) closed(now time.Time, v *control.View) bronzerill.Kind {
	zone, _ := v.Config.Zone(g.zone)
	switch {
	case g.draining || v.Leaving:
		return bronzerill.KindLeaving
	case !v.HasLease(now):
		return bronzerill.KindLeaseLapsed
	case zone.Out:
		return bronzerill.KindZoneOut
	case g.down:
		return bronzerill.KindUnreachable
	}
	return bronzerill.KindNone
}

func (g *Gate) suspicion(v *control.View, a Request) bronzerill.Kind {
	s, suspected := v.Config.Suspect(a.Fingerprint)
	switch {
	case suspected && s.State == bronzerill.SuspectQuarantined:
		return bronzerill.KindQuarantined
	case suspected && !a.Trial:
		return bronzerill.KindSuspect
	case g.trial != "":
		// A trial runs without company that it could take down.
		return bronzerill.KindOverloaded
	}
	return bronzerill.KindNone
}

func (g *Gate) pressure(now time.Time, v *control.View, a Request) bronzerill.Kind {
	pool, ok := v.Config.Pool(g.pool)
	if !ok {
		return bronzerill.KindUnknownPool
	}
	bound := g.bound(now, v, pool)
	ramp := g.bearable(pool)
	limit := min(bound, ramp)
	switch {
	case g.running >= ramp && ramp < bound:
		return bronzerill.KindCold
	case g.running >= limit:
		return bronzerill.KindOverloaded
	case a.Priority == exchange.PriorityBatch && limit > 1 && 100*(g.running+1) > batchPercent*limit:
		return bronzerill.KindPriority
	case 100*(g.running+1) > pressurePercent*limit && g.overShare(a, limit):
		return bronzerill.KindCustomerShare
	}
	return bronzerill.KindNone
}

// bearable returns the slots that the server can bear, by its ramp and by its
// own word.
func (g *Gate) bearable(p bronzerill.Pool) int {
	if g.reported > 0 {
		return min(g.ramp.Limit(p), g.reported)
	}
	return g.ramp.Limit(p)
}

// bound returns the most load that the pool's multiple of the mean allows.
func (g *Gate) bound(now time.Time, v *control.View, p bronzerill.Pool) int {
	if now.Sub(v.MeanAt) > meanMaxAge {
		return min(p.Slots, p.FloorSlots)
	}
	multiple := int(math.Ceil(p.LoadMultiple * v.Mean))
	return min(p.Slots, max(p.FloorSlots, multiple))
}

// overShare reports whether the customer has its weighted share of the limit
// already, among the customers that run here.
func (g *Gate) overShare(a Request, limit int) bool {
	weights := a.Weight
	for name, use := range g.customers {
		if name != a.Customer {
			weights += use.weight
		}
	}
	share := (limit*a.Weight + weights - 1) / weights
	return g.customers[a.Customer].running >= max(1, share)
}

// Release gives a pass back. good means that the server gave a whole answer.
func (g *Gate) Release(p Permit, good bool) {
	g.running--
	use := g.customers[p.ask.Customer]
	use.running--
	g.customers[p.ask.Customer] = use
	if use.running == 0 {
		delete(g.customers, p.ask.Customer)
	}
	g.fingerprints[p.ask.Fingerprint]--
	if g.fingerprints[p.ask.Fingerprint] == 0 {
		delete(g.fingerprints, p.ask.Fingerprint)
	}
	if p.ask.Trial {
		g.trial = ""
	}
	if good {
		g.ramp = g.ramp.WithFinished(p.epoch)
	}
}

// StartCold puts the server at the bottom of its ramp.
func (g *Gate) StartCold() { g.ramp = g.ramp.WithColdStart() }

// Drain refuses new work from now on.
func (g *Gate) Drain() { g.draining = true }

// SetReportedSlots takes the slots that the server says it bears.
func (g *Gate) SetReportedSlots(slots int) { g.reported = slots }

// SetDown tells whether the server can be reached at all.
func (g *Gate) SetDown(down bool) { g.down = down }

// Running returns the number of requests that run on the server.
func (g *Gate) Running() int { return g.running }

// Fingerprints returns the fingerprints that run on the server.
func (g *Gate) Fingerprints() []string {
	fingerprints := make([]string, 0, len(g.fingerprints))
	for fingerprint := range g.fingerprints {
		if fingerprint != "" {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// State returns the server's state for the table of servers.
func (g *Gate) State(v *control.View) control.ServerState {
	pool, _ := v.Config.Pool(g.pool)
	switch {
	case g.draining:
		return control.ServerLeaving
	case g.down:
		return control.ServerDown
	case g.bearable(pool) < pool.Slots:
		return control.ServerCold
	}
	return control.ServerReady
}

// Load returns the load for control. Its limit leaves the mean out of account:
// it is what the server could bear.
func (g *Gate) Load(v *control.View) control.Load {
	pool, _ := v.Config.Pool(g.pool)
	return control.Load{Running: g.running, Limit: g.bearable(pool)}
}
