// Package journal writes log lines without blocking the code that logs, and parses them
// again to show the history of a request.
package journal

import (
	"context"
	"expvar"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxQueued limits the number of lines that wait for the output.
const maxQueued = 2048

// flushTimeout limits how long the last lines may take.
const flushTimeout = time.Second

var droppedLines = expvar.NewInt("log-lines-dropped")

// Sink is a non-blocking writer that drops lines if the output is too slow. It counts
// dropped lines in the metric log-lines-dropped.
type Sink struct {
	out   io.Writer
	lines chan []byte
}

var _ io.Writer = (*Sink)(nil)

// NewSink returns a sink for an output. Run must be called to write the lines.
func NewSink(out io.Writer) *Sink {
	return &Sink{out: out, lines: make(chan []byte, maxQueued)}
}

// Write queues a copy of a line. It never blocks and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		droppedLines.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines to the output until ctx ends. It then writes the lines that are
// still queued, unless the output has stalled, and returns nil.
func (s *Sink) Run(ctx context.Context) error {
	finished := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(finished)
		s.writeLines(ctx)
		return nil
	})
	<-ctx.Done()
	select {
	case <-finished:
	case <-time.After(flushTimeout):
		// The write goes on until the process ends.
	}
	return nil
}

// writeLines writes queued lines until ctx ends, and then those that are still queued.
func (s *Sink) writeLines(ctx context.Context) {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-ctx.Done():
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			return
		}
	}
}

func (s *Sink) write(line []byte) {
	// The counter is the only way to report a failed output.
	if _, err := s.out.Write(line); err != nil {
		droppedLines.Add(1)
	}
}
