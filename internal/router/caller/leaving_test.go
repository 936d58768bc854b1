package caller

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leavingNotice is the time after its first response in which a server that leaves may still
// get requests, because they were sent before.
const leavingNotice = 200 * time.Millisecond

// leavingServer states in its responses that it is about to stop.
type leavingServer struct {
	// firstAt is when the first response was sent, in Unix nanoseconds.
	firstAt atomic.Int64
	late    atomic.Int32
}

func (s *leavingServer) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.firstAt.CompareAndSwap(0, now.UnixNano())
	if now.Sub(time.Unix(0, s.firstAt.Load())) > leavingNotice {
		s.late.Add(1)
	}
	w.Header().Set("Leaving", "1")
	sendEvents(w, r, 1, 2)
}

// The list of servers doesn't show that the server leaves.
func TestServerThatStatesItLeavesGetsNoNewRequests(t *testing.T) {
	leaving := new(leavingServer)
	router := newTestRouter(t, leaving.serve, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 1, 2) })
	router.callAll(16, time.Second)
	require.Positive(t, leaving.firstAt.Load())
	require.Zero(t, leaving.late.Load())
	require.Greater(t, router.received[1].Load(), int32(500))
}

// The leaving server breaks a stream after its first events, or refuses the request.
func TestRequestGoesOnElsewhereWhenItsServerStatesItLeaves(t *testing.T) {
	statesIt := func(end http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			end(w, r)
		}
	}
	other := func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("Resume")) // empty for a request from the start
		sendEvents(w, r, after+1, 8)
	}
	for name, leaving := range map[string]http.HandlerFunc{
		"refused": statesIt(refuseNotRun), "failed": statesIt(respond(http.StatusInternalServerError, "")),
		"broken": statesIt(resumableBackend(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })),
	} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, other, leaving)
			for range 30 {
				status, body, err := router.call("/resumable/x")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, eventText(1, 8), body)
			}
			require.EqualValues(t, 1, router.received[1].Load())
		})
	}
}
