package server

import (
	"io"
	"math"

	"github.com/pkg/errors"

	"bronzerill/internal/wire/httpresponse"
	"bronzerill/internal/wire/memory"
)

// Limits of what a server may send besides the body of the response. A faulty server can
// send bytes without end.
const (
	// maxHeadBytes is the maximum size of a response header, with the interim responses
	// before it.
	maxHeadBytes = 64 << 10
	// usualHeadBytes is the size up to which the memory of a header isn't counted, and longHeadMemory what the
	// fields of a longer one take at most, many of which may be short.
	usualHeadBytes = 8 << 10
	longHeadMemory = 4 * maxHeadBytes
	// maxSkippedBytes is the maximum size of the body of a response to another request.
	maxSkippedBytes = 1 << 20
	// unlimited stands for no limit.
	unlimited = math.MaxInt64
)

// limitedReader fails after a number of bytes, and at an invalid byte of a header. Unlike io.LimitedReader it
// doesn't report an ordinary end.
type limitedReader struct {
	io.Reader
	remaining int64
	head      httpresponse.HeadChecker
	// share is what a long header takes.
	share memory.Share
	// counted is set if the memory of headers is counted.
	counted bool
}

// beginHead limits and checks what is read until the end of the header. Its first bytes may have been read
// already, with the end of another response.
func (r *limitedReader) beginHead(alreadyRead []byte) error {
	r.remaining = maxHeadBytes
	r.head.Begin()
	_, err := r.head.Check(alreadyRead)
	return err
}

func (r *limitedReader) endHead() { r.remaining = unlimited }

// Read reads at most the remaining bytes. It fails if there is no memory for a header that is unusually long.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errors.New("response header too large")
	}
	// net/http reads on after a line that an error has cut off.
	if err := r.head.Err(); err != nil {
		return 0, err
	}
	if r.counted && r.remaining <= maxHeadBytes-usualHeadBytes && !r.share.Resize(longHeadMemory) {
		return 0, errors.New("no memory left for the response header")
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.remaining)])
	if r.remaining != unlimited {
		r.remaining -= int64(n)
	}
	if valid, headErr := r.head.Check(p[:n]); headErr != nil {
		return valid, headErr
	}
	return n, err
}
