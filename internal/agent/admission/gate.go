package admission

import (
	"math"
	"time"

	"bronzerill"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
)

// Limits of admission.
const (
	// meanMaxAge is the maximum age of a mean load. If the mean is older, the
	// load bound is Pool.FloorSlots.
	meanMaxAge = 1500 * time.Millisecond
	// shareThresholdPercent is the percentage of the limit above which a
	// customer may not exceed its share.
	shareThresholdPercent = 80
	// batchPercent is the percentage of the limit up to which batch requests
	// are admitted.
	batchPercent = 75
)

// Request describes a request to be admitted.
type Request struct {
	Customer string
	// Weight is the weight of the customer, at least 1.
	Weight      int
	Priority    exchange.Priority
	Fingerprint string
	// Trial reports whether control has granted a trial of the fingerprint.
	Trial bool
}

// Permit allows one request to run. It must be released exactly once.
type Permit struct {
	request Request
	epoch   uint64
}

// customerUse counts the running requests of one customer.
type customerUse struct {
	running int
	weight  int
}

// Gate decides which requests run on one backend server and counts them. It is
// not safe for concurrent use.
type Gate struct {
	pool string
	zone string
	ramp Ramp
	// running is the number of running requests. It equals the sum over
	// customers and the sum over fingerprints.
	running      int
	customers    map[string]customerUse
	fingerprints map[string]int
	// trial is the fingerprint of the running trial, or empty.
	trial    string
	draining bool
	// leaving is set while the server states that it is about to stop.
	leaving bool
	down    bool
	// reportedSlots is the number of slots that the server reported, or 0 if it
	// reported none. The report lags, so it may lower the limit but never raise
	// it.
	reportedSlots int
}

// NewGate returns the gate of a cold server.
func NewGate(pool, zone string) *Gate {
	return &Gate{pool: pool, zone: zone, customers: make(map[string]customerUse), fingerprints: make(map[string]int)}
}

// Admit admits or refuses a request. KindNone means admitted: the permit must
// be passed to Release. Any other kind is the reason for the refusal, and
// nothing is sent to the server.
func (g *Gate) Admit(now time.Time, v *control.View, r Request) (Permit, bronzerill.Kind) {
	if kind := g.checkAvailable(now, v); kind != bronzerill.KindNone {
		return Permit{}, kind
	}
	if kind := g.checkSuspect(v, r); kind != bronzerill.KindNone {
		return Permit{}, kind
	}
	if kind := g.checkLimits(now, v, r); kind != bronzerill.KindNone {
		return Permit{}, kind
	}
	g.running++
	use := g.customers[r.Customer]
	g.customers[r.Customer] = customerUse{use.running + 1, r.Weight}
	g.fingerprints[r.Fingerprint]++
	if r.Trial {
		g.trial = r.Fingerprint
	}
	return Permit{request: r, epoch: g.ramp.Epoch()}, bronzerill.KindNone
}

