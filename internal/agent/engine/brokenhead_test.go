package engine

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/standin/raw"
)

// headEngine answers everything but load reports with a head and the same body.
type headEngine struct {
	*Runner
	head atomic.Pointer[string]
}

func newHeadEngine(t *testing.T) *headEngine {
	e := new(headEngine)
	e.Runner = newRawRunner(t, func(conn *net.TCPConn, r *http.Request) (goesOn bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, *e.head.Load()+"Content-Length: 2\r\n\r\n{}")
		return false
	})
	return e
}

// calls are the calls to the engine that a response may end. Each returns what it takes the response for.
func (e *headEngine) calls(t *testing.T) map[string]func() (string, error) {
	return map[string]func() (string, error){
		"chat": func() (string, error) {
			s := &sink{}
			err := e.run(t.Context(), chatOpen("r1", nil), "r1.1", "1", s)
			return s.String(), err
		},
		"export": func() (string, error) {
			data, err := e.cfg.Client.ExportCache(t.Context(), "family-7")
			return string(data), err
		},
		"import": func() (string, error) { return "", e.cfg.Client.ImportCache(t.Context(), "family-7", []byte("cache")) },
		"order":  func() (string, error) { return "", e.cfg.Client.SendOrder(t.Context(), Order{Fencing: 1}) },
	}
}

// requireNoResponses requires that none of the heads begins a response to a call.
func requireNoResponses(t *testing.T, heads []string) {
	e := newHeadEngine(t)
	for name, call := range e.calls(t) {
		for _, head := range heads {
			e.head.Store(&head)
			body, err := call()
			require.Error(t, err, "%s: %q is a response with body %q", name, head, body)
		}
		whole := "HTTP/1.1 200 OK\r\n"
		e.head.Store(&whole)
		_, err := call()
		require.NoError(t, err, name)
	}
}

// Guards against bytes that are no status, and that net/http reads as a number (issue 49).
func TestResponseWithInvalidStatusIsNone(t *testing.T) {
	var heads []string
	for _, status := range raw.InvalidStatuses() {
		heads = append(heads, "HTTP/1.1 "+status+" X\r\n")
	}
	requireNoResponses(t, heads)
}

// Guards against names of fields that net/http lets pass although they hold a byte that isn't allowed there
// (issue 49).
func TestResponseWithUnreadableFieldIsNone(t *testing.T) {
	var heads []string
	for _, field := range []string{"Transfer-Encoding: chunked", "X-Id: 1"} {
		for _, line := range raw.UnreadableFields(field) {
			heads = append(heads, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+line+"\r\n")
		}
	}
	requireNoResponses(t, heads)
}
