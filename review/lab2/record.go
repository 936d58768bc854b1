package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, in the order of time.
type record struct {
	mu      sync.Mutex
	started time.Time
	text    strings.Builder
}

func newRecord() *record { return &record{started: time.Now()} }

// add adds one line.
func (r *record) add(what, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%8.3f s  %-8s %s\n", time.Since(r.started).Seconds(), what, fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(r.text.String()), 0o600)
}
