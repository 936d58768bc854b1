package caller

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
)

// setMaxAttempts sets the maximum number of servers of all requests.
func (router *testRouter) setMaxAttempts(attempts int) {
	for i := range router.document.Routes {
		router.document.Routes[i].MaxAttempts = attempts
	}
	router.state.Store(declared.NewTable(router.document, 1, nil))
}

// Guards against giving up the only server that works on a stream, since its first event comes late.
func TestSlowFirstEventOfTheStandbyDoesNotEndTheStream(t *testing.T) {
	for _, pause := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			first := new(atomic.Bool)
			backend := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					sendEvents(w, r, 1, 3)
					neverRespond(w, r)
					return
				}
				sendEvents(w, r, 1, 0)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(pause)
				resumeEvents(w, r)
			}
			router := newTestRouter(t, backend, backend)
			router.setTimeout(3 * time.Second)
			_, body, err := router.call("/resumable/x")
			require.NoError(t, err)
			require.Equal(t, eventText(1, 8), body)
		})
	}
}

// Guards against a request that waits until its deadline since two servers are silent and a third isn't asked.
func TestSilentStandbyDoesNotKeepTheRequestFromAThirdServer(t *testing.T) {
	for _, path := range []string{"/repeatable/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			received := new(atomic.Int32)
			backend := func(w http.ResponseWriter, r *http.Request) {
				if received.Add(1) < 3 {
					neverRespond(w, r)
					return
				}
				sendEvents(w, r, 1, 8)
			}
			router := newTestRouter(t, backend, backend, backend)
			router.setTimeout(3 * time.Second)
			router.setMaxAttempts(3)
			status, body, err := router.call(path)
			require.NoError(t, err)
			require.Equal(t, 200, status)
			require.Equal(t, eventText(1, 8), body)
		})
	}
}

// Guards against a retry budget that is used up by servers that got nothing.
func TestUnreachableStandbyTakesNothingFromTheRetryBudget(t *testing.T) {
	backend := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(silence)
		respond(http.StatusOK, "ok")(w, r)
	}
	router := newTestRouter(t, backend)
	router.setTimeout(3 * time.Second)
	// The first server is the only one while the request is sent.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	now := time.Now()
	spend := func() (n int) {
		for router.table.SpendRetry("desk") {
			n++
		}
		return n
	}
	all := spend()
	for range all {
		router.table.ReturnRetry("desk")
	}
	time.AfterFunc(100*time.Millisecond, func() {
		router.table.SetList(now, now, append(router.servers, placement.Server{
			ID: "gone", Service: "desk", Addr: listener.Addr().String(), Slots: 6, Version: "v1", Noted: true,
		}))
	})
	status, _, err := router.call("/repeatable/x")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Contains(t, router.logged.String(), `"outcome":"unreachable"`, "the standby got nothing")
	require.GreaterOrEqual(t, spend(), all)
}
