package agent

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"bronzerill"
	"bronzerill/internal/agent/engine"
	"bronzerill/internal/operator/metrics"
	wire "bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/ring"
)

// Bounds of a hand-over.
const (
	handoverChats   = 256
	handoverTimeout = 30 * time.Second
	cacheTimeout    = 5 * time.Second
	tablePause      = 100 * time.Millisecond
)

// CacheExporter yields the KV cache of a chat.
type CacheExporter interface {
	ExportCache(ctx context.Context, chat string) ([]byte, error)
}

// handover brings the caches of a departing engine to the servers where its
// chats will go next.
type handover struct {
	exporter CacheExporter
	server   string
	pool     string
	secret   string
	log      hclog.Logger
	http     *http.Client
}

// successor returns the server that entries choose for a chat once this one takes no
// more work.
func (h *handover) successor(r *ring.Ring, c *bronzerill.Config, chat engine.ServedChat) (wire.Server, bool) {
	key := ring.Key(chat.Customer, chat.Chat, "")
	for nth := range 2 * r.Len() {
		s := r.Server(r.Choose(key, nth))
		zone, _ := c.Zone(s.Zone)
		if s.Name != h.server && s.State.TakesWork() && !zone.Out {
			return s, true
		}
	}
	return wire.Server{}, false
}

// run hands over chats, the last served first, until all are done or ctx ends.
func (h *handover) run(ctx context.Context, v *wire.View, chats []engine.ServedChat) {
	servers := slices.DeleteFunc(slices.Clone(v.Servers), func(s wire.Server) bool { return s.Pool != h.pool })
	if len(servers) == 0 {
		return
	}
	r := ring.New(servers)
	moved := 0
	for _, chat := range chats {
		successor, ok := h.successor(r, v.Config, chat)
		if !ok || ctx.Err() != nil {
			break
		}
		if err := h.move(ctx, chat.Chat, successor.Addr); err != nil {
			h.log.Debug("cache not handed over", "to", successor.Name, "error", err.Error())
			continue
		}
		metrics.Count(metrics.EventHandover)
		moved++
	}
	h.log.Info("caches handed over", "moved", moved, "of", len(chats))
}

func (h *handover) move(ctx context.Context, chat, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	data, err := h.exporter.ExportCache(ctx, chat)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+exchange.PathCache+chat, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "successor's address")
	}
	exchange.Authorize(request, h.secret)
	response, err := h.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send cache")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("successor answers %s", response.Status)
	}
	return nil
}

// departs reports whether the server is leaving by plan.
func (r *Role) departs() bool {
	v := r.keeper.View()
	zone, _ := v.Config.Zone(r.cfg.Settings.Zone)
	return r.draining.Load() || v.Leaving || zone.Out
}

// handOver runs once for each planned departure.
func (r *Role) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for r.keeper.View().ServersVersion == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tablePause):
		}
	}
	h := &handover{
		exporter: r.engineClient,
		server:   r.settings.Server,
		pool:     r.settings.Pool,
		secret:   r.cfg.Secret,
		log:      r.cfg.Log,
		http:     &http.Client{},
	}
	h.run(ctx, r.keeper.View(), r.engine.RecentChats(handoverChats))
}

// watchDeparture starts a hand-over when the server begins to leave.
func (r *Role) watchDeparture(ctx context.Context) {
	switch departs := r.departs(); {
	case !departs:
		r.handedOver.Store(false)
	case !r.handedOver.Load():
		r.handOver(ctx)
		r.handedOver.Store(true)
	}
}
