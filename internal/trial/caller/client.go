// Package caller is a client of the fleet for trials. It sends chats and bookings and
// checks that each response is complete and belongs to its request.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/entry/caller"
	"bronzerill/internal/standin/engine"
)

// maxResponseBytes bounds how much of a response a client reads.
const maxResponseBytes = 64 << 20

// Client sends the requests of one customer to one entry.
type Client struct {
	// Base is the HTTP address of an entry, or of an engine for a baseline.
	Base string
	Key  string
	HTTP *http.Client
	// ReadinessURL is the URL that a load balancer would poll; if it is empty, the entry
	// counts as ready.
	ReadinessURL string
}

// IsReady reports whether the entry is ready, as a load balancer would check it.
func (cl *Client) IsReady(ctx context.Context) bool {
	if cl.ReadinessURL == "" {
		return true
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, cl.ReadinessURL, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// NewClient returns a client that sends requests to base with an API key.
func NewClient(base, key string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &Client{Base: base, Key: key, HTTP: &http.Client{Transport: transport}}
}

// Chat is one chat request.
type Chat struct {
	Model string
	Chat  string
	Text  string
	// Tokens is the length of the response; at least 1.
	Tokens  int
	Hint    string
	Timeout time.Duration
}

// Result classifies the response to a request.
type Result int

// The results of a request.
const (
	// Answered means that the response was complete and belonged to the request.
	Answered Result = iota
	// RefusedNotRun means that the request was refused and reported as not run.
	RefusedNotRun
	// Unknown means an error after which the request may have run.
	Unknown
	// BrokenOff means that the connection failed before the end of the response.
	BrokenOff
	// Wrong means that the response ended without an error but was incomplete or belonged
	// to another request.
	Wrong
)

var resultNames = [...]string{"answered", "refused-not-run", "unknown", "broken-off", "wrong"}

// String returns the result in kebab case.
func (r Result) String() string { return resultNames[r] }

// Response is the response to a request.
type Response struct {
	Result   Result
	Status   int
	Kind     string
	Body     string
	Warm     bool
	Replayed bool
	Hint     string
	// FirstToken is the time to the first token, Gaps the times between tokens.
	FirstToken time.Duration
	Gaps       []time.Duration
}

// body returns the JSON body of the request.
func (c Chat) body() ([]byte, error) {
	return json.Marshal(struct {
		Model     string              `json:"model"`
		Stream    bool                `json:"stream"`
		CacheKey  string              `json:"prompt_cache_key,omitempty"`
		MaxTokens int                 `json:"max_tokens"`
		Messages  []map[string]string `json:"messages"`
	}{c.Model, true, c.Chat, c.Tokens, []map[string]string{{"role": "user", "content": c.Text}}})
}

// Chat sends a chat and reads its response. A failed connection is a result, not an
// error.
func (cl *Client) Chat(ctx context.Context, c Chat) (Response, error) {
	body, err := c.body()
	if err != nil {
		return Response{}, errors.Wrap(err, "encode chat")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.Base+caller.PathChat, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+cl.Key)
	if c.Hint != "" {
		request.Header.Set(caller.HeaderHint, c.Hint)
	}
	if c.Timeout > 0 {
		request.Header.Set(caller.HeaderTimeout, c.Timeout.String())
	}
	startedAt := time.Now()
	response, err := cl.HTTP.Do(request)
	if err != nil {
		return Response{Result: BrokenOff, Body: err.Error()}, nil
	}
	defer func() { _ = response.Body.Close() }()
	a := newResponse(response)
	if response.StatusCode != http.StatusOK {
		return readRefusal(a, response)
	}
	readStream(&a, response.Body, startedAt, body, c.Tokens)
	return a, nil
}

// newResponse returns a Response with the status and the headers of a response.
func newResponse(response *http.Response) Response {
	return Response{
		Status:   response.StatusCode,
		Kind:     response.Header.Get(caller.HeaderKind),
		Warm:     response.Header.Get(caller.HeaderWarm) != "" || response.Header.Get("X-Cache") == "hit",
		Replayed: response.Header.Get(caller.HeaderReplayed) != "",
		Hint:     response.Header.Get(caller.HeaderHint),
	}
}

// readRefusal reads an error response.
func readRefusal(a Response, response *http.Response) (Response, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	a.Body = string(data)
	a.Result = Unknown
	if response.Header.Get(caller.HeaderRun) == "not-run" {
		a.Result = RefusedNotRun
	}
	return a, errors.Wrap(err, "read error response")
}

// readStream reads a stream and compares its tokens with those expected for the request
// body.
func readStream(a *Response, stream io.Reader, startedAt time.Time, body []byte, tokens int) {
	reader := bufio.NewReader(stream)
	lastAt := startedAt
	received := 0
	done := false
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			a.Result = streamResult(err, done, received, tokens)
			return
		}
		payload, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case strings.TrimSpace(payload) == "[DONE]":
			done = true
		case strings.Contains(payload, engine.Token(body, received)):
			now := time.Now()
			if received == 0 {
				a.FirstToken = now.Sub(startedAt)
			} else {
				a.Gaps = append(a.Gaps, now.Sub(lastAt))
			}
			lastAt = now
			received++
		case strings.Contains(payload, `"content"`):
			a.Result = Wrong
			a.Body = payload
			return
		}
	}
}

// streamResult returns the result of a stream whose last read returned err.
func streamResult(err error, done bool, received, tokens int) Result {
	switch {
	case !errors.Is(err, io.EOF):
		return BrokenOff
	case done && received == tokens:
		return Answered
	}
	return Wrong
}

// Book sends a request to a service with an idempotency key. A failed connection is a
// result, not an error.
func (cl *Client) Book(ctx context.Context, policy, path, key, body string) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.Base+caller.PathServices+policy+path, strings.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+cl.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(caller.HeaderIdempotencyKey, key)
	// Prevents the HTTP client from resending the request: the body can't be rewound and
	// the connection isn't reused.
	request.GetBody = nil
	request.Close = true
	response, err := cl.HTTP.Do(request)
	if err != nil {
		return Response{Result: BrokenOff, Body: err.Error()}, nil
	}
	defer func() { _ = response.Body.Close() }()
	a := newResponse(response)
	if a.Kind != "" {
		return readRefusal(a, response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		a.Result = BrokenOff
		return a, nil
	}
	a.Body = string(data)
	return a, nil
}

// Fetch reads a JSON document, such as the counts of a stand-in.
func Fetch(ctx context.Context, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(value), "parse")
}

// Post sends an empty POST request, for example to trigger a fault in a stand-in.
func Post(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "post")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s returned %s", url, response.Status)
	}
	return nil
}
