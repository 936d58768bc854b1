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

// TestCachesAreHandedOverToSuccessors gives each chat's cache to the server that
// entries choose next, which must take work.
func TestCachesAreHandedOverToSuccessors(t *testing.T) {
	var mu sync.Mutex
	got := make(map[string]string)
	var servers []wire.Server
	for n := range 6 {
		name := fmt.Sprintf("server-%d", n)
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			assert.Equal(t, "a-secret-for-this", r.Header.Get(exchange.HeaderSecret))
			mu.Lock()
			got[string(data)] = name
			mu.Unlock()
			w.WriteHeader(http.StatusNoContent)
		}))
		defer web.Close()
		servers = append(servers, wire.Server{Name: name, Pool: "bronze-guides", Zone: "gramado", State: wire.ServerReady, Addr: web.Listener.Addr().String()})
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
	assert.Len(t, got, len(chats))
	present := ring.New(servers)
	for _, chat := range chats {
		key := ring.Key(chat.Customer, chat.Chat, "")
		want := ""
		for nth := 0; want == ""; nth++ {
			switch name := present.Server(present.Choose(key, nth)).Name; name {
			case "server-0", "server-1", "server-2":
			default:
				want = name
			}
		}
		assert.Equal(t, want, got[chat.Chat])
	}
}

type giver struct {
	given []uint64
	err   error
}

// SendOrder keeps the order's number.
func (g *giver) SendOrder(_ context.Context, o engine.Order) error {
	if g.err == nil {
		g.given = append(g.given, o.Fencing)
	}
	return g.err
}

// TestOrderIsSentOnceUnderLease gives each order once, in order of its fencing number, under a
// lease and only after an earlier process's lease has run out.
func TestOrderIsSentOnceUnderLease(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	config := (&bronzerill.Config{}).WithChanges(bronzerill.Changes{Orders: []bronzerill.Order{{Name: "server-1", Action: "load", Value: "guide-v2"}}})
	view := &wire.View{Config: config, LeaseUntil: now.Add(time.Minute)}
	g := &giver{}
	o := newOrders(g, "server-1", hclog.NewNullLogger())

	o.give(t.Context(), now, view, now.Add(-time.Second))
	assert.Empty(t, g.given, "an earlier process may still hold its lease")
	registered := now.Add(-wire.LeaseTerm)
	lapsed := *view
	lapsed.LeaseUntil = now
	o.give(t.Context(), now, &lapsed, registered)
	assert.Empty(t, g.given, "no order without a lease")

	g.err = fmt.Errorf("lost on the way")
	o.give(t.Context(), now, view, registered)
	g.err = nil
	o.give(t.Context(), now, view, registered)
	o.give(t.Context(), now, view, registered)
	assert.Equal(t, []uint64{1}, g.given, "tried again after a loss, then given once")

	g.err = bronzerill.Errorf(bronzerill.KindStaleOrder, "newer known")
	next := *view
	next.Config = config.WithChanges(bronzerill.Changes{Orders: []bronzerill.Order{{Name: "server-1", Action: "load", Value: "guide-v3"}}})
	o.give(t.Context(), now, &next, registered)
	g.err = nil
	o.give(t.Context(), now, &next, registered)
	assert.Equal(t, []uint64{1}, g.given, "an order that the engine calls old is not repeated")
}
