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
	"bronzerill/internal/wire/httpresponse"
	"bronzerill/internal/wire/ring"
)

// Limits of a hand-over.
const (
	maxHandoverChats     = 256
	handoverTimeout      = 30 * time.Second
	cacheTransferTimeout = 5 * time.Second
	tablePollInterval    = 100 * time.Millisecond
)

// CacheExporter exports the KV cache of a chat.
type CacheExporter interface {
	ExportCache(ctx context.Context, chat string) ([]byte, error)
}

// handover sends the caches of a leaving engine to the servers that will serve
// its chats next.
type handover struct {
	exporter CacheExporter
	server   string
	pool     string
	secret   string
	log      hclog.Logger
	http     *http.Client
}

// successor returns the server that entries will choose for a chat when this
// server no longer accepts requests.
func (h *handover) successor(r *ring.Ring, c *bronzerill.Config, chat engine.ServedChat) (wire.Server, bool) {
	key := ring.Key(chat.Customer, chat.Chat, "")
	for nth := range 2 * r.Len() {
		s := r.Server(r.Choose(key, nth))
		zone, _ := c.Zone(s.Zone)
		if s.Name != h.server && s.State.AcceptsRequests() && !zone.Out {
			return s, true
		}
	}
	return wire.Server{}, false
}

// run hands over the caches of the chats, which are sorted by the time they were
// served, most recent first. It stops early if ctx ends or a chat has no successor.
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
			h.log.Debug("failed to hand over cache", "to", successor.Name, "error", err.Error())
			continue
		}
		metrics.Count(metrics.EventHandover)
		moved++
	}
	h.log.Info("caches handed over", "moved", moved, "of", len(chats))
}

// move sends the cache of one chat to the server at addr.
func (h *handover) move(ctx context.Context, chat, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, cacheTransferTimeout)
	defer cancel()
	data, err := h.exporter.ExportCache(ctx, chat)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+exchange.PathCache+chat, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "create request to successor")
	}
	exchange.Authorize(request, h.secret)
	response, err := h.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send cache to successor")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("successor returned status %s", response.Status)
	}
	return nil
}

// isLeaving reports whether the server is leaving as planned: the agent is draining, the
// engine or control reports the server as leaving, or its zone is out.
func (r *Role) isLeaving() bool {
	v := r.renewer.View()
	zone, _ := v.Config.Zone(r.cfg.Settings.Zone)
	return r.draining.Load() || r.engineLeaving.Load() || v.Leaving || zone.Out
}

// handOver waits for the server table, then hands over the caches of the chats
// that the engine served last.
func (r *Role) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for r.renewer.View().ServersVersion == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tablePollInterval):
		}
	}
	h := &handover{
		exporter: r.engineClient,
		server:   r.settings.Server,
		pool:     r.settings.Pool,
		secret:   r.cfg.Secret,
		log:      r.cfg.Log,
		http:     &http.Client{Transport: httpresponse.NewDefaultTransport()},
	}
	defer h.http.CloseIdleConnections()
	h.run(ctx, r.renewer.View(), r.engine.RecentChats(maxHandoverChats))
}

// handOverWhenLeaving hands over the caches when the server begins to leave, once
// for each time that it leaves.
func (r *Role) handOverWhenLeaving(ctx context.Context) {
	switch isLeaving := r.isLeaving(); {
	case !isLeaving:
		r.handedOver.Store(false)
	case !r.handedOver.Load():
		r.handOver(ctx)
		r.handedOver.Store(true)
	}
}
