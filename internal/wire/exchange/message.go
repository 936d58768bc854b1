// Package exchange is the protocol between an entry and an agent. One HTTP request
// opens an exchange, and its response is a stream of frames. net/rpc can't be used
// here because it doesn't stream.
package exchange

import (
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"bronzerill"
	"bronzerill/internal/wire/httpresponse"
)

// Paths of the agent's HTTP server.
const (
	PathOpen   = "/v1/exchange"
	PathCancel = "/v1/cancel"
	// PathCache is the prefix of the paths to which an agent uploads the KV cache
	// of a chat. The chat's id follows.
	PathCache = "/v1/cache/"
)

// Timing of an open exchange.
const (
	// KeepAliveInterval is the time between the agent's keep-alive frames.
	KeepAliveInterval = time.Second
	// SilenceTimeout is the time without a frame after which an entry treats the
	// connection as lost.
	SilenceTimeout = 3 * time.Second
	// AttachTimeout is how long an agent continues an exchange that no entry reads.
	AttachTimeout = 5 * time.Second
)

// MaxBodyBytes bounds the body of a caller's request.
const MaxBodyBytes = 1 << 20

// maxOpenBytes bounds the encoded form of an Open.
const maxOpenBytes = MaxBodyBytes + 64<<10

// Priority orders requests under overload.
type Priority uint8

// The priorities.
const (
	PriorityInteractive Priority = iota
	PriorityBatch
)

var priorityNames = [...]string{"interactive", "batch"}

// String returns the priority's name in the caller API.
func (p Priority) String() string { return priorityNames[p] }

// ParsePriority returns the priority with the given name. An empty name means
// interactive.
func ParsePriority(name string) (Priority, bool) {
	for i, known := range priorityNames {
		if name == known {
			return Priority(i), true
		}
	}
	return PriorityInteractive, name == ""
}

// ID identifies one attempt of one request. An agent process runs an ID at most
// once.
type ID struct {
	Request string
	Attempt string
}

// Open opens an exchange: it runs a request, or attaches to a running one.
type Open struct {
	ID ID
	// Server is the intended backend server. The agent of another server refuses
	// the exchange.
	Server string
	// Generation identifies the agent process that the entry knows. After an
	// attach to another process, the entry can't know what the earlier one ran.
	Generation uint64
	Customer   string
	Weight     int
	Pool       string
	Method     string
	Path       string
	// Chat identifies a chat within its customer. For services it is the
	// idempotency key, or empty.
	Chat string
	// Key is the caller's idempotency key.
	Key         string
	ContentType string
	Priority    Priority
	// Timeout is the time that remains until the caller's deadline.
	Timeout time.Duration
	// Fingerprint is a hash of customer, path and body, or empty for services.
	Fingerprint string
	Body        []byte
	// Attach resumes a running exchange at Offset and never starts one. An agent
	// that doesn't know the ID refuses to start it later.
	Attach bool
	Offset int64
}

// FrameType is the type of a frame.
type FrameType uint8

// The frame types. A response is complete only after FrameEnd.
const (
	FrameKeepAlive FrameType = iota + 1
	FrameHead
	FrameData
	FrameEnd
	FrameFailure
)

// Frame is one message of a response.
type Frame struct {
	Type FrameType
	// Head is set if Type is FrameHead.
	Head *Head
	// Offset is the position of Data in the response.
	Offset int64
	Data   []byte
	// End is set if Type is FrameEnd.
	End *End
	// Failure is set if Type is FrameFailure.
	Failure *Failure
}

// Head starts a response.
type Head struct {
	ID          ID
	Status      int
	ContentType string
	// Server is the name of the backend server.
	Server string
	// Warm means that the engine found the chat in its prefix cache.
	Warm bool
	// Replayed means that the response comes from the ledger.
	Replayed bool
}

// End marks the end of a complete response.
type End struct {
	ID    ID
	Bytes int64
	Sum   uint64
}

// Failure ends an exchange whose response is incomplete.
type Failure struct {
	Kind   bronzerill.Kind
	Detail string
}

// Err returns the failure as an error.
func (f *Failure) Err() error { return bronzerill.Errorf(f.Kind, "%s", f.Detail) }

// NewFailure converts an error into a failure.
func NewFailure(err error) *Failure {
	var e *bronzerill.Error
	if errors.As(err, &e) {
		return &Failure{Kind: e.Kind, Detail: e.Detail}
	}
	return &Failure{Kind: bronzerill.KindInternal, Detail: err.Error()}
}

