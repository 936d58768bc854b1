package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/control/state"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/declared"
)

// Timing of confirmations that a declared state is the newest.
const (
	// confirmedFor is how long a confirmation holds. It is well below the time in which a state must be in force everywhere.
	confirmedFor = 500 * time.Millisecond
	// confirmTimeout limits one attempt. Callers wait for it.
	confirmTimeout = 400 * time.Millisecond
	// confirmBackoff is the time after a failed attempt in which there is no other one.
	confirmBackoff = 200 * time.Millisecond
	// admitInterval is the time between attempts until the first state is in force.
	admitInterval = 50 * time.Millisecond
	// pauseThreshold is the time without a beat from which on the process counts as having been paused. There is a beat in
	// each round of maintenance.
	pauseThreshold = time.Second
)

// newestReader reads the newest declared state from the control group.
type newestReader interface {
	// Newest returns the newest state by a linearizable read.
	Newest(ctx context.Context) (declared.State, error)
	// NewestVersions returns the noted versions by a linearizable read.
	NewestVersions(ctx context.Context) ([]state.NotedVersion, error)
	// hasLeader reports whether a leader is known that can be asked.
	hasLeader(now time.Time) bool
	// recoverState reports whether the log of this router's replica is known to have all that was acknowledged.
	recoverState(ctx context.Context, now time.Time) bool
}

var errNoLeader = errors.New("no leader is known")

// confirmation is what is known of whether the state in force is the newest. It is immutable. Its times are those of the
// boot clock.
type confirmation struct {
	// at is the start of the last successful read, zero before the first one. Whatever was acknowledged before is in force.
	at time.Time
	// retryAt is when the next attempt may begin after a failed one.
	retryAt time.Time
	// beatAt is the last beat of the process.
	beatAt time.Time
	// pausedAt is when the end of a pause was noticed after which no read has succeeded yet, zero otherwise.
	pausedAt time.Time
}

// holds reports whether a refusal may rest on the state.
func (c confirmation) holds(now time.Time) bool {
	return !c.at.IsZero() && now.Sub(c.at) < confirmedFor
}

// mayRead reports whether another attempt may begin.
func (c confirmation) mayRead(now time.Time) bool { return !now.Before(c.retryAt) }

// isDoubtful reports whether the process has just gone on after a pause, so that its state may be older than it seems.
func (c confirmation) isDoubtful(now time.Time) bool {
	return !c.pausedAt.IsZero() && now.Sub(c.pausedAt) < pauseThreshold
}

// withBeat returns the record after a beat of the process, which may follow a pause.
func (c confirmation) withBeat(now time.Time) confirmation {
	if !c.beatAt.IsZero() && now.Sub(c.beatAt) > pauseThreshold {
		c.pausedAt = now
	}
	c.beatAt = now
	return c
}

// withRead returns the record after an attempt that began at startedAt.
func (c confirmation) withRead(now, startedAt time.Time, succeeded bool) confirmation {
	if !succeeded {
		c.retryAt = now.Add(confirmBackoff)
		return c
	}
	c.at = startedAt
	if startedAt.After(c.pausedAt) {
		c.pausedAt = time.Time{}
	}
	return c
}

// confirmRead is an attempt that several requests wait for.
type confirmRead struct {
	// done is closed at the end. confirmed is set then if the attempt has succeeded.
	done      chan struct{}
	confirmed bool
}

// Newest returns the state in force once it is certain that no newer one has been in force for longer than confirmedFor.
// It returns false if that can't be told now.
func (h *stateHolder) Newest(ctx context.Context) (*declared.Table, bool) {
	confirmed := h.confirm(ctx, h.clock())
	return h.Table(), confirmed
}

// Current returns the state in force. After a pause of the process it first asks for a newer one, for a short time: what the
// process knew may have been replaced meanwhile.
func (h *stateHolder) Current(ctx context.Context) *declared.Table {
	now := h.clock()
	h.mu.Lock()
	h.confirmation = h.confirmation.withBeat(now)
	doubtful := h.confirmation.isDoubtful(now)
	h.mu.Unlock()
	if doubtful {
		// Without a control group, callers are served by what is known.
		_ = h.confirm(ctx, now)
	}
	return h.Table()
}

