// Package exchange is the protocol between an entry and an agent: one HTTP
// request that opens an exchange, answered by a stream of frames. net/rpc doesn't
// fit here, since it can't stream.
package exchange

import (
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"bronzerill"
)

// Paths of the agent's HTTP server.
const (
	PathOpen   = "/v1/exchange"
	PathCancel = "/v1/cancel"
	// PathCache takes the KV cache of the chat that follows.
	PathCache = "/v1/cache/"
)

// Timing of an open exchange.
const (
	// KeepAliveInterval is the agent's pause between keep-alive frames.
	KeepAliveInterval = time.Second
	// SilenceTimeout is how long an entry waits for a frame before it takes the
	// connection for lost.
	SilenceTimeout = 3 * time.Second
)

// MaxBodyBytes bounds the body of a caller's request.
const MaxBodyBytes = 1 << 20

// maxOpenBytes bounds the encoded form of an Open.
const maxOpenBytes = MaxBodyBytes + 64<<10

// Priority orders requests under pressure.
type Priority uint8

// The priorities.
const (
	PriorityInteractive Priority = iota
	PriorityBatch
)

var priorityNames = [...]string{"interactive", "batch"}

// String returns the name used by callers.
func (p Priority) String() string { return priorityNames[p] }

// ParsePriority returns the priority of that name; the empty name is interactive.
func ParsePriority(name string) (Priority, bool) {
	for i, known := range priorityNames {
		if name == known {
			return Priority(i), true
		}
	}
	return PriorityInteractive, name == ""
}

// ID names one attempt at one request. An agent runs an ID at most once in its
// process.
type ID struct {
	Request string
	Attempt string
}

// Open asks an agent to run a request, or to go on with one.
type Open struct {
	ID ID
	// Server is the backend server that is meant; another one refuses.
	Server string
	// Generation is the agent process that the entry knows of. An attach to
	// another one can't tell what the earlier process did.
	Generation uint64
	Customer   string
	Weight     int
	Pool       string
	Method     string
	Path       string
	// Chat identifies a returning chat within its customer; empty for services.
	Chat string
	// Key is the caller's idempotency key.
	Key         string
	ContentType string
	Priority    Priority
	// Timeout is what is left of the caller's deadline.
	Timeout time.Duration
	// Fingerprint is the fingerprint of customer, route and body.
	Fingerprint string
	Body        []byte
	// Attach goes on with a running exchange at Offset and never starts one. An
	// agent that doesn't know the ID will refuse to start it later.
	Attach bool
	Offset int64
}

// FrameType names the purpose of a frame.
type FrameType uint8

// The frame types. An answer is whole only after FrameEnd.
const (
	FrameKeepAlive FrameType = iota + 1
	FrameHead
	FrameData
	FrameEnd
	FrameFailure
)

// Frame is one message of an answer.
type Frame struct {
	Type FrameType
	// Head is set on FrameHead.
	Head *Head
	// Offset is the position of Data in the answer.
	Offset int64
	Data   []byte
	// End is set on FrameEnd.
	End *End
	// Failure is set on FrameFailure.
	Failure *Failure
}

// Head starts an answer.
type Head struct {
	ID          ID
	Status      int
	ContentType string
	// Server names the backend server that answers.
	Server string
	// Warm means that the engine found the chat in its prefix cache.
	Warm bool
	// Replayed means that the answer comes from the ledger.
	Replayed bool
}

// End closes a whole answer.
type End struct {
	ID    ID
	Bytes int64
	Sum   uint64
}

// Failure ends an exchange without a whole answer.
type Failure struct {
	Kind   bronzerill.Kind
	Detail string
}

// Err returns the failure as an error.
func (f *Failure) Err() error { return bronzerill.Errorf(f.Kind, "%s", f.Detail) }

// NewFailure returns the failure of an error.
func NewFailure(err error) *Failure {
	var e *bronzerill.Error
	if errors.As(err, &e) {
		return &Failure{Kind: e.Kind, Detail: e.Detail}
	}
	return &Failure{Kind: bronzerill.KindInternal, Detail: err.Error()}
}

