package memory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// yielder is a transfer that gives its share back when it is made to yield.
type yielder struct {
	*Transfer
	share Share
}

func newYielder(t *testing.T, b *Budget, now time.Time, phase Phase, size int64) *yielder {
	y := &yielder{}
	y.Transfer = b.NewTransfer(now, func(Phase) bool {
		y.share.Free()
		return true
	})
	y.Begin(now, phase)
	y.share = b.NewShare(y.Transfer)
	require.True(t, y.share.Resize(size))
	return y
}

// Guards against memory that stays with clients that don't finish (issue 52).
func TestClientsWithoutProgressYieldFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(1 << 20)
	work := newYielder(t, b, now.Add(-time.Hour), PhaseWorking, 100_000)
	oldest := newYielder(t, b, now.Add(-time.Minute), PhaseBody, 200_000)
	drips := newYielder(t, b, now.Add(-30*time.Second), PhaseBody, 200_000)
	drips.Progress(now, progressBytes-1)
	moves := newYielder(t, b, now.Add(-40*time.Second), PhaseSending, 200_000)
	moves.Progress(now, progressBytes)
	small := newYielder(t, b, now.Add(-2*time.Minute), PhaseBody, smallBytes)

	require.True(t, b.Fits(600_000))
	require.False(t, b.Fits(700_000), "what is being worked on, and what is small, doesn't yield to it")
	require.True(t, b.Fits(smallBytes))
	own := newYielder(t, b, now.Add(-10*time.Second), PhaseBody, 0)
	require.True(t, own.share.Grow(200_000))
	require.True(t, oldest.Yielded())
	require.False(t, drips.Yielded() || moves.Yielded() || work.Yielded() || small.Yielded())
	require.True(t, own.share.Grow(400_000))
	require.True(t, drips.Yielded(), "single bytes are no progress")
	require.False(t, own.share.Grow(500_000), "it doesn't take from a client that has made progress since its own")
	require.False(t, moves.Yielded())
	answer := b.NewShare(nil)
	require.True(t, answer.Grow(300_000))
	require.True(t, own.Yielded(), "an answer doesn't wait for clients")
	require.False(t, work.Yielded())
	for _, y := range []*yielder{work, moves, small, oldest, drips, own} {
		y.share.Free()
		y.Close()
	}
	answer.Free()
	require.Zero(t, b.Used())
	require.Empty(t, b.transfers)
}

// Guards against a request that waits without end for memory that isn't given back.
func TestMemoryThatIsNotGivenBackIsNotAwaitedForLong(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(1 << 20)
	stuck := b.NewTransfer(now, func(Phase) bool { return true })
	stuck.Begin(now, PhaseBody)
	share := b.NewShare(stuck)
	require.True(t, share.Resize(700_000))
	other := b.NewShare(nil)
	done := make(chan bool, 1)
	group := time.AfterFunc(0, func() { done <- other.Grow(200_000) })
	defer group.Stop()
	select {
	case grown := <-done:
		require.False(t, grown)
	case <-time.After(10 * time.Second):
		require.Fail(t, "it still waits")
	}
	require.True(t, stuck.Yielded())
}

// Guards against a request that is refused because of the one before on its connection.
func TestNextRequestHasNotYielded(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(1 << 20)
	y := b.NewTransfer(now, func(Phase) bool { return true })
	require.True(t, y.Yield())
	require.True(t, y.Begin(now, PhaseHead), "a request came after all")
	y.Begin(now, PhaseBody)
	require.True(t, y.Yield())
	require.False(t, y.Yield(), "once")
	require.False(t, y.Begin(now, PhaseWorking))
	require.False(t, y.Yield(), "never while a request is being worked on")
	require.False(t, y.Begin(now, PhaseSending))
	y.Begin(now, PhaseIdle)
	require.True(t, y.Begin(now, PhaseHead))
}
