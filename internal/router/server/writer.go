package server

import (
	"sync/atomic"
	"time"
)

// answerGrace is how long an answer is waited for after the rest of the request
// could no longer be sent.
const answerGrace = 200 * time.Millisecond

// countingWriter counts what was handed to the connection.
type countingWriter struct {
	link *conn
	n    atomic.Int64
}

// Write writes to the connection.
func (w *countingWriter) Write(p []byte) (int, error) {
	// Part of the bytes may arrive even if the write fails, so they count before.
	w.n.Add(int64(len(p)))
	n, err := w.link.Write(p)
	if err != nil && n == 0 {
		// The kernel took nothing: the peer had closed the connection before.
		w.n.Add(-int64(len(p)))
	}
	return n, err
}

func (w *countingWriter) graceEnd() time.Time { return time.Now().Add(answerGrace) }