// DecodeOpen reads a bounded Open.
func DecodeOpen(r io.Reader) (Open, error) {
	var open Open
	limited := &io.LimitedReader{R: r, N: maxOpenBytes}
	if err := msgpack.NewDecoder(limited).Decode(&open); err != nil {
		return Open{}, bronzerill.Errorf(bronzerill.KindBadRequest, "exchange: %v", err)
	}
	if len(open.Body) > MaxBodyBytes {
		return Open{}, bronzerill.Errorf(bronzerill.KindBodyTooLarge, "over %d bytes", MaxBodyBytes)
	}
	if open.ID.Request == "" || open.ID.Attempt == "" {
		return Open{}, bronzerill.Errorf(bronzerill.KindBadRequest, "exchange has no id")
	}
	if open.Priority > PriorityBatch {
		return Open{}, bronzerill.Errorf(bronzerill.KindBadRequest, "exchange has priority %d", open.Priority)
	}
	return open, nil
}

// NewEncoder returns an encoder of the protocol's messages. Structs are encoded
// as arrays, without names.
func NewEncoder(w io.Writer) *msgpack.Encoder {
	e := msgpack.NewEncoder(w)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	return e
}

// NewDecoder returns a decoder of the protocol's messages.
func NewDecoder(r io.Reader) *msgpack.Decoder { return msgpack.NewDecoder(r) }

// Checker follows an answer and reports what is wrong with it.
type Checker struct {
	id      ID
	offset  int64
	sum     *xxhash.Digest
	hasHead bool
}

// NewChecker returns a checker for the answer to an ID.
func NewChecker(id ID) *Checker { return &Checker{id: id, sum: xxhash.New()} }

// Offset returns the number of bytes taken so far.
func (c *Checker) Offset() int64 { return c.offset }

// HasHead reports whether the answer has begun.
func (c *Checker) HasHead() bool { return c.hasHead }

// Check checks a frame and returns its new bytes. Bytes taken before, which a
// resumed stream may repeat, are cut off.
func (c *Checker) Check(f *Frame) ([]byte, error) {
	switch f.Type {
	case FrameHead:
		if f.Head == nil || f.Head.ID != c.id {
			return nil, bronzerill.Errorf(bronzerill.KindCrossed, "the answer's head is another request's")
		}
		c.hasHead = true
		return nil, nil
	case FrameData:
		return c.checkData(f)
	case FrameEnd:
		return nil, c.checkEnd(f.End)
	case FrameFailure:
		if f.Failure == nil {
			return nil, bronzerill.Errorf(bronzerill.KindInternal, "failure frame without a failure")
		}
		return nil, f.Failure.Err()
	case FrameKeepAlive:
		return nil, nil
	}
	return nil, bronzerill.Errorf(bronzerill.KindInternal, "frame type %d", f.Type)
}

func (c *Checker) checkData(f *Frame) ([]byte, error) {
	if !c.hasHead || f.Offset > c.offset {
		return nil, bronzerill.Errorf(bronzerill.KindTruncated, "answer goes on at byte %d after byte %d", f.Offset, c.offset)
	}
	skip := c.offset - f.Offset
	if skip >= int64(len(f.Data)) {
		return nil, nil
	}
	data := f.Data[skip:]
	c.offset += int64(len(data))
	_, _ = c.sum.Write(data)
	return data, nil
}

func (c *Checker) checkEnd(end *End) error {
	switch {
	case end == nil || end.ID != c.id:
		return bronzerill.Errorf(bronzerill.KindCrossed, "the answer's end is another request's")
	case !c.hasHead || end.Bytes != c.offset:
		return bronzerill.Errorf(bronzerill.KindTruncated, "answer has %d of %d bytes", c.offset, end.Bytes)
	case end.Sum != c.sum.Sum64():
		return bronzerill.Errorf(bronzerill.KindCrossed, "the answer's checksum differs")
	}
	return nil
}

// HeaderSecret carries the shared secret between own processes.
const HeaderSecret = "Bronzerill-Secret"

// Authorize adds the shared secret to a request.
func Authorize(r *http.Request, secret string) { r.Header.Set(HeaderSecret, secret) }
