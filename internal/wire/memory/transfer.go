package memory

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Phase is what a connection is waiting for.
type Phase int

// The phases of a connection.
const (
	// PhaseIdle lasts from the end of a response, or the start of the connection, to the first byte of a request.
	PhaseIdle Phase = iota
	// PhaseHead lasts until the whole head of a request has arrived.
	PhaseHead
	// PhaseBody is while a body is being received.
	PhaseBody
	// PhaseWorking is while the process itself has something to do.
	PhaseWorking
	// PhaseSending is while the client is to read a response.
	PhaseSending
	// PhaseDiscarding is while the rest of a body is being received that nobody reads.
	PhaseDiscarding
	// PhaseClosing lasts from the last response until the connection is closed.
	PhaseClosing
)

// progressBytes is what a client has to send or read before that counts as progress. Single bytes don't.
const progressBytes = 64 << 10

// Transfer is the memory that belongs to one connection. While it waits for the client, it can be made to yield, so that
// clients that don't finish make room for others. A nil Transfer never yields. It is safe for concurrent use.
type Transfer struct {
	budget *Budget
	// yield makes the connection fail its reads or its writes. It reports whether the connection is still in that phase.
	yield func(Phase) bool
	taken atomic.Int64
	mu    sync.Mutex
	phase Phase
	// progressedAt is when the phase began, or when the last progressBytes had arrived.
	progressedAt time.Time
	// partial counts the bytes since progressedAt. It is below progressBytes.
	partial int
	// yielded is set once the connection was made to yield, until the next request or until it closes.
	yielded bool
}

// NewTransfer returns the transfer of a new connection. It must be closed.
func (b *Budget) NewTransfer(now time.Time, yield func(Phase) bool) *Transfer {
	t := &Transfer{budget: b, yield: yield, progressedAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.transfers[t] = struct{}{}
	return t
}

// Close ends the transfer.
func (t *Transfer) Close() {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	delete(t.budget.transfers, t)
}

// Begin begins a phase. It returns false if the connection was made to yield during the request.
func (t *Transfer) Begin(now time.Time, phase Phase) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if phase == PhaseIdle || phase == PhaseClosing || t.phase == PhaseIdle {
		t.yielded = false
	}
	if phase != t.phase {
		t.phase, t.progressedAt, t.partial = phase, now, 0
	}
	return !t.yielded
}

// Progress counts bytes that the client has sent or read.
func (t *Transfer) Progress(now time.Time, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.partial += n; t.partial >= progressBytes {
		t.progressedAt, t.partial = now, 0
	}
}

// Phase returns the phase, and since when the client has made no progress.
func (t *Transfer) Phase() (phase Phase, progressedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase, t.progressedAt
}

// Yielded reports whether the connection was made to yield.
func (t *Transfer) Yielded() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.yielded
}

// Yield makes the connection yield if it waits for the client. Its reads or writes fail then.
func (t *Transfer) Yield() bool {
	t.mu.Lock()
	if t.phase == PhaseWorking || t.yielded {
		t.mu.Unlock()
		return false
	}
	t.yielded = true
	phase := t.phase
	t.mu.Unlock()
	if t.yield(phase) {
		return true
	}
	t.mu.Lock()
	t.yielded = false
	t.mu.Unlock()
	// Others may be waiting for its memory in vain.
	t.budget.notify()
	return false
}

// newest is later than any time of a transfer.
var newest = time.Unix(math.MaxInt32, 0)

// candidate returns since when the client has made no progress if the transfer takes memory and waits for it.
// pending is what it is about to give back.
func (t *Transfer) candidate(large bool) (progressedAt time.Time, pending int64, waits bool) {
	taken := t.taken.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.yielded:
		return newest, taken, false
	case taken == 0, large && taken <= smallBytes, t.phase == PhaseWorking:
		return newest, 0, false
	}
	return t.progressedAt, 0, true
}

// claim is the wish of a share for a size that didn't fit.
type claim struct {
	budget *Budget
	// requester is the transfer of the share, which doesn't yield to itself. It may be nil.
	requester *Transfer
	size      int64
	// declined are transfers that didn't yield to the claim. They aren't asked again.
	declined []*Transfer
}

// reclaim makes the transfers whose clients have made no progress for longest yield, until a number of bytes is given back or
// about to be. It returns false if none is, since no client has made no progress for longer than the requester's.
func (c *claim) reclaim(bytes int64) bool {
	own := newest
	if c.requester != nil {
		if phase, progressedAt := c.requester.Phase(); phase != PhaseWorking {
			own = progressedAt
		}
	}
	before := c.budget.used.Load()
	for {
		oldest, pending := c.oldest(own)
		if pending += max(0, before-c.budget.used.Load()); pending >= bytes || oldest == nil {
			return pending > 0
		}
		if !oldest.Yield() {
			// Its client has just finished, or another claim has just made it yield.
			c.declined = append(c.declined, oldest)
		}
	}
}

// oldest returns the transfer whose client has made no progress for longest, if that is before a time. pending is what the
// transfers that were made to yield still take.
func (c *claim) oldest(before time.Time) (oldest *Transfer, pending int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	for t := range c.budget.transfers {
		if t == c.requester {
			continue
		}
		progressedAt, yielding, waits := t.candidate(c.size > smallBytes)
		pending += yielding
		if waits && progressedAt.Before(before) && !slices.Contains(c.declined, t) {
			oldest, before = t, progressedAt
		}
	}
	return oldest, pending
}
