// Package journal carries log lines to standard output without ever holding up
// the code that logs.
package journal

import (
	"context"
	"expvar"
	"io"
)

// maxQueued bounds the lines that wait for the output.
const maxQueued = 2048

var dropped = expvar.NewInt("log-lines-dropped")

// Sink is a writer that drops lines when the output is too slow.
type Sink struct {
	out   io.Writer
	lines chan []byte
}

var _ io.Writer = (*Sink)(nil)

// NewSink returns a sink for an output; Run must be called.
func NewSink(out io.Writer) *Sink {
	return &Sink{out: out, lines: make(chan []byte, maxQueued)}
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, then those that are left.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-ctx.Done():
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			return nil
		}
	}
}

func (s *Sink) write(line []byte) {
	// An output that fails has nowhere to report to but this counter.
	if _, err := s.out.Write(line); err != nil {
		dropped.Add(1)
	}
}
