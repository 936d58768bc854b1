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

// events writes events from one id to another, then ends as told.
func events(w http.ResponseWriter, r *http.Request, from, to int) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
	}
}

func numbered(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", id, id)
	}
	return b.String()
}

// resuming breaks the first answer in the middle of an event; the next server
// goes on after the last whole one.
func resuming(end func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	first := new(atomic.Bool)
	return func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			events(w, r, 1, 3)
			_, _ = io.WriteString(w, "id: 4\nda")
			_ = http.NewResponseController(w).Flush()
			end(w, r)
			return
		}
		after, _ := strconv.Atoi(r.Header.Get("Resume"))
		events(w, r, after+1, 8)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	for name, end := range map[string]func(http.ResponseWriter, *http.Request){
		"broken": abort, "silent": hanging, "ended in an event": func(http.ResponseWriter, *http.Request) {},
	} {
		t.Run(name, func(t *testing.T) {
			backend := resuming(end)
			w := newWorld(t, backend, backend)
			status, body, err := w.call("/resumable/x")
			require.NoError(t, err)
			require.Equal(t, 200, status)
			require.Equal(t, numbered(1, 8), body)
		})
	}
}

func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		events(rw, r, 1, 3)
		panic(http.ErrAbortHandler)
	})
	status, body, err := w.call("/stream/x")
	require.Equal(t, 200, status)
	require.Equal(t, numbered(1, 3), body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestLastEventID(t *testing.T) {
	for events, want := range map[string]string{
		"id: 1\ndata: x\n\n": "1", "id:7\ndata: id: 9\n\nid: 8\ndata: y\n\n": "8", "data: x\n\n": "", "": "",
		"x-version: 3\nid: 12\n\n": "12",
	} {
		require.Equal(t, want, lastID([]byte(events)), events)
	}
}
