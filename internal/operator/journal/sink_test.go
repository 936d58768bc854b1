package journal

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
