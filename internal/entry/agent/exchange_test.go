package agent

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/agent/admission"
	"bronzerill/internal/agent/entry"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
)

const (
	agentAddr  = "10.0.0.1:9000"
	testSecret = "secret-of-this-test"
	testTokens = 200
)

// fleetOfOne is one agent process with a runner that counts what it ran.
type fleetOfOne struct {
	network *network
	server  *entry.Server
	web     *http.Server
	mu      sync.Mutex
	runs    map[string]int
	// canceled counts the runs whose context ended early.
	canceled int
	stop     context.CancelFunc
	group    *errgroup.Group
}

func token(request string, n int) string { return fmt.Sprintf("%s-%d ", request, n) }

func wholeAnswer(request string) string {
	var text strings.Builder
	for n := range testTokens {
		text.WriteString(token(request, n))
	}
	return text.String()
}

func (f *fleetOfOne) run(ctx context.Context, o exchange.Open, sink entry.Sink) error {
	f.mu.Lock()
	f.runs[o.ID.Request]++
	f.mu.Unlock()
	sink.WriteHead(http.StatusOK, "text/event-stream", false, false)
	for n := range testTokens {
		if _, err := sink.Write([]byte(token(o.ID.Request, n))); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			f.mu.Lock()
			f.canceled++
			f.mu.Unlock()
			return bronzerill.Errorf(bronzerill.KindCanceled, "stopped")
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

func testView() *control.View {
	changes := bronzerill.Changes{Pools: []bronzerill.Pool{{
		Name: "bronze-guides", Kind: bronzerill.PoolEngine, LoadMultiple: 2, Slots: 8, FloorSlots: 8, ColdSlots: 8, RampStep: 1,
	}}}
	return &control.View{Config: (&bronzerill.Config{}).WithChanges(changes), LeaseUntil: time.Now().Add(time.Hour)}
}

// startFleet starts the agent process of a generation.
func startFleet(n *network, generation uint64) *fleetOfOne {
	ctx, stop := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	f := &fleetOfOne{network: n, runs: make(map[string]int), stop: stop, group: group}
	view := testView()
	f.server = entry.NewServer(ctx, group, entry.ServerConfig{
		Name: "server-1", Secret: testSecret, Runner: entry.RunnerFunc(f.run), Clock: time.Now, Log: hclog.NewNullLogger(),
		View: func() *control.View { return view }, Generation: func() uint64 { return generation }, Pool: "bronze-guides", Zone: "gramado",
	})
	f.web = &http.Server{Handler: f.server.Handler()}
	l := n.listen(agentAddr)
	group.Go(func() error { return f.server.Run(ctx) })
	group.Go(func() error { _ = f.web.Serve(l); return nil })
	return f
}

// close ends the process as a kill does: its connections go first, so that it
// has no last word.
func (f *fleetOfOne) close() {
	_ = f.web.Close()
	f.stop()
	_ = f.group.Wait()
}

// startPair starts an agent process and a client over a network with faults.
func startPair(faults ...fault) (n *network, f *fleetOfOne, client *Client, stop func()) {
	n = newNetwork(faults...)
	f = startFleet(n, 1)
	client = NewClient(ClientConfig{Secret: testSecret, Dialer: n})
	return n, f, client, func() {
		client.Close()
		f.close()
	}
}

// text is an Output that keeps the answer.
type text struct {
	mu   sync.Mutex
	head *exchange.Head
	body strings.Builder
	// failAfter breaks the caller's connection; zero means never.
	failAfter int
}

func (o *text) WriteHead(h *exchange.Head) error { o.head = h; return nil }

func (o *text) WriteData(p []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.body.Write(p)
	if o.failAfter > 0 && o.body.Len() > o.failAfter {
		return fmt.Errorf("caller hung up")
	}
	return nil
}

func testOpen(request string) exchange.Open {
	return exchange.Open{
		ID: exchange.ID{Request: request, Attempt: "1"}, Server: "server-1", Generation: 1, Customer: "hotel-serra", Weight: 1,
		Pool: "bronze-guides", Method: http.MethodPost, Path: "/v1/chat/completions", Timeout: time.Minute, Body: []byte("{}"),
	}
}

// TestResponseIsCompleteOverFaultyConnections cuts or silences the first connections at
// many steps. The answer must be whole, and have run once.
func TestResponseIsCompleteOverFaultyConnections(t *testing.T) {
	type bad struct {
		name   string
		faults []fault
	}
	var cases []bad
	for at := 1; at < 9000; at += 233 {
		cases = append(cases,
			bad{fmt.Sprintf("cut at %d", at), []fault{{cutAfter: at}}},
			bad{fmt.Sprintf("silent at %d", at), []fault{{silentAfter: at}}},
			bad{fmt.Sprintf("cut at %d, then silent", at), []fault{{cutAfter: at}, {silentAfter: at}}},
			bad{fmt.Sprintf("silent at %d, then cut twice", at), []fault{{silentAfter: at}, {cutAfter: at / 2}, {cutAfter: at}}},
		)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, f, client, stop := startPair(c.faults...)
				defer stop()
				out := &text{}
				err := client.Exchange(t.Context(), agentAddr, testOpen("r1"), out)
				assert.LessOrEqual(t, f.runs["r1"], 1)
				if err != nil {
					// Lost before the agent had read it: nothing ran, and that
					// is what the entry must say.
					assert.Equal(t, bronzerill.KindAborted, bronzerill.KindOf(err), "%v", err)
					assert.Zero(t, f.runs["r1"])
					return
				}
				assert.Equal(t, wholeAnswer("r1"), out.body.String())
			})
		})
	}
}

