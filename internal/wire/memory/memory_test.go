package memory

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill"
)

func TestLargeSharesLeaveRoomForSmallOnes(t *testing.T) {
	b := NewBudget(1 << 20)
	var large []Share
	for range 100 {
		s := b.NewShare(nil)
		if s.Resize(2 * smallBytes) {
			large = append(large, s)
		}
	}
	require.Len(t, large, 6, "three quarters of the budget")
	require.False(t, b.Fits(2*smallBytes))
	require.True(t, b.Fits(smallBytes))
	small := b.NewShare(nil)
	require.True(t, small.Resize(smallBytes))
	require.False(t, small.Resize(2*smallBytes), "it grows to a large one")
	require.Equal(t, int64(13*smallBytes), b.Used(), "a share that doesn't fit changes nothing")
	for i := range large {
		large[i].Free()
	}
	small.Free()
	small.Free()
	require.Zero(t, b.Used())
}

func TestSharesNeverExceedTheBudget(t *testing.T) {
	b := NewBudget(1 << 20)
	var group errgroup.Group
	for i := range 50 {
		group.Go(func() error {
			for size := range 200 {
				s := b.NewShare(nil)
				fits := s.Resize(int64(size * (i + 1) * 20))
				if fits && b.Used() > 2<<20 {
					return io.ErrShortBuffer
				}
				s.Free()
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	require.Zero(t, b.Used())
}

func TestBufferCountsItsCapacity(t *testing.T) {
	for _, expected := range []int64{0, 10, 3000, 100_000, 1 << 40, -1} {
		budget := NewBudget(1 << 20)
		b := budget.NewBuffer(nil, expected)
		var want bytes.Buffer
		for i := range 300 {
			part := strings.Repeat(string(rune('a'+i%26)), i)
			want.WriteString(part)
			require.True(t, b.Append([]byte(part)))
			require.Equal(t, int64(cap(b.data)), budget.Used())
		}
		require.Equal(t, want.String(), string(b.Bytes()))
		b.Discard(100)
		require.Equal(t, want.String()[100:], string(b.Bytes()))
		b.Discard(b.Len())
		require.LessOrEqual(t, budget.Used(), int64(keptBytes), "an empty buffer keeps little")
		b.Free()
		require.Zero(t, budget.Used())
	}
}

// Guards against bodies that take more memory than there is (issue 46).
func TestBodyThatDoesNotFitIsRefused(t *testing.T) {
	budget := NewBudget(1 << 20)
	read := func(size, limit int, expected int64) (int, bronzerill.Kind) {
		b := budget.NewBuffer(nil, expected)
		defer b.Free()
		err := b.ReadAll(iotest.HalfReader(strings.NewReader(strings.Repeat("x", size))), limit)
		return b.Len(), bronzerill.KindOf(err)
	}
	for _, expected := range []int64{0, 700_000, 1 << 62} {
		n, kind := read(600_000, 800_000, expected)
		require.Equal(t, bronzerill.KindNone, kind)
		require.Equal(t, 600_000, n)
		_, kind = read(900_000, 1<<20, expected)
		require.Equal(t, bronzerill.KindOverloaded, kind)
		_, kind = read(5000, 4999, expected)
		require.Equal(t, bronzerill.KindBodyTooLarge, kind)
		n, kind = read(5000, 5000, expected)
		require.Equal(t, bronzerill.KindNone, kind)
		require.Equal(t, 5000, n)
	}
	b := budget.NewBuffer(nil, 0)
	require.ErrorIs(t, b.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 10), io.ErrUnexpectedEOF)
	b.Free()
	require.Zero(t, budget.Used())
}
