package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	standin "bronzerill/internal/standin/engine"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
)

// harness is a runner with a stand-in engine.
type harness struct {
	engine    *standin.Engine
	runner    *Runner
	mu        sync.Mutex
	coldCount int
	leaving   bool
	crashed   []string
}

func newHarness(t *testing.T, cfg standin.Config) *harness {
	cfg.Listen = "127.0.0.1:0"
	cfg.CacheEntries = 64
	e, listener, err := standin.New(cfg)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx, listener) })
	t.Cleanup(func() {
		stop()
		assert.NoError(t, group.Wait())
	})
	h := &harness{engine: e}
	changes := bronzerill.Changes{Pools: []bronzerill.Pool{{Name: "bronze-guides", Kind: bronzerill.PoolEngine, EchoesRequestID: true}}}
	view := &control.View{Config: (&bronzerill.Config{}).WithChanges(changes)}
	client := NewClient(ClientConfig{Base: "http://" + e.Addr(), Clock: time.Now})
	t.Cleanup(client.Close)
	h.runner = NewRunner(RunnerConfig{
		Client:    client,
		Pool:      "bronze-guides",
		View:      func() *control.View { return view },
		Clock:     time.Now,
		Log:       hclog.NewNullLogger(),
		OnCold:    func() { h.mu.Lock(); h.coldCount++; h.mu.Unlock() },
		OnSlots:   func(int) {},
		OnLeaving: func(leaving bool) { h.mu.Lock(); h.leaving = leaving; h.mu.Unlock() },
		OnDown:    func(bool) {},
		OnCrash: func(_ context.Context, crashed string) {
			h.mu.Lock()
			h.crashed = append(h.crashed, crashed)
			h.mu.Unlock()
		},
	})
	h.runner.Poll(t.Context())
	return h
}

func (h *harness) coldStarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.coldCount
}

// sink records a response.
type sink struct {
	strings.Builder
	status int
	warm   bool
}

func (s *sink) WriteHead(status int, _ string, warm, _ bool) { s.status, s.warm = status, warm }

func chatBody(text, chat string) []byte {
	// Every value is plain data, so encoding can't fail.
	data, _ := json.Marshal(map[string]any{"model": "guide", "stream": true, "prompt_cache_key": chat, "max_tokens": 10, "messages": text})
	return data
}

func chatOpen(request string, body []byte) exchange.Open {
	return exchange.Open{
		ID: exchange.ID{Request: request, Attempt: "1"}, Customer: "hotel-serra", Chat: "family-7",
		Path: "/v1/chat/completions", ContentType: "application/json", Body: body,
	}
}

func warmEngine() standin.Config { return standin.Config{Slots: 8, ColdSlots: 8} }

func TestEngineResponses(t *testing.T) {
	cases := []struct {
		name string
		text string
		want bronzerill.Kind
	}{
		{"complete", "hello", bronzerill.KindNone},
		{"interrupted and resumed", standin.MarkCut, bronzerill.KindNone},
		{"response of another request", standin.MarkCross, bronzerill.KindCrossed},
		{"ended without the done marker", standin.MarkEarlyEnd, bronzerill.KindServerFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, warmEngine())
			body := chatBody(c.text, "family-7")
			s := &sink{}
			err := h.runner.Run(t.Context(), chatOpen("r1", body), s)
			assert.Equal(t, c.want.String(), bronzerill.KindOf(err).String(), "%v", err)
			if err != nil {
				assert.NotContains(t, s.String(), "[DONE]", "a failed response must not look complete")
				return
			}
			for n := range 10 {
				assert.Equal(t, 1, strings.Count(s.String(), standin.Token(body, n)))
			}
			assert.True(t, strings.HasSuffix(s.String(), "data: [DONE]\n\n"))
			assert.Equal(t, 1, h.engine.Stats().Runs[string(body)], "the stream is resumed and not sent again")
		})
	}
}

// The new process, maybe of another version, offers to go on with the stream.
func TestStreamIsNotResumedAtAnotherEngineProcess(t *testing.T) {
	const (
		oldEvent = `data: {"id":"r1.1","choices":[{"index":0}]}` + "\n\n"
		newEvent = `data: {"id":"r1.1","choices":[{"index":1}]}` + "\n\n"
	)
	var restarted atomic.Bool
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == pathLoad:
			generation := "1"
			if restarted.Load() {
				generation = "2"
			}
			assert.NoError(t, json.NewEncoder(w).Encode(Load{Generation: generation, Slots: 8}))
		case r.Method == http.MethodGet:
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, newEvent+"data: [DONE]\n\n")
		default:
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, oldEvent)
			_ = http.NewResponseController(w).Flush()
			restarted.Store(true)
			panic(http.ErrAbortHandler)
		}
	}))
	defer engine.Close()
	h := newHarness(t, warmEngine())
	h.runner.cfg.Client = NewClient(ClientConfig{Base: engine.URL, Clock: time.Now})
	defer h.runner.cfg.Client.Close()
	h.runner.Poll(t.Context())
	s := &sink{}
	err := h.runner.Run(t.Context(), chatOpen("r1", chatBody("hello", "family-7")), s)
	require.Equal(t, bronzerill.KindServerFailed, bronzerill.KindOf(err), "%v", err)
	require.Equal(t, oldEvent, s.String())
}

