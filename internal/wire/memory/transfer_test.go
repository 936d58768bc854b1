package memory

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
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

// Guards against a request that is refused although there is memory for it, because a client that was to yield has just
// finished, or yields to somebody else (issue 52).
func TestClientThatDoesNotYieldIsPassedOver(t *testing.T) {
	tests := map[string]struct {
		// first is what the yielding of the oldest client does.
		first func(y *yielder)
		// others is whether there is another client that can yield.
		others bool
	}{
		"finished, others wait":    {func(y *yielder) {}, true},
		"has given back its share": {func(y *yielder) { y.share.Free() }, false},
		"is being worked on":       {func(y *yielder) { y.Begin(time.Unix(1000, 0), PhaseWorking) }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := NewBudget(1 << 20)
			first := &yielder{}
			first.Transfer = b.NewTransfer(now.Add(-time.Hour), func(Phase) bool {
				test.first(first)
				return false
			})
			first.Begin(now.Add(-time.Hour), PhaseBody)
			first.share = b.NewShare(first.Transfer)
			require.True(t, first.share.Resize(300_000))
			second := newYielder(t, b, now.Add(-time.Minute), PhaseBody, 300_000)
			own := b.NewTransfer(now, func(Phase) bool { return true })
			own.Begin(now, PhaseBody)
			if !test.others {
				second.Begin(now, PhaseWorking)
			}
			share := b.NewShare(own)
			require.True(t, share.Grow(300_000))
			require.Equal(t, test.others, second.Yielded())
		})
	}
}

// Guards against a request that waits for memory of a client that doesn't yield after all, while others could (issue 52).
func TestWaitEndsForClientThatDoesNotYield(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(1 << 20)
	release := make(chan struct{})
	first := &yielder{}
	first.Transfer = b.NewTransfer(now.Add(-time.Hour), func(Phase) bool {
		<-release
		return false
	})
	first.Begin(now.Add(-time.Hour), PhaseBody)
	first.share = b.NewShare(first.Transfer)
	require.True(t, first.share.Resize(300_000))
	newYielder(t, b, now.Add(-time.Minute), PhaseBody, 300_000)
	var group errgroup.Group
	group.Go(func() error {
		if first.Yield() {
			return errors.New("it yielded")
		}
		return nil
	})
	require.Eventually(t, first.Yielded, time.Second, time.Millisecond)
	group.Go(func() error {
		if share := b.NewShare(nil); !share.Grow(300_000) {
			return errors.New("no memory")
		}
		return nil
	})
	require.Eventually(t, func() bool { return b.waiting.Load() == 1 }, time.Second, time.Millisecond)
	time.Sleep(yieldTimeout / 10)
	first.Begin(now, PhaseWorking)
	close(release)
	require.NoError(t, group.Wait())
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