// DecodeOpen reads and validates an Open. It bounds the bytes that it reads.
func DecodeOpen(r io.Reader) (Open, error) {
	var open Open
	limited := &io.LimitedReader{R: r, N: maxOpenBytes}
	if err := msgpack.NewDecoder(limited).Decode(&open); err != nil {
		if kind := bronzerill.KindOf(err); kind != bronzerill.KindInternal {
			// The body can't be read now, whatever it holds.
			return Open{}, err
		}
		return Open{}, bronzerill.Errorf(bronzerill.KindBadRequest, "decode exchange: %v", err)
	}
	if len(open.Body) > MaxBodyBytes {
		return Open{}, bronzerill.Errorf(bronzerill.KindBodyTooLarge, "body is larger than %d bytes", MaxBodyBytes)
	}
	if open.ID.Request == "" || open.ID.Attempt == "" {
		return Open{}, bronzerill.Errorf(bronzerill.KindBadRequest, "exchange has no id")
	}
	if open.Priority > PriorityBatch {
		return Open{}, bronzerill.Errorf(bronzerill.KindBadRequest, "exchange has unknown priority %d", open.Priority)
	}
	return open, nil
}

// NewEncoder returns an encoder for the protocol's messages. It encodes structs as
// arrays without field names.
func NewEncoder(w io.Writer) *msgpack.Encoder {
	e := msgpack.NewEncoder(w)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	return e
}

// NewDecoder returns a decoder for the protocol's messages.
func NewDecoder(r io.Reader) *msgpack.Decoder { return msgpack.NewDecoder(r) }

// Checker verifies that the frames of a response are complete, in order, and belong
// to the request.
type Checker struct {
	id      ID
	offset  int64
	sum     *xxhash.Digest
	hasHead bool
}

// NewChecker returns a checker for the response to an ID.
func NewChecker(id ID) *Checker { return &Checker{id: id, sum: xxhash.New()} }

// Offset returns the number of response bytes checked so far.
func (c *Checker) Offset() int64 { return c.offset }

// HasHead reports whether the response head has been received.
func (c *Checker) HasHead() bool { return c.hasHead }

// Check checks a frame and returns its new bytes. It skips bytes that a resumed
// stream repeats.
func (c *Checker) Check(f *Frame) ([]byte, error) {
	switch f.Type {
	case FrameHead:
		if f.Head == nil || f.Head.ID != c.id {
			return nil, bronzerill.Errorf(bronzerill.KindCrossed, "response head belongs to another request")
		}
		// Agents and ledgers of earlier versions passed any status on.
		if !httpresponse.IsFinal(f.Head.Status) {
			return nil, bronzerill.Errorf(bronzerill.KindServerFailed, "response has invalid status %d", f.Head.Status)
		}
		c.hasHead = true
		return nil, nil
	case FrameData:
		return c.checkData(f)
	case FrameEnd:
		return nil, c.checkEnd(f.End)
	case FrameFailure:
		if f.Failure == nil {
			return nil, bronzerill.Errorf(bronzerill.KindInternal, "failure frame has no failure")
		}
		return nil, f.Failure.Err()
	case FrameKeepAlive:
		return nil, nil
	}
	return nil, bronzerill.Errorf(bronzerill.KindInternal, "unknown frame type %d", f.Type)
}

func (c *Checker) checkData(f *Frame) ([]byte, error) {
	if !c.hasHead || f.Offset > c.offset {
		return nil, bronzerill.Errorf(bronzerill.KindTruncated, "response continues at byte %d after byte %d", f.Offset, c.offset)
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
		return bronzerill.Errorf(bronzerill.KindCrossed, "response end belongs to another request")
	case !c.hasHead || end.Bytes != c.offset:
		return bronzerill.Errorf(bronzerill.KindTruncated, "response has %d of %d bytes", c.offset, end.Bytes)
	case end.Sum != c.sum.Sum64():
		return bronzerill.Errorf(bronzerill.KindCrossed, "response checksum does not match")
	}
	return nil
}

// HeaderSecret is the HTTP header with the secret that all processes of the fleet
// share.
const HeaderSecret = "Bronzerill-Secret"

// Authorize sets the shared secret in a request's header.
func Authorize(r *http.Request, secret string) { r.Header.Set(HeaderSecret, secret) }
