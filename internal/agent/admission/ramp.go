// Package admission decides which requests a backend server may run now. It
// runs in the agent, through which every request to the server passes.
package admission

import "bronzerill"

// Ramp is the slow start of a cold server. The limit starts at ColdSlots and
// rises by one slot for every RampStep successful requests, up to Slots.
type Ramp struct {
	// epoch counts the cold starts. Requests that started in an earlier epoch
	// don't count, since they don't show what the server handles now.
	epoch uint64
	// finished counts the successful requests of this epoch.
	finished int
}

// Epoch returns the number of the current epoch.
func (r Ramp) Epoch() uint64 { return r.epoch }

// WithColdStart returns the ramp after a new cold start.
func (r Ramp) WithColdStart() Ramp { return Ramp{epoch: r.epoch + 1} }

// WithFinished returns the ramp after a successful request that started in the
// given epoch.
func (r Ramp) WithFinished(epoch uint64) Ramp {
	if epoch == r.epoch {
		r.finished++
	}
	return r
}

// Limit returns the number of slots that the server may use.
func (r Ramp) Limit(p bronzerill.Pool) int {
	if p.RampStep < 1 {
		return min(p.Slots, p.ColdSlots)
	}
	return min(p.Slots, p.ColdSlots+r.finished/p.RampStep)
}
