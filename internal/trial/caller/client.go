// Package caller is a caller of the fleet for trials: it sends chats and
// bookings and checks that each answer is whole and its own.
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

// maxAnswerBytes bounds what a trial reads.
const maxAnswerBytes = 64 << 20

// Client is one customer at one entry.
type Client struct {
	// Base is the HTTP address of an entry, or of an engine for a baseline.
	Base string
	Key  string
	HTTP *http.Client
	// ReadinessURL is the address by which a balancer would ask whether the entry is
	// ready; empty when nobody asks.
	ReadinessURL string
}

// IsReady asks as a balancer would.
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

// NewClient returns a client.
func NewClient(base, key string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &Client{Base: base, Key: key, HTTP: &http.Client{Transport: transport}}
}

// Chat is one chat request.
type Chat struct {
	Model string
	Chat  string
	Text  string
	// Tokens is the length of the answer; at least 1.
	Tokens  int
	Hint    string
	Timeout time.Duration
}

// Result sorts an answer.
type Result int

// The results of a request.
const (
	// Answered means whole, and this request's own.
	Answered Result = iota
	// RefusedNotRun means refused with the word that nothing ran.
	RefusedNotRun
	// Unknown means an error that leaves open whether it ran.
	Unknown
	// BrokenOff means that the connection ended visibly before the end.
	BrokenOff
	// Wrong means that an answer looked whole and was not this request's.
	Wrong
)

var resultNames = [...]string{"answered", "refused-not-run", "unknown", "broken-off", "wrong"}

// String returns the kebab-case name.
func (r Result) String() string { return resultNames[r] }

// Answer is what came back.
type Answer struct {
	Result   Result
	Status   int
	Kind     string
	Body     string
	Warm     bool
	Replayed bool
	Hint     string
	// FirstToken and Gaps are the times to the first token and between tokens.
	FirstToken time.Duration
	Gaps       []time.Duration
}

// body returns the request's JSON.
func (c Chat) body() ([]byte, error) {
	return json.Marshal(struct {
		Model     string              `json:"model"`
		Stream    bool                `json:"stream"`
		CacheKey  string              `json:"prompt_cache_key,omitempty"`
		MaxTokens int                 `json:"max_tokens"`
		Messages  []map[string]string `json:"messages"`
	}{c.Model, true, c.Chat, c.Tokens, []map[string]string{{"role": "user", "content": c.Text}}})
}

// Chat sends a chat and follows its stream.
func (cl *Client) Chat(ctx context.Context, c Chat) (Answer, error) {
	body, err := c.body()
	if err != nil {
		return Answer{}, errors.Wrap(err, "encode chat")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.Base+caller.PathChat, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "entry address")
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
		return Answer{Result: BrokenOff, Body: err.Error()}, nil
	}
	defer func() { _ = response.Body.Close() }()
	a := newAnswer(response)
	if response.StatusCode != http.StatusOK {
		return readRefusal(a, response)
	}
	readStream(&a, response.Body, startedAt, body, c.Tokens)
	return a, nil
}

func newAnswer(response *http.Response) Answer {
	return Answer{
		Status:   response.StatusCode,
		Kind:     response.Header.Get(caller.HeaderKind),
		Warm:     response.Header.Get(caller.HeaderWarm) != "" || response.Header.Get("X-Cache") == "hit",
		Replayed: response.Header.Get(caller.HeaderReplayed) != "",
		Hint:     response.Header.Get(caller.HeaderHint),
	}
}

func readRefusal(a Answer, response *http.Response) (Answer, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	a.Body = string(data)
	a.Result = Unknown
	if response.Header.Get(caller.HeaderRun) == "not-run" {
		a.Result = RefusedNotRun
	}
	return a, errors.Wrap(err, "read refusal")
}

// readStream reads the stream and compares it with the only right answer.
func readStream(a *Answer, stream io.Reader, startedAt time.Time, body []byte, tokens int) {
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

func streamResult(err error, done bool, received, tokens int) Result {
	switch {
	case !errors.Is(err, io.EOF):
		return BrokenOff
	case done && received == tokens:
		return Answered
	}
	return Wrong
}

// Book calls a service under an idempotency key.
func (cl *Client) Book(ctx context.Context, policy, path, key, body string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.Base+caller.PathServices+policy+path, strings.NewReader(body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "entry address")
	}
	request.Header.Set("Authorization", "Bearer "+cl.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(caller.HeaderIdempotencyKey, key)
	// The trial itself must not resend: no rewinding, no kept connection.
	request.GetBody = nil
	request.Close = true
	response, err := cl.HTTP.Do(request)
	if err != nil {
		return Answer{Result: BrokenOff, Body: err.Error()}, nil
	}
	defer func() { _ = response.Body.Close() }()
	a := newAnswer(response)
	if a.Kind != "" {
		return readRefusal(a, response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		a.Result = BrokenOff
		return a, nil
	}
	a.Body = string(data)
	return a, nil
}

// Fetch gets a JSON document, such as a stand-in's own counts.
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
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(value), "parse")
}

// Post sends an empty request, such as a fault for a stand-in.
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
		return errors.Errorf("%s answers %s", url, response.Status)
	}
	return nil
}
