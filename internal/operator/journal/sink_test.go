package journal

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

func TestWriteNeverBlocks(t *testing.T) {
	sink := NewSink(&bytes.Buffer{})
	before := droppedLines.Value()
	start := time.Now()
	for range maxQueued + 100 {
		n, err := sink.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Less(t, time.Since(start), time.Second)
	require.EqualValues(t, 100, droppedLines.Value()-before)
}

func TestRunWritesQueuedLinesAfterCancel(t *testing.T) {
	var out bytes.Buffer
	sink := NewSink(&out)
	_, err := sink.Write([]byte("stopped\n"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, sink.Run(ctx))
	require.Equal(t, "stopped\n", out.String())
}

// Guards against a process that doesn't end since nobody reads its log (issue 52).
func TestRunEndsAlthoughTheOutputHasStalled(t *testing.T) {
	unread, out := io.Pipe()
	t.Cleanup(func() { _ = unread.Close() })
	sink := NewSink(out)
	_, err := sink.Write([]byte("line\n"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return sink.Run(ctx) })
	require.Eventually(t, func() bool { return len(sink.lines) == 0 }, time.Second, time.Millisecond)
	cancel()
	ended := make(chan error, 1)
	var waiter errgroup.Group
	waiter.Go(func() error {
		ended <- group.Wait()
		return nil
	})
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		require.Fail(t, "it still waits")
	}
}
