package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"

	"bronzerill"
)

// maxLineBytes limits the length of a line of an event stream, and of an event
// that is held back until it is complete.
const maxLineBytes = 1 << 20

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// chunk holds the fields of a chat completion chunk that the agent reads.
type chunk struct {
	ID    string `json:"id"`
	Usage *struct {
		PromptDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// eventCopier copies an event stream to the sink. It checks that the stream
// ends with the done marker and that every chunk belongs to the request.
type eventCopier struct {
	// requestID must be a part of the id of every chunk. It is empty if the
	// engine doesn't echo it.
	requestID string
	// chunkID is the id of the first chunk. All other chunks must have it too.
	chunkID string
	// offset counts the bytes of the lines processed so far.
	offset int64
	done   bool
	// cachedTokens is the number of prompt tokens that the engine found in its
	// cache.
	cachedTokens int
	sink         io.Writer
	// pending holds the lines of an incomplete event.
	pending bytes.Buffer
}

// copy processes the lines of the body. It returns nil after the done marker,
// and an error if the body ends before it.
func (e *eventCopier) copy(body io.Reader) error {
	reader := bufio.NewReaderSize(body, 4096)
	for !e.done {
		line, err := readLine(reader)
		if err != nil {
			return err
		}
		if err := e.processLine(line); err != nil {
			return err
		}
	}
	return nil
}

func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(line) > maxLineBytes {
			return nil, bronzerill.Errorf(bronzerill.KindServerFailed, "event line exceeds %d bytes", maxLineBytes)
		}
	}
}

// processLine checks a line and writes each complete event to the sink. A
// pending event that has reached maxLineBytes is written early, to bound the
// memory.
func (e *eventCopier) processLine(line []byte) error {
	e.offset += int64(len(line))
	if payload, ok := bytes.CutPrefix(line, dataPrefix); ok {
		payload = bytes.TrimSpace(payload)
		if bytes.Equal(payload, doneMarker) {
			e.done = true
			_, err := e.sink.Write([]byte("data: [DONE]\n\n"))
			return err
		}
		if err := e.checkChunk(payload); err != nil {
			return err
		}
	}
	e.pending.Write(line)
	if len(bytes.TrimSpace(line)) > 0 && e.pending.Len() < maxLineBytes {
		return nil
	}
	_, err := e.sink.Write(e.pending.Bytes())
	e.pending.Reset()
	return err
}

// checkChunk compares the id of the chunk with the ids of the first chunk and
// the request.
func (e *eventCopier) checkChunk(payload []byte) error {
	var c chunk
	if err := json.Unmarshal(payload, &c); err != nil {
		return bronzerill.Errorf(bronzerill.KindServerFailed, "event is not valid JSON: %v", err)
	}
	if c.Usage != nil {
		e.cachedTokens = c.Usage.PromptDetails.CachedTokens
	}
	if e.chunkID == "" {
		e.chunkID = c.ID
	}
	if c.ID != e.chunkID || !strings.Contains(c.ID, e.requestID) {
		return bronzerill.Errorf(bronzerill.KindCrossed, "received chunk %q for request %q", c.ID, e.requestID)
	}
	return nil
}
