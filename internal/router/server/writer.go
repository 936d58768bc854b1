package server

import (
	"sync/atomic"
	"time"
)

// responseGrace is how long the client waits for a response after it failed to write
// the request.
const responseGrace = 200 * time.Millisecond

// countingWriter counts the bytes that are written to the connection.
type countingWriter struct {
	conn *clientConn
	n    atomic.Int64
}

// Write writes p to the connection.
func (w *countingWriter) Write(p []byte) (int, error) {
	// Some bytes may arrive even if the write fails, so they are counted before it.
	w.n.Add(int64(len(p)))
	n, err := w.conn.Write(p)
	if err != nil && n == 0 {
		// The kernel accepted no data: the peer had closed the connection before.
		w.n.Add(-int64(len(p)))
	}
	return n, err
}

func (w *countingWriter) responseDeadline() time.Time { return time.Now().Add(responseGrace) }
