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

// bench is a runner before a stand-in engine.
type bench struct {
	engine *standin.Engine
	runner *Runner
	mu     sync.Mutex
	cold   int
	lost   []string
}

func newBench(t *testing.T, cfg standin.Config) *bench {
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
	b := &bench{engine: e}
	changes := bronzerill.Changes{Pools: []bronzerill.Pool{{Name: "bronze-guides", Kind: bronzerill.PoolEngine, EchoesRequestID: true}}}
	view := &control.View{Config: (&bronzerill.Config{}).WithChanges(changes)}
	client := NewClient("http://" + e.Addr())
	t.Cleanup(client.Close)
	b.runner = NewRunner(RunnerConfig{
		Client:  client,
		Pool:    "bronze-guides",
		View:    func() *control.View { return view },
		Clock:   time.Now,
		Log:     hclog.NewNullLogger(),
		OnCold:  func() { b.mu.Lock(); b.cold++; b.mu.Unlock() },
		OnSlots: func(int) {},
		OnDown:  func(bool) {},
		OnCrash: func(_ context.Context, lost string) { b.mu.Lock(); b.lost = append(b.lost, lost); b.mu.Unlock() },
	})
	b.runner.Poll(t.Context())
	return b
}

func (b *bench) coldStarts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cold
}

// sink keeps an answer.
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

func TestAnswersOfEngine(t *testing.T) {
	cases := []struct {
		name string
		text string
		want bronzerill.Kind
	}{
		{"whole", "hello", bronzerill.KindNone},
		{"cut and resumed", standin.MarkCut, bronzerill.KindNone},
		{"crossed", standin.MarkCross, bronzerill.KindCrossed},
		{"ended without its closing mark", standin.MarkEarlyEnd, bronzerill.KindServerFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, warmEngine())
			body := chatBody(c.text, "family-7")
			s := &sink{}
			err := b.runner.Run(t.Context(), chatOpen("r1", body), s)
			assert.Equal(t, c.want.String(), bronzerill.KindOf(err).String(), "%v", err)
			if err != nil {
				assert.NotContains(t, s.String(), "[DONE]", "an answer that isn't whole must not look so")
				return
			}
			for n := range 10 {
				assert.Equal(t, 1, strings.Count(s.String(), standin.Token(body, n)))
			}
			assert.True(t, strings.HasSuffix(s.String(), "data: [DONE]\n\n"))
			assert.Equal(t, 1, b.engine.Stats().Runs[string(body)], "resumed, not sent again")
		})
	}
}

func TestUnreachableEngineReportsNotRun(t *testing.T) {
	web := httptest.NewServer(nil)
	web.Close()
	r := NewRunner(RunnerConfig{Client: NewClient(web.URL), Clock: time.Now, View: func() *control.View { return &control.View{Config: &bronzerill.Config{}} }})
	err := r.Run(t.Context(), chatOpen("r1", nil), &sink{})
	assert.Equal(t, bronzerill.KindUnreachable, bronzerill.KindOf(err))
}

// TestCrashHoldsTheAnswerBack keeps the caller waiting until the crash has been
// reported, so that a resend finds the suspect known.
func TestCrashHoldsTheAnswerBack(t *testing.T) {
	cfg := warmEngine()
	cfg.RestartDelay = 10 * time.Millisecond
	b := newBench(t, cfg)
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			b.runner.Poll(ctx)
			time.Sleep(5 * time.Millisecond)
		}
		return nil
	})
	err := b.runner.Run(t.Context(), chatOpen("r1", chatBody(standin.MarkCrash, "x")), &sink{})
	b.mu.Lock()
	lost := append([]string(nil), b.lost...)
	b.mu.Unlock()
	stop()
	require.NoError(t, group.Wait())
	assert.Equal(t, bronzerill.KindServerFailed, bronzerill.KindOf(err))
	assert.Equal(t, []string{"1"}, lost, "the crash was reported once, before the answer")
	assert.Equal(t, 1, b.engine.Stats().Crashes)
}

func TestColdStartIsDetectedByCacheMisses(t *testing.T) {
	b := newBench(t, warmEngine())
	chat := func(request string) *sink {
		s := &sink{}
		require.NoError(t, b.runner.Run(t.Context(), chatOpen(request, chatBody("hello "+request, "family-7")), s))
		return s
	}
	started := b.coldStarts()
	chat("r1")
	assert.True(t, chat("r2").warm)
	for n := range missesToCold {
		b.engine.TurnCold()
		assert.Equal(t, started, b.coldStarts())
		chat(string(rune('a' + n)))
	}
	assert.Equal(t, started+1, b.coldStarts())
}

func TestMonitor(t *testing.T) {
	now := time.Now()
	w := &Monitor{}
	assert.Equal(t, StateChange{Cold: true}, w.RecordLoad(now, Load{Generation: "1"}))
	assert.Equal(t, StateChange{}, w.RecordLoad(now, Load{Generation: "1"}))
	assert.Equal(t, StateChange{Crashed: true, Cold: true, Down: true}, w.RecordFailure(true))
	assert.True(t, w.HasCrashed("1"))
	assert.Equal(t, StateChange{Down: true}, w.RecordFailure(true), "one crash is seen once")
	assert.Equal(t, StateChange{Cold: true}, w.RecordLoad(now, Load{Generation: "2"}))
	assert.Equal(t, StateChange{Cold: true, Crashed: true}, w.RecordLoad(now, Load{Generation: "3"}), "a quick restart is a crash too")
	assert.Equal(t, StateChange{}, w.RecordFailure(false))
	assert.Equal(t, StateChange{}, w.RecordFailure(false))
	assert.Equal(t, StateChange{Down: true}, w.RecordFailure(false), "silence is no proof of a crash")
}

func TestOrdersAreFenced(t *testing.T) {
	cfg := warmEngine()
	cfg.ChecksFencing = true
	b := newBench(t, cfg)
	client := b.runner.cfg.Client
	require.NoError(t, client.SendOrder(t.Context(), Order{Fencing: 5, Action: "load", Value: "guide-v2"}))
	err := client.SendOrder(t.Context(), Order{Fencing: 4, Action: "load", Value: "guide-v1"})
	assert.Equal(t, bronzerill.KindStaleOrder, bronzerill.KindOf(err))
	assert.Equal(t, []string{"5 load guide-v2"}, b.engine.Stats().Orders)
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"chatcmpl-r1.1\"}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":3}\n"))
	f.Add([]byte(": comment\n\ndata:[DONE]\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		var out strings.Builder
		e := &events{requestID: "r1.1", sink: &out}
		err := e.copy(strings.NewReader(string(stream)))
		if err == nil {
			assert.True(t, e.done)
			assert.True(t, strings.HasSuffix(out.String(), "data: [DONE]\n\n"))
		}
		assert.LessOrEqual(t, e.offset, int64(len(stream)))
	})
}

// TestSlotIsHeldUntilEndOfAnswer keeps a slot taken until the engine has
// given it free, which may be after the closing mark.
func TestSlotIsHeldUntilEndOfAnswer(t *testing.T) {
	var freed atomic.Bool
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {\"id\":\"x\"}\n\ndata: [DONE]\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		freed.Store(true)
	}))
	defer web.Close()
	view := &control.View{Config: &bronzerill.Config{}}
	r := NewRunner(RunnerConfig{Client: NewClient(web.URL), Clock: time.Now, View: func() *control.View { return view }})
	require.NoError(t, r.Run(t.Context(), chatOpen("r1", nil), &sink{}))
	assert.True(t, freed.Load())
}
