package engine

import (
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

// The paths are a chat, the rest of a stream, an order, and the export and import of a cache.
func TestEngineGetsNothingInThePauseItAsksFor(t *testing.T) {
	var received, loadReports atomic.Int32
	var refuses atomic.Bool
	refuses.Store(true)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathLoad {
			loadReports.Add(1)
			writeLoad(w)
			return
		}
		received.Add(1)
		if refuses.Load() {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer engine.Close()
	begin := time.Now()
	var elapsed atomic.Int64
	client := NewClient(ClientConfig{Base: engine.URL, Clock: func() time.Time { return begin.Add(time.Duration(elapsed.Load())) }})
	defer client.Close()
	view := &control.View{Config: &bronzerill.Config{}}
	runner := NewRunner(RunnerConfig{
		Client: client, Clock: time.Now, View: func() *control.View { return view }, Log: hclog.NewNullLogger(),
		OnCold: func() {}, OnSlots: func(int) {}, OnLeaving: func(bool) {}, OnDown: func(bool) {},
	})
	require.Error(t, client.SendOrder(t.Context(), Order{Fencing: 1}))
	require.EqualValues(t, 1, received.Load())
	for _, at := range []time.Duration{0, time.Second, 2*time.Second - 1} {
		elapsed.Store(int64(at))
		err := runner.Run(t.Context(), chatOpen("r1", chatBody("hello", "family-7")), &sink{})
		require.Equal(t, bronzerill.KindOverloaded, bronzerill.KindOf(err), "nothing was sent: %v", err)
		_, err = client.resume(t.Context(), "r1", 0) //nolint:bodyclose // there is no response
		require.Error(t, err)
		require.Error(t, client.SendOrder(t.Context(), Order{Fencing: 1}))
		_, err = client.ExportCache(t.Context(), "family-7")
		require.Error(t, err)
		require.Error(t, client.ImportCache(t.Context(), "family-7", nil))
		runner.Poll(t.Context())
	}
	require.EqualValues(t, 1, received.Load())
	require.EqualValues(t, 3, loadReports.Load(), "load reports show crashes")
	refuses.Store(false)
	elapsed.Store(int64(2 * time.Second))
	require.NoError(t, client.SendOrder(t.Context(), Order{Fencing: 1}))
}

func writeLoad(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"generation":"1","slots":8}`)) }
