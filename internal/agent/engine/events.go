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

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 1 << 20

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// chunk is the part of a chat completion that the agent looks at.
type chunk struct {
	ID    string `json:"id"`
	Usage *struct {
		PromptDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// events copies an event stream and checks it: that it ends with the closing
// mark, and that every chunk belongs to the request.
type events struct {
	// requestID must be part of every chunk's id; empty when the engine
	// doesn't echo it.
	requestID string
	// chunkID is the id of the first chunk, which all others share.
	chunkID string
	// offset counts the bytes taken so far, whole lines only.
	offset int64
	done   bool
	// cached counts the prompt tokens that the engine found in its cache.
	cached int
	sink   io.Writer
	// pending holds the lines of an event that isn't whole yet.
	pending bytes.Buffer
}

// copy takes lines until the stream ends. It returns nil both at the closing
// mark and at an early end; done tells them apart.
func (e *events) copy(body io.Reader) error {
	reader := bufio.NewReaderSize(body, 4096)
	for !e.done {
		line, err := readLine(reader)
		if err != nil {
			return err
		}
		if err := e.take(line); err != nil {
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
			return nil, bronzerill.Errorf(bronzerill.KindServerFailed, "event line over %d bytes", maxLineBytes)
		}
	}
}

func (e *events) take(line []byte) error {
	e.offset += int64(len(line))
	if payload, ok := bytes.CutPrefix(line, dataPrefix); ok {
		payload = bytes.TrimSpace(payload)
		if bytes.Equal(payload, doneMark) {
			e.done = true
			_, err := e.sink.Write([]byte("data: [DONE]\n\n"))
			return err
		}
		if err := e.check(payload); err != nil {
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

// check compares the chunk's id with the request's.
func (e *events) check(payload []byte) error {
	var c chunk
	if err := json.Unmarshal(payload, &c); err != nil {
		return bronzerill.Errorf(bronzerill.KindServerFailed, "event is no JSON: %v", err)
	}
	if c.Usage != nil {
		e.cached = c.Usage.PromptDetails.CachedTokens
	}
	if e.chunkID == "" {
		e.chunkID = c.ID
	}
	if c.ID != e.chunkID || !strings.Contains(c.ID, e.requestID) {
		return bronzerill.Errorf(bronzerill.KindCrossed, "a chunk of %q came to %q", c.ID, e.requestID)
	}
	return nil
}