func TestUnreachableEngineReportsNotRun(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	r := NewRunner(RunnerConfig{Client: NewClient(ClientConfig{Base: server.URL, Clock: time.Now}), Clock: time.Now, View: func() *control.View { return &control.View{Config: &bronzerill.Config{}} }})
	err := r.Run(t.Context(), chatOpen("r1", nil), &sink{})
	assert.Equal(t, bronzerill.KindUnreachable, bronzerill.KindOf(err))
}

// TestCrashHoldsBackFailedResponse checks that a failed request returns only after
// the crash of its engine has been reported. A caller that got the error
// earlier could retry the request before the agents know it as a suspect.
func TestCrashHoldsBackFailedResponse(t *testing.T) {
	cfg := warmEngine()
	cfg.RestartDelay = 10 * time.Millisecond
	h := newHarness(t, cfg)
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			h.runner.Poll(ctx)
			time.Sleep(5 * time.Millisecond)
		}
		return nil
	})
	err := h.runner.Run(t.Context(), chatOpen("r1", chatBody(standin.MarkCrash, "x")), &sink{})
	h.mu.Lock()
	crashed := append([]string(nil), h.crashed...)
	h.mu.Unlock()
	stop()
	require.NoError(t, group.Wait())
	assert.Equal(t, bronzerill.KindServerFailed, bronzerill.KindOf(err))
	assert.Equal(t, []string{"1"}, crashed, "the crash is reported once, before the request fails")
	assert.Equal(t, 1, h.engine.Stats().Crashes)
}

func TestColdStartIsDetectedByCacheMisses(t *testing.T) {
	h := newHarness(t, warmEngine())
	chat := func(request string) *sink {
		s := &sink{}
		require.NoError(t, h.runner.Run(t.Context(), chatOpen(request, chatBody("hello "+request, "family-7")), s))
		return s
	}
	started := h.coldStarts()
	chat("r1")
	assert.True(t, chat("r2").warm)
	for n := range missesToCold {
		h.engine.TurnCold()
		assert.Equal(t, started, h.coldStarts())
		chat(string(rune('a' + n)))
	}
	assert.Equal(t, started+1, h.coldStarts())
}

func TestMonitor(t *testing.T) {
	now := time.Now()
	m := &Monitor{}
	assert.Equal(t, StateChange{Cold: true}, m.RecordLoad(now, Load{Generation: "1"}))
	assert.Equal(t, StateChange{}, m.RecordLoad(now, Load{Generation: "1"}))
	assert.Equal(t, StateChange{Crashed: true, Cold: true, Down: true}, m.RecordFailure(true))
	assert.True(t, m.HasCrashed("1"))
	assert.Equal(t, StateChange{Down: true}, m.RecordFailure(true), "a crash is reported once")
	assert.Equal(t, StateChange{Cold: true}, m.RecordLoad(now, Load{Generation: "2"}))
	assert.Equal(t, StateChange{Cold: true, Crashed: true}, m.RecordLoad(now, Load{Generation: "3"}), "a restart between two reports is a crash")
	assert.Equal(t, StateChange{}, m.RecordFailure(false))
	assert.Equal(t, StateChange{}, m.RecordFailure(false))
	assert.Equal(t, StateChange{Down: true}, m.RecordFailure(false), "missing reports are not a crash")
}

func TestOrdersAreFenced(t *testing.T) {
	cfg := warmEngine()
	cfg.ChecksFencing = true
	h := newHarness(t, cfg)
	client := h.runner.cfg.Client
	require.NoError(t, client.SendOrder(t.Context(), Order{Fencing: 5, Action: "load", Value: "guide-v2"}))
	err := client.SendOrder(t.Context(), Order{Fencing: 4, Action: "load", Value: "guide-v1"})
	assert.Equal(t, bronzerill.KindStaleOrder, bronzerill.KindOf(err))
	assert.Equal(t, []string{"5 load guide-v2"}, h.engine.Stats().Orders)
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"chatcmpl-r1.1\"}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":3}\n"))
	f.Add([]byte(": comment\n\ndata:[DONE]\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		var out strings.Builder
		e := &eventCopier{requestID: "r1.1", sink: &out}
		err := e.copy(strings.NewReader(string(stream)))
		if err == nil {
			assert.True(t, e.done)
			assert.True(t, strings.HasSuffix(out.String(), "data: [DONE]\n\n"))
		}
		assert.LessOrEqual(t, e.offset, int64(len(stream)))
	})
}

// TestSlotIsHeldUntilEndOfResponse checks that a request ends only at the end of
// the body. The engine may free the slot after the done marker.
func TestSlotIsHeldUntilEndOfResponse(t *testing.T) {
	var freed atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {\"id\":\"x\"}\n\ndata: [DONE]\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		freed.Store(true)
	}))
	defer server.Close()
	view := &control.View{Config: &bronzerill.Config{}}
	r := NewRunner(RunnerConfig{Client: NewClient(ClientConfig{Base: server.URL, Clock: time.Now}), Clock: time.Now, View: func() *control.View { return view }})
	require.NoError(t, r.Run(t.Context(), chatOpen("r1", nil), &sink{}))
	assert.True(t, freed.Load())
}

func TestEngineThatReportsItLeaves(t *testing.T) {
	h := newHarness(t, standin.Config{Slots: 8, ColdSlots: 8, RestartDelay: 10 * time.Millisecond})
	leaving := func() bool {
		h.runner.Poll(t.Context())
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.leaving
	}
	require.False(t, leaving())
	h.engine.Leave()
	require.True(t, leaving())
	h.engine.Crash()
	require.Eventually(t, func() bool { return !leaving() }, 5*time.Second, 10*time.Millisecond, "the next process doesn't leave")
}