// checkAvailable returns the reason why the server accepts no new requests at
// all, or KindNone.
func (g *Gate) checkAvailable(now time.Time, v *control.View) bronzerill.Kind {
	zone, _ := v.Config.Zone(g.zone)
	switch {
	case g.draining || g.leaving || v.Leaving:
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

// checkSuspect returns the reason to refuse a suspect, KindOverloaded for any
// request while a trial runs, or KindNone.
func (g *Gate) checkSuspect(v *control.View, r Request) bronzerill.Kind {
	s, suspected := v.Config.Suspect(r.Fingerprint)
	switch {
	case suspected && s.State == bronzerill.SuspectQuarantined:
		return bronzerill.KindQuarantined
	case suspected && !r.Trial:
		return bronzerill.KindSuspect
	case g.trial != "":
		// No request starts beside a trial, since a crash would fail it too.
		return bronzerill.KindOverloaded
	}
	return bronzerill.KindNone
}

// checkLimits returns the reason to refuse a request because of load, or
// KindNone.
func (g *Gate) checkLimits(now time.Time, v *control.View, r Request) bronzerill.Kind {
	pool, ok := v.Config.Pool(g.pool)
	if !ok {
		return bronzerill.KindUnknownPool
	}
	loadBound := g.loadBound(now, v, pool)
	slots := g.capacity(pool)
	limit := min(loadBound, slots)
	switch {
	case g.running >= slots && slots < loadBound:
		return bronzerill.KindCold
	case g.running >= limit:
		return bronzerill.KindOverloaded
	case r.Priority == exchange.PriorityBatch && limit > 1 && 100*(g.running+1) > batchPercent*limit:
		return bronzerill.KindPriority
	case 100*(g.running+1) > shareThresholdPercent*limit && g.overShare(r, limit):
		return bronzerill.KindCustomerShare
	}
	return bronzerill.KindNone
}

// capacity returns the number of slots of the server: the limit of its ramp, or
// the number that it reported if that is lower.
func (g *Gate) capacity(p bronzerill.Pool) int {
	if g.reportedSlots > 0 {
		return min(g.ramp.Limit(p), g.reportedSlots)
	}
	return g.ramp.Limit(p)
}

// loadBound returns the highest load that the pool's multiple of the mean
// allows.
func (g *Gate) loadBound(now time.Time, v *control.View, p bronzerill.Pool) int {
	if now.Sub(v.MeanLoadAt) > meanMaxAge {
		return min(p.Slots, p.FloorSlots)
	}
	multiple := int(math.Ceil(p.LoadMultiple * v.MeanLoad))
	return min(p.Slots, max(p.FloorSlots, multiple))
}

// overShare reports whether the customer already uses its weighted share of the
// limit. The limit is shared by this customer and those with running requests.
func (g *Gate) overShare(r Request, limit int) bool {
	weights := r.Weight
	for name, use := range g.customers {
		if name != r.Customer {
			weights += use.weight
		}
	}
	share := (limit*r.Weight + weights - 1) / weights
	return g.customers[r.Customer].running >= max(1, share)
}

// Release ends the request of a permit. succeeded reports whether the server
// sent a complete response.
func (g *Gate) Release(p Permit, succeeded bool) {
	g.running--
	use := g.customers[p.request.Customer]
	use.running--
	g.customers[p.request.Customer] = use
	if use.running == 0 {
		delete(g.customers, p.request.Customer)
	}
	g.fingerprints[p.request.Fingerprint]--
	if g.fingerprints[p.request.Fingerprint] == 0 {
		delete(g.fingerprints, p.request.Fingerprint)
	}
	if p.request.Trial {
		g.trial = ""
	}
	if succeeded {
		g.ramp = g.ramp.WithFinished(p.epoch)
	}
}

// StartCold restarts the ramp of the server.
func (g *Gate) StartCold() { g.ramp = g.ramp.WithColdStart() }

// Drain makes Admit refuse every request from now on.
func (g *Gate) Drain() { g.draining = true }

// SetLeaving sets whether the server states that it is about to stop.
func (g *Gate) SetLeaving(leaving bool) { g.leaving = leaving }

// SetReportedSlots sets the number of slots that the server reported, or 0 for
// none.
func (g *Gate) SetReportedSlots(slots int) { g.reportedSlots = slots }

// SetDown sets whether the server is unreachable.
func (g *Gate) SetDown(down bool) { g.down = down }

// Running returns the number of running requests.
func (g *Gate) Running() int { return g.running }

// Fingerprints returns the fingerprints of the running requests.
func (g *Gate) Fingerprints() []string {
	fingerprints := make([]string, 0, len(g.fingerprints))
	for fingerprint := range g.fingerprints {
		if fingerprint != "" {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// State returns the state of the server for the server table.
func (g *Gate) State(v *control.View) control.ServerState {
	pool, _ := v.Config.Pool(g.pool)
	switch {
	case g.draining || g.leaving:
		return control.ServerLeaving
	case g.down:
		return control.ServerDown
	case g.capacity(pool) < pool.Slots:
		return control.ServerCold
	}
	return control.ServerReady
}

// Load returns the load that is reported to control. Its limit is the capacity
// of the server and doesn't depend on the mean load.
func (g *Gate) Load(v *control.View) control.Load {
	pool, _ := v.Config.Pool(g.pool)
	return control.Load{Running: g.running, Limit: g.capacity(pool)}
}
