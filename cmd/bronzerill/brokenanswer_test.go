package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/standin/raw"
	"bronzerill/platform/standin"
)

// responseKinds are the kinds of routes that each service has.
var responseKinds = []string{"repeatable", "stream", "resumable"}

// longBody is the size of a request body that exceeds the buffers of a connection.
const longBody = 4 << 20

// rawHandler passes requests on with their connections, and answers status calls.
func rawHandler(respond func(conn *net.TCPConn, r *http.Request, id string, unread io.Reader)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		id, _, _ := standin.ReadRequestHeaders(r)
		respond(conn.(*net.TCPConn), r, id, buffered)
	}
}

// receive sends a caller's request. whole is set if the response looks complete.
func (p *routerProcess) receive(ctx context.Context, path string, body []byte) (status int, text string, whole bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addrs["callers"]+path, bytes.NewReader(body))
	require.NoError(p.t, err)
	request.Host = "h"
	standin.SetRequestHeaders(request, fmt.Sprint("r", p.lastID.Add(1)), 0)
	response, err := p.client.Do(request)
	if err != nil {
		return 0, "", false
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(data), err == nil
}

const (
	signedHead = "HTTP/1.1 200 OK\r\nX-Bronzerill-Request-Id: ID\r\nX-Bronzerill-Response-Stamp: s\r\n"
	part       = "id: 1\ndata: 1\n\n"
)

// Guards against a response without a length whose connection is reset while the request is still being sent
// (issue 49).
func TestResponsesThatAreResetDuringUploadAreNotComplete(t *testing.T) {
	respond := func(conn io.Writer, id string) {
		_, _ = io.WriteString(conn, strings.Replace(signedHead, "ID", id, 1)+"Content-Type: text/event-stream\r\n\r\n"+part)
	}
	p := startRouter(t, map[string]http.HandlerFunc{
		"reset": rawHandler(func(conn *net.TCPConn, _ *http.Request, id string, _ io.Reader) {
			respond(conn, id)
			raw.Reset(conn)
		}),
		"whole": rawHandler(func(conn *net.TCPConn, _ *http.Request, id string, unread io.Reader) {
			respond(conn, id)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, unread)
		}),
	})
	const tries = 10
	for _, kind := range responseKinds {
		complete := 0
		for range tries {
			if status, _, whole := p.receive(t.Context(), "/reset/"+kind+"/x", make([]byte, longBody)); status == http.StatusOK && whole {
				complete++
			}
		}
		require.Zero(t, complete, "%s: of %d responses look complete", kind, tries)
		status, text, whole := p.receive(t.Context(), "/whole/"+kind+"/x", make([]byte, longBody))
		require.Equal(t, http.StatusOK, status, kind)
		require.True(t, whole, kind)
		require.Equal(t, part, text, kind)
	}
}

// Guards against responses whose status is none, or that hold a field that can't be read (issue 49).
func TestResponsesWithBrokenHeadsAreNone(t *testing.T) {
	var heads []string
	for _, status := range raw.InvalidStatuses() {
		heads = append(heads, strings.Replace(signedHead, "200", status, 1)+"Content-Length: 4\r\n\r\nbody")
	}
	for _, field := range []string{"Content-Length: 4", "Transfer-Encoding: chunked"} {
		for i, line := range raw.UnreadableFields(field) {
			// The tests of the connections have them all.
			if i%7 == 0 || strings.ContainsAny(line, "\t\r\n") || strings.Contains(line, " :") {
				heads = append(heads, signedHead+line+"\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
			}
		}
	}
	var reached atomic.Int64
	p := startRouter(t, map[string]http.HandlerFunc{"heads": rawHandler(func(conn *net.TCPConn, r *http.Request, id string, _ io.Reader) {
		n, err := strconv.Atoi(path.Base(r.URL.Path))
		if err != nil || n >= len(heads) {
			return
		}
		reached.Add(1)
		_, _ = io.WriteString(conn, strings.Replace(heads[n], "ID", id, 1))
	})})
	for _, kind := range responseKinds {
		for n, head := range heads {
			status, text, whole := p.receive(t.Context(), fmt.Sprintf("/heads/%s/%d", kind, n), nil)
			require.False(t, whole && status < http.StatusInternalServerError, "%s: %q is an answer: %d %q", kind, head, status, text)
			require.NotZero(t, status, "%s: the caller gets an answer to %q", kind, head)
		}
	}
	t.Logf("%d requests with %d heads reached the server %d times", len(heads)*len(responseKinds), len(heads), reached.Load())
	require.GreaterOrEqual(t, reached.Load(), int64(len(heads)))
}
