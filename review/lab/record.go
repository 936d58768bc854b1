package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// record is the file with what was sent, answered and run. Times count from its start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create record")
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// add writes one line with the present time.
func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An incomplete record is noticed when it is flushed.
	_, _ = fmt.Fprintf(r.out, "%9.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	_ = r.file.Close() // everything has been written
}
