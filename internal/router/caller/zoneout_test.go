package caller

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/router/declared"
)

// setZones puts each server into the zone at its position.
func (router *testRouter) setZones(zones ...string) {
	for i, zone := range zones {
		router.servers[i].Zone = zone
	}
	now := time.Now()
	router.table.SetList(now, now, router.servers)
}

// takeOut declares that a zone is out.
func (router *testRouter) takeOut(zone string) {
	router.state.Store(declared.NewTable(router.document, 1, []string{zone}))
}

// sendFirstEvent sends one event of a stream, on other routes nothing.
func sendFirstEvent(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/resumable/x" {
		sendEvents(w, r, 1, 1)
	}
}

// Guards against requests that go by the zones that were out when they arrived (review/3).
func TestRequestIsNotMovedIntoZoneThatWasTakenOutMeanwhile(t *testing.T) {
	breaks := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name, path string
		fail       http.HandlerFunc
	}{
		{"stream breaks", "/resumable/x", breaks}, {"stream is silent", "/resumable/x", neverRespond}, {"stream is reset", "/resumable/x", resetConnection},
		{"request breaks", "/repeatable/x", breaks}, {"request is silent", "/repeatable/x", neverRespond}, {"request is reset", "/repeatable/x", resetConnection},
		{"repeatable request is refused", "/repeatable/x", refuseNotRun}, {"request is refused", "/once/x", refuseNotRun},
	}
	for _, test := range tests {
		for name, out := range map[string]bool{"": false, ", other zone out": true} {
			t.Run(test.name+name, func(t *testing.T) {
				began, mayFail := make(chan int, 1), make(chan struct{})
				var requests atomic.Int32
				serve := func(i int) http.HandlerFunc {
					return func(w http.ResponseWriter, r *http.Request) {
						if requests.Add(1) > 1 {
							sendEvents(w, r, 2, 2)
							return
						}
						sendFirstEvent(w, r)
						began <- i
						<-mayFail
						test.fail(w, r)
					}
				}
				router := newTestRouter(t, serve(0), serve(1))
				router.setZones("a", "b")
				var caller errgroup.Group
				caller.Go(func() error {
					_, _, _ = router.call(test.path) // what reaches the servers counts
					return nil
				})
				if first := <-began; out {
					router.takeOut(router.servers[1-first].Zone)
				}
				close(mayFail)
				require.NoError(t, caller.Wait())
				if out {
					require.EqualValues(t, 1, requests.Load())
				} else {
					require.EqualValues(t, 2, requests.Load())
				}
			})
		}
	}
}

// The zone is taken out while the connection to the picked server is being opened.
func TestRequestIsNotSentIntoZoneThatWasTakenOutAfterThePick(t *testing.T) {
	router := newTestRouter(t, respond(200, "ok"))
	router.setZones("a")
	now := time.Now()
	e := &exchange{
		Handler: router.handler, r: httptest.NewRequest(http.MethodGet, "http://h/repeatable/x", nil), table: router.state.Load(),
		route: &router.document.Routes[1], service: router.document.Services[0], deadline: now.Add(time.Second),
	}
	choice, err := router.table.Pick(now, e.query(now))
	require.NoError(t, err)
	call := (&serverCall{exchange: e, ctx: t.Context(), choice: choice}).newCall(now)
	require.NoError(t, call.MaySend())
	router.takeOut("a")
	require.Equal(t, bronzerill.KindZoneOut, bronzerill.KindOf(call.MaySend()))
}

// A retry goes by the cold start limits that are declared now.
func TestRetryUsesCurrentService(t *testing.T) {
	router := newTestRouter(t, respond(500, ""), respond(500, ""))
	now := time.Now()
	e := &exchange{Handler: router.handler, route: &router.document.Routes[1], service: router.document.Services[0], table: router.state.Load()}
	e.updateService()
	require.Zero(t, e.query(now).Service.ColdPerSecond)
	router.document.Services = []declared.Service{{Name: "desk", ColdPerSecond: 3}}
	router.takeOut("none")
	e.updateService()
	require.EqualValues(t, 3, e.query(now).Service.ColdPerSecond)
	router.document.Services = nil
	router.takeOut("none")
	e.updateService()
	require.EqualValues(t, 3, e.query(now).Service.ColdPerSecond, "the service isn't declared any more")
}