// TestTruncatedResponseIsReported cuts every connection: the entry must report
// the answer as cut off, never as whole.
func TestTruncatedResponseIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, f, client, stop := startPair(fault{cutAfter: 900}, fault{cutAfter: 900}, fault{cutAfter: 900}, fault{cutAfter: 900}, fault{cutAfter: 900})
		defer stop()
		err := client.Exchange(t.Context(), agentAddr, testOpen("r1"), &text{})
		assert.Equal(t, bronzerill.KindTruncated, bronzerill.KindOf(err))
		assert.Equal(t, 1, f.runs["r1"])
	})
}

// TestAgentReplacedInFlight brings up a new process while the entry comes back.
// Only the old one knew whether the request ran, so the answer is unknown.
func TestAgentReplacedInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(fault{cutAfter: 2000})
		f := startFleet(n, 1)
		client := NewClient(ClientConfig{Secret: testSecret, Dialer: n})
		defer client.Close()
		var group errgroup.Group
		group.Go(func() error { return client.Exchange(t.Context(), agentAddr, testOpen("r1"), &text{}) })
		time.Sleep(100 * time.Millisecond)
		f.close()
		next := startFleet(n, 2)
		defer next.close()
		err := group.Wait()
		assert.Equal(t, bronzerill.KindAgentGone, bronzerill.KindOf(err), "%v", err)
		assert.NotEqual(t, bronzerill.RunNot, bronzerill.KindOf(err).Response().Run)
		assert.Zero(t, next.runs["r1"])
	})
}

// TestUnreachableHostIsReportedAsAgentGone loses the agent's whole instance without a word: no
// later connection gets an answer. The request may have been the cause, so the
// kind must be the one that makes it a suspect.
func TestUnreachableHostIsReportedAsAgentGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, client, stop := startPair(fault{silentAfter: 900})
		defer stop()
		var group errgroup.Group
		group.Go(func() error { return client.Exchange(t.Context(), agentAddr, testOpen("r1"), &text{}) })
		time.Sleep(100 * time.Millisecond)
		n.loseHost(agentAddr)
		err := group.Wait()
		assert.Equal(t, bronzerill.KindAgentGone, bronzerill.KindOf(err), "%v", err)
	})
}

func TestDeadlineReportsOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, client, stop := startPair()
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		err := client.Exchange(ctx, agentAddr, testOpen("r1"), &text{})
		assert.Equal(t, bronzerill.KindOutcomeUnknown, bronzerill.KindOf(err), "%v", err)
	})
}

func TestRefusedConnectionReportsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientConfig{Secret: testSecret, Dialer: newNetwork()})
		defer client.Close()
		err := client.Exchange(t.Context(), agentAddr, testOpen("r1"), &text{})
		assert.Equal(t, bronzerill.KindUnreachable, bronzerill.KindOf(err))
		assert.Equal(t, bronzerill.RunNot, bronzerill.KindOf(err).Response().Run)
	})
}

// TestLateRequestAfterAttachIsRefused sends the request itself after an attach for
// it was told that it never ran.
func TestLateRequestAfterAttachIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, f, client, stop := startPair()
		defer stop()
		attach := testOpen("r1")
		attach.Attach = true
		assert.Equal(t, bronzerill.KindAborted, bronzerill.KindOf(client.Exchange(t.Context(), agentAddr, attach, &text{})))
		assert.Equal(t, bronzerill.KindAborted, bronzerill.KindOf(client.Exchange(t.Context(), agentAddr, testOpen("r1"), &text{})))
		assert.Zero(t, f.runs["r1"])
	})
}

func TestDuplicateRequestRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, f, client, stop := startPair()
		defer stop()
		var group errgroup.Group
		outs := [3]text{}
		for i := range outs {
			group.Go(func() error { return client.Exchange(t.Context(), agentAddr, testOpen("r1"), &outs[i]) })
		}
		assert.NoError(t, group.Wait())
		assert.Equal(t, 1, f.runs["r1"])
		for i := range outs {
			assert.Equal(t, wholeAnswer("r1"), outs[i].body.String())
		}
	})
}

func TestCallerDisconnectCancelsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, f, client, stop := startPair()
		defer stop()
		err := client.Exchange(t.Context(), agentAddr, testOpen("r1"), &text{failAfter: 300})
		assert.Equal(t, bronzerill.KindCanceled, bronzerill.KindOf(err))
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, 1, f.canceled)
	})
}

// TestDrainFinishesRunningRequests refuses new work at once and cuts nothing.
func TestDrainFinishesRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, f, client, stop := startPair()
		defer stop()
		out := &text{}
		var group errgroup.Group
		group.Go(func() error { return client.Exchange(t.Context(), agentAddr, testOpen("r1"), out) })
		time.Sleep(500 * time.Millisecond)
		f.server.WithGate(func(g *admission.Gate) { g.Drain() })
		err := client.Exchange(t.Context(), agentAddr, testOpen("r2"), &text{})
		assert.Equal(t, bronzerill.KindLeaving, bronzerill.KindOf(err))
		assert.Zero(t, f.runs["r2"])
		assert.True(t, f.server.Busy())
		assert.NoError(t, group.Wait())
		assert.Equal(t, wholeAnswer("r1"), out.body.String())
	})
}

func TestWrongSecretIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		f := startFleet(n, 1)
		defer f.close()
		client := NewClient(ClientConfig{Secret: "another-secret-here", Dialer: n})
		defer client.Close()
		err := client.Exchange(t.Context(), agentAddr, testOpen("r1"), &text{})
		assert.Equal(t, bronzerill.RunNot, bronzerill.KindOf(err).Response().Run)
		assert.Zero(t, f.runs["r1"])
	})
}

// TestConnectionIsReused runs exchanges one after the other over one connection,
// whether they are answered or refused.
func TestConnectionIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, client, stop := startPair()
		defer stop()
		for i := range 5 {
			assert.NoError(t, client.Exchange(t.Context(), agentAddr, testOpen(fmt.Sprint("r", i)), &text{}))
			refused := testOpen(fmt.Sprint("refused-", i))
			refused.Server = "another"
			assert.Error(t, client.Exchange(t.Context(), agentAddr, refused, &text{}))
		}
		assert.Equal(t, 1, n.dials)
	})
}
