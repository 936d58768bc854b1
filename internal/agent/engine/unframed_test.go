package engine

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/wire/control"
)

// unframedEngine answers everything but load reports with a body that ends with its
// connection. Its process is replaced before that if it crashes.
func unframedEngine(t *testing.T, generation string, crashes bool) *Runner {
	var replaced atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathLoad {
			current := generation
			if replaced.Load() {
				current = generation + "'"
			}
			_, _ = fmt.Fprintf(w, `{"generation":%q,"slots":8}`, current)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}")
		replaced.Store(crashes)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	view := &control.View{Config: &bronzerill.Config{}}
	client := NewClient(ClientConfig{Base: server.URL, Clock: time.Now})
	t.Cleanup(client.Close)
	r := NewRunner(RunnerConfig{
		Client: client, Clock: time.Now, View: func() *control.View { return view }, Log: hclog.NewNullLogger(),
		OnCold: func() {}, OnSlots: func(int) {}, OnLeaving: func(bool) {}, OnDown: func(bool) {},
	})
	r.Poll(t.Context())
	return r
}

func TestUnframedResponseOfAnEndedEngineIsNotComplete(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		err := unframedEngine(t, "1", crashes).Run(t.Context(), chatOpen("r1", nil), &sink{})
		if crashes {
			require.Equal(t, bronzerill.KindServerFailed, bronzerill.KindOf(err), "%v", err)
		} else {
			require.NoError(t, err)
		}
	}
}

func TestUnframedCacheIsNotHandedOver(t *testing.T) {
	_, err := unframedEngine(t, "1", false).cfg.Client.ExportCache(t.Context(), "family-7")
	require.Error(t, err)
}

func TestEngineWithoutGenerationIsNoKnownProcess(t *testing.T) {
	err := unframedEngine(t, "", false).Run(t.Context(), chatOpen("r1", nil), &sink{})
	require.Equal(t, bronzerill.KindServerFailed, bronzerill.KindOf(err), "%v", err)
}
