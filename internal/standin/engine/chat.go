package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request holds the fields of a chat completion request that the engine reads.
type request struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Messages  json.RawMessage `json:"messages"`
	CacheKey  string          `json:"prompt_cache_key"`
	MaxTokens int             `json:"max_tokens"`
}

// stream is one response. It is built completely when the request arrives, and sent at
// the engine's token rate.
type stream struct {
	chunks   []string
	canceled atomic.Bool
	// cut closes the connection once, in the middle of the stream.
	cut atomic.Bool
}

// Token returns the text of the nth token in the response to a request body. It depends
// on the whole body, so that a response to another request is detected.
func Token(body []byte, n int) string {
	return fmt.Sprintf("%08x-%d ", crc32.ChecksumIEEE(body), n)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tokens := e.cfg.Tokens
	if req.MaxTokens > 0 {
		tokens = req.MaxTokens
	}
	crash, hit, ok := e.startRequest(string(body), req.CacheKey)
	defer e.endRequest(crash)
	if !ok || strings.Contains(string(body), MarkCrash) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if hit {
		w.Header().Set("X-Cache", "hit")
	}
	s := newStream(id, body, tokens, hit)
	e.mu.Lock()
	e.streams.Add(id, s)
	e.mu.Unlock()
	e.waitFirstToken(r.Context(), crash, hit)
	if !req.Stream {
		writeJSON(w, completion(id, body, tokens))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.send(r.Context(), crash, w, s, 0)
}

// startRequest counts a request in. ok is false if the load crashes the engine.
func (e *Engine) startRequest(body, chat string) (crash chan struct{}, hit, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.peak = max(e.peak, e.running)
	if len(e.runs) < maxStreams {
		e.runs[body]++
	}
	if chat != "" {
		_, hit = e.cache.Get(chat)
		e.cache.Add(chat, true)
	}
	return e.crash, hit, e.toleratesLoad(time.Now())
}

// endRequest counts a request out, unless the process that ran it was replaced after a
// crash.
func (e *Engine) endRequest(crash chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crash == crash {
		e.running--
		e.answered++
	}
}

// waitFirstToken waits for the time to the first token.
func (e *Engine) waitFirstToken(ctx context.Context, crash chan struct{}, hit bool) {
	pause := e.cfg.FirstToken
	if hit {
		pause = e.cfg.CachedToken
	}
	sleep(ctx, crash, pause)
}

// sleep waits for d or until ctx ends. It aborts the request if the engine crashes.
func sleep(ctx context.Context, crash chan struct{}, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-crash:
		panic(http.ErrAbortHandler)
	case <-timer.C:
	}
}

// newStream builds the chunks of a streamed response and applies the fault markers in
// the body.
func newStream(id string, body []byte, tokens int, hit bool) *stream {
	text := string(body)
	if strings.Contains(text, MarkCross) {
		id = "another-request"
	}
	s := &stream{}
	s.cut.Store(strings.Contains(text, MarkCut))
	for n := range tokens {
		s.chunks = append(s.chunks, event(map[string]any{
			"id":      "chatcmpl-" + id,
			"object":  "chat.completion.chunk",
			"choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": Token(body, n)}}},
		}))
	}
	cached := 0
	if hit {
		cached = 1
	}
	s.chunks = append(s.chunks, event(map[string]any{
		"id":      "chatcmpl-" + id,
		"object":  "chat.completion.chunk",
		"choices": []any{},
		"usage":   map[string]any{"prompt_tokens_details": map[string]int{"cached_tokens": cached}},
	}))
	if !strings.Contains(text, MarkEarlyEnd) {
		s.chunks = append(s.chunks, "data: [DONE]\n\n")
	}
	return s
}

// event encodes a value as a server-sent event.
func event(value any) string {
	// All values are plain data, so encoding can't fail.
	data, _ := json.Marshal(value)
	return "data: " + string(data) + "\n\n"
}

// completion builds a response that is not streamed.
func completion(id string, body []byte, tokens int) map[string]any {
	var text strings.Builder
	for n := range tokens {
		text.WriteString(Token(body, n))
	}
	message := map[string]string{"role": "assistant", "content": text.String()}
	return map[string]any{"id": "chatcmpl-" + id, "object": "chat.completion", "choices": []any{map[string]any{"index": 0, "message": message}}}
}

// send writes the stream from a byte offset, at the engine's token rate.
func (e *Engine) send(ctx context.Context, crash chan struct{}, w http.ResponseWriter, s *stream, offset int) {
	controller := http.NewResponseController(w)
	position := 0
	for n, chunk := range s.chunks {
		start := max(0, offset-position)
		position += len(chunk)
		if start >= len(chunk) {
			continue
		}
		if n == len(s.chunks)/2 && s.cut.Swap(false) {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, chunk[start:]); err != nil || controller.Flush() != nil {
			return
		}
		if s.canceled.Load() || ctx.Err() != nil {
			return
		}
		if n < len(s.chunks)-1 {
			sleep(ctx, crash, e.cfg.TokenInterval)
		}
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	s, ok := e.streams.Get(r.PathValue("id"))
	crash := e.crash
	e.mu.Unlock()
	if err != nil || !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.send(r.Context(), crash, w, s, offset)
}

func (e *Engine) serveCancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams.Get(r.PathValue("id"))
	e.mu.Unlock()
	if ok {
		s.canceled.Store(true)
	}
}