// beat records that the process runs.
func (h *stateHolder) beat(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmation = h.confirmation.withBeat(now)
}

// confirm waits until the state is confirmed, or the attempt to do so has failed.
func (h *stateHolder) confirm(ctx context.Context, now time.Time) bool {
	h.mu.Lock()
	read := h.reading
	switch {
	case h.confirmation.holds(now) && !h.confirmation.isDoubtful(now):
		h.mu.Unlock()
		return true
	case read == nil && !h.confirmation.mayRead(now):
		h.mu.Unlock()
		return false
	case read == nil:
		read = &confirmRead{done: make(chan struct{})}
		h.reading = read
		h.readSignal <- struct{}{} // has room, since there is one read at a time
	}
	h.mu.Unlock()
	select {
	case <-read.done:
		return read.confirmed
	case <-ctx.Done():
		return false
	}
}

// runConfirm carries out the reads that requests wait for, until ctx is done. Before the first state is in force, it
// reads all the time.
func (h *stateHolder) runConfirm(ctx context.Context) error {
	admit := time.NewTicker(admitInterval)
	defer admit.Stop()
	ticks := admit.C
	h.admit(ctx)
	for {
		select {
		case <-ctx.Done():
			h.endRead(h.clock(), false)
			return nil
		case <-h.readSignal:
			h.read(ctx)
		case <-ticks:
			if h.isAdmitted() {
				ticks = nil
				admit.Stop()
				continue
			}
			h.admit(ctx)
		}
	}
}

// admit puts a first state in force: the newest one, or without a leader that of the own log if it is the newest for certain.
func (h *stateHolder) admit(ctx context.Context) {
	now := time.Now()
	if h.newest.hasLeader(now) {
		if h.read(ctx) {
			h.readVersions(ctx)
		}
		return
	}
	if h.newest.recoverState(ctx, now) {
		h.mu.Lock()
		logged := h.logged
		h.mu.Unlock()
		h.update(logged, "log")
	}
}

// readVersions reads the noted versions, which otherwise come with the first state that a peer sends.
func (h *stateHolder) readVersions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	noted, err := h.newest.NewestVersions(ctx)
	if err != nil {
		h.log.Warn("noted versions not read", "error", err.Error())
		return
	}
	versions := make([]state.ServiceVersion, len(noted))
	for i, version := range noted {
		versions[i] = version.ServiceVersion
	}
	h.onFetched(versions)
}

// read reads the newest state and puts it in force. It reports whether that has succeeded.
func (h *stateHolder) read(ctx context.Context) bool {
	startedAt := h.clock()
	h.mu.Lock()
	doubtful := h.confirmation.isDoubtful(startedAt)
	h.mu.Unlock()
	newest, err := declared.State{}, errNoLeader
	// After a pause, peers look silent until their next digests tell who leads.
	if doubtful || h.newest.hasLeader(time.Now()) {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		newest, err = h.newest.Newest(ctx)
	}
	if err == nil {
		h.update(newest, "confirmation")
		h.compile(time.Now())
		h.endRead(startedAt, true)
		return true
	}
	metrics.Count(metrics.EventStateUnconfirmed)
	h.log.Debug("declared state not confirmed", "revision", h.Revision(), "error", err.Error())
	h.endRead(startedAt, false)
	return false
}

// endRead publishes the outcome of an attempt.
func (h *stateHolder) endRead(startedAt time.Time, succeeded bool) {
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmation = h.confirmation.withRead(now, startedAt, succeeded)
	// The process may have been paused during the attempt.
	succeeded = succeeded && h.confirmation.holds(now)
	if h.reading == nil {
		return
	}
	select {
	case <-h.readSignal:
		// It came during an attempt of runConfirm itself, which is good for it too.
	default:
	}
	h.reading.confirmed = succeeded
	close(h.reading.done)
	h.reading = nil
}

// isAdmitted reports whether a state may be in force.
func (h *stateHolder) isAdmitted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.admitted
}
