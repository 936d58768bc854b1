package entry

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/memory"
)

// Guards against an agent that stops although an entry, whose connection broke, has yet to fetch
// the response of a request that ran.
func TestAgentIsBusyUntilFinishedResponseIsFetched(t *testing.T) {
	tests := []struct {
		name string
		// canceled is set if the entry cancels the exchange.
		canceled bool
		busy     bool
	}{
		{"connection broke", false, true},
		{"entry canceled", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			group, ctx := errgroup.WithContext(ctx)
			finish := make(chan struct{})
			changes := bronzerill.Changes{Pools: []bronzerill.Pool{{
				Name: "desk", Kind: bronzerill.PoolEngine, LoadMultiple: 2, Slots: 8, FloorSlots: 8, ColdSlots: 8, RampStep: 1,
			}}}
			view := &control.View{Config: (&bronzerill.Config{}).WithChanges(changes), LeaseUntil: time.Now().Add(time.Hour)}
			s := NewServer(ctx, group, ServerConfig{
				Name: "server-1", Clock: time.Now, Log: hclog.NewNullLogger(), Pool: "desk", Zone: "gramado",
				View: func() *control.View { return view }, Generation: func() uint64 { return 1 },
				Runner: RunnerFunc(func(_ context.Context, _ exchange.Open, sink Sink) error {
					<-finish
					sink.WriteHead(http.StatusOK, "", false, false)
					_, err := sink.Write([]byte("answer"))
					return err
				}),
			})
			server := httptest.NewServer(s.Handler())
			defer func() {
				server.Close()
				stop()
				require.NoError(t, group.Wait())
			}()
			open := exchange.Open{ID: exchange.ID{Request: "r", Attempt: "1"}, Server: "server-1", Pool: "desk", Timeout: time.Minute}
			post := func(path string, o exchange.Open) *http.Response {
				var data bytes.Buffer
				require.NoError(t, exchange.NewEncoder(&data).Encode(&o))
				request, err := http.NewRequest(http.MethodPost, server.URL+path, &data)
				require.NoError(t, err)
				response, err := http.DefaultClient.Do(request)
				require.NoError(t, err)
				return response
			}

			response := post(exchange.PathOpen, open)
			require.True(t, s.Busy())
			require.NoError(t, response.Body.Close())
			if test.canceled {
				require.NoError(t, post(exchange.PathCancel, open).Body.Close())
			}
			hasReader := func() bool {
				s.table.mu.Lock()
				defer s.table.mu.Unlock()
				r := s.table.responses[open.ID]
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.readers > 0
			}
			require.Eventually(t, func() bool { return !hasReader() }, time.Second, time.Millisecond)
			close(finish)
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, test.busy, s.Busy())

			if test.busy {
				open.Attach, open.Generation = true, 1
				response = post(exchange.PathOpen, open)
				var body bytes.Buffer
				_, err := body.ReadFrom(response.Body)
				require.NoError(t, err)
				require.Contains(t, body.String(), "answer")
				require.NoError(t, response.Body.Close())
				require.Eventually(t, func() bool { return !s.Busy() }, time.Second, time.Millisecond)
			}
		})
	}
}

func TestResponseInUse(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *response)
		after  time.Duration
		want   bool
	}{
		{"before its first reader", func(*response) {}, 0, true},
		{"with a reader", func(r *response) { r.addReader(0) }, time.Hour, true},
		{"finished and not fetched", func(r *response) { r.close(now, nil) }, exchange.AttachTimeout, true},
		{"not fetched for long", func(r *response) { r.close(now, nil) }, exchange.AttachTimeout + 1, false},
		{"fetched", (*response).settle, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newResponse(id(1), now, memory.NewBudget(defaultMemory), func() {})
			test.change(r)
			require.Equal(t, test.want, r.inUse(now.Add(test.after)))
		})
	}
	require.False(t, refusedResponse(id(2), now, bronzerill.KindAborted).inUse(now))
}
