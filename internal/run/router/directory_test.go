package router

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/router/placement"
)

func TestQueryForCachedPromptsHeedsWhatEnginesState(t *testing.T) {
	for header, kind := range map[string]bronzerill.Kind{"Retry-After": bronzerill.KindServerBackoff, "Server-Leaving": bronzerill.KindLeaving} {
		received := 0
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			received++
			w.Header().Set(header, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		now := time.Now()
		entry := placement.Server{ID: "e-1", Service: "guides", Addr: engine.Listener.Addr().String(), Slots: 48}
		servers := placement.NewTable(placement.Config{Name: "a", Seed: 1})
		servers.SetList(now, now, []placement.Server{entry})
		client := newDirectoryClient(now, &Router{servers: servers, log: hclog.NewNullLogger()})
		for range 3 {
			_, err := client.queryEngine(t.Context(), entry)
			require.Error(t, err)
		}
		require.Equal(t, 1, received, header)
		choice := placement.Choice{Server: entry, SentAt: now}
		require.Equal(t, kind, bronzerill.KindOf(servers.MaySend(time.Now(), choice)), header)
		engine.Close()
	}
}
