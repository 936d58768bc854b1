package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"bronzerill"
	"bronzerill/internal/agent/engine"
	wire "bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/ring"
)

type exporterFunc func(ctx context.Context, chat string) ([]byte, error)

// ExportCache calls the function.
func (f exporterFunc) ExportCache(ctx context.Context, chat string) ([]byte, error) {
	return f(ctx, chat)
}

// TestCachesAreHandedOverToSuccessors checks that the cache of each chat goes to
// the server that entries choose next. That server must accept new requests: it
// isn't the leaving one, isn't down, and isn't in a zone that is out.
func TestCachesAreHandedOverToSuccessors(t *testing.T) {
	var mu sync.Mutex
	receivers := make(map[string]string)
	var servers []wire.Server
	for n := range 6 {
		name := fmt.Sprintf("server-%d", n)
		httpServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			assert.Equal(t, "a-secret-for-this", r.Header.Get(exchange.HeaderSecret))
			mu.Lock()
			receivers[string(data)] = name
			mu.Unlock()
			w.WriteHeader(http.StatusNoContent)
		}))
		defer httpServer.Close()
		servers = append(servers, wire.Server{Name: name, Pool: "bronze-guides", Zone: "gramado", State: wire.ServerReady, Addr: httpServer.Listener.Addr().String()})
	}
	servers[1].State = wire.ServerDown
	servers[2].Zone = "canela"
	config := (&bronzerill.Config{}).WithChanges(bronzerill.Changes{Zones: []bronzerill.Zone{{Name: "canela", Out: true}}})
	view := &wire.View{Config: config, Servers: servers}
	h := &handover{
		exporter: exporterFunc(func(_ context.Context, chat string) ([]byte, error) { return []byte(chat), nil }),
		server:   "server-0", pool: "bronze-guides", secret: "a-secret-for-this", log: hclog.NewNullLogger(), http: &http.Client{},
	}
	var chats []engine.ServedChat
	for n := range 50 {
		chats = append(chats, engine.ServedChat{Customer: "hotel-serra", Chat: fmt.Sprintf("chat-%d", n)})
	}
	h.run(t.Context(), view, chats)
	assert.Len(t, receivers, len(chats))
	allServers := ring.New(servers)
	for _, chat := range chats {
		key := ring.Key(chat.Customer, chat.Chat, "")
		want := ""
		for nth := 0; want == ""; nth++ {
			switch name := allServers.Server(allServers.Choose(key, nth)).Name; name {
			case "server-0", "server-1", "server-2":
			default:
				want = name
			}
		}
		assert.Equal(t, want, receivers[chat.Chat])
	}
}

// orderRecorder records the fencing numbers of the orders sent, or fails with err.
type orderRecorder struct {
	sent []uint64
	err  error
}

// SendOrder records the fencing number of the order.
func (r *orderRecorder) SendOrder(_ context.Context, o engine.Order) error {
	if r.err == nil {
		r.sent = append(r.sent, o.Fencing)
	}
	return r.err
}

// TestOrderIsSentOnceUnderLease checks that an order is sent only under a lease
// and only after the lease of an earlier process has expired. It is sent again
// after a failure, but not after the engine has accepted it or called it stale.
func TestOrderIsSentOnceUnderLease(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	config := (&bronzerill.Config{}).WithChanges(bronzerill.Changes{Orders: []bronzerill.Order{{Name: "server-1", Action: "load", Value: "guide-v2"}}})
	view := &wire.View{Config: config, LeaseUntil: now.Add(time.Minute)}
	recorder := &orderRecorder{}
	dispatcher := newOrderDispatcher(recorder, "server-1", hclog.NewNullLogger())

	dispatcher.send(t.Context(), now, view, now.Add(-time.Second))
	assert.Empty(t, recorder.sent, "an earlier process may still hold its lease")
	registered := now.Add(-wire.LeaseTerm)
	lapsed := *view
	lapsed.LeaseUntil = now
	dispatcher.send(t.Context(), now, &lapsed, registered)
	assert.Empty(t, recorder.sent, "no order without a lease")

	recorder.err = fmt.Errorf("connection lost")
	dispatcher.send(t.Context(), now, view, registered)
	recorder.err = nil
	dispatcher.send(t.Context(), now, view, registered)
	dispatcher.send(t.Context(), now, view, registered)
	assert.Equal(t, []uint64{1}, recorder.sent, "sent again after a failure, then not repeated")

	recorder.err = bronzerill.Errorf(bronzerill.KindStaleOrder, "engine has a newer order")
	next := *view
	next.Config = config.WithChanges(bronzerill.Changes{Orders: []bronzerill.Order{{Name: "server-1", Action: "load", Value: "guide-v3"}}})
	dispatcher.send(t.Context(), now, &next, registered)
	recorder.err = nil
	dispatcher.send(t.Context(), now, &next, registered)
	assert.Equal(t, []uint64{1}, recorder.sent, "a stale order is not repeated")
}
