package service

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
)

func TestServiceGetsNoCallsInThePauseItAsksFor(t *testing.T) {
	var received atomic.Int32
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) == 1 {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer service.Close()
	now := time.Now()
	client := NewClient(ClientConfig{Base: service.URL, Clock: func() time.Time { return now }})
	reply, err := client.Do(t.Context(), open("k", "r1", "1"), newBuffer())
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	for range 5 {
		_, err = client.Do(t.Context(), open("k", "r1", "1"), newBuffer())
		require.Equal(t, bronzerill.KindOverloaded, bronzerill.KindOf(err))
	}
	require.EqualValues(t, 1, received.Load())
	now = now.Add(2 * time.Second)
	_, err = client.Do(t.Context(), open("k", "r1", "1"), newBuffer())
	require.NoError(t, err)
	require.EqualValues(t, 2, received.Load())
}
