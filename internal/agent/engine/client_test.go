package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTooLargeCacheIsNotCut(t *testing.T) {
	for size, fails := range map[int]bool{maxCacheBytes: false, maxCacheBytes + 1: true} {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.Copy(w, strings.NewReader(strings.Repeat("x", size))) // the client may close early
		}))
		client := NewClient(ClientConfig{Base: backend.URL, Clock: time.Now})
		data, err := client.ExportCache(t.Context(), "chat")
		client.Close()
		backend.Close()
		if fails {
			require.Error(t, err)
		} else {
			require.NoError(t, err)
			require.Len(t, data, size)
		}
	}
}
