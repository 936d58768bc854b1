package caller

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// sendEvents writes the events from one ID to another.
func sendEvents(w http.ResponseWriter, r *http.Request, from, to int) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
	}
}

func eventText(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", id, id)
	}
	return b.String()
}

// resumableBackend breaks its first response with end, in the middle of event 4. It
// resumes later requests after the last complete event.
func resumableBackend(end func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	first := new(atomic.Bool)
	return func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			sendEvents(w, r, 1, 3)
			_, _ = io.WriteString(w, "id: 4\nda")
			_ = http.NewResponseController(w).Flush()
			end(w, r)
			return
		}
		after, _ := strconv.Atoi(r.Header.Get("Resume"))
		sendEvents(w, r, after+1, 8)
	}
}

func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	for name, end := range map[string]func(http.ResponseWriter, *http.Request){
		"connection closed": closeConnection, "silent": neverRespond, "ends inside an event": func(http.ResponseWriter, *http.Request) {},
	} {
		t.Run(name, func(t *testing.T) {
			backend := resumableBackend(end)
			router := newTestRouter(t, backend, backend)
			status, body, err := router.call("/resumable/x")
			require.NoError(t, err)
			require.Equal(t, 200, status)
			require.Equal(t, eventText(1, 8), body)
		})
	}
}

func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	router := newTestRouter(t, func(rw http.ResponseWriter, r *http.Request) {
		sendEvents(rw, r, 1, 3)
		panic(http.ErrAbortHandler)
	})
	status, body, err := router.call("/stream/x")
	require.Equal(t, 200, status)
	require.Equal(t, eventText(1, 3), body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestLastEventID(t *testing.T) {
	for events, want := range map[string]string{
		"id: 1\ndata: x\n\n": "1", "id:7\ndata: id: 9\n\nid: 8\ndata: y\n\n": "8", "data: x\n\n": "", "": "",
		"x-version: 3\nid: 12\n\n": "12",
	} {
		require.Equal(t, want, parseLastEventID([]byte(events)), events)
	}
}
