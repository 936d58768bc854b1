package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/operator/journal"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/router/server"
	"bronzerill/internal/wire/httpabort"
)

// testRouter is a router with scripted backend servers.
type testRouter struct {
	t        *testing.T
	table    *placement.Table
	handler  *Handler
	frontend *httptest.Server
	servers  []placement.Server
	received []*atomic.Int32
	logged   *logBuffer
	streams  *memoryStreams
	document declared.Document
	// state is compiled from the document.
	state atomic.Pointer[declared.Table]
}

// logBuffer is a log output that is safe for concurrent reads and writes.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newTestRouter(t *testing.T, backends ...http.HandlerFunc) *testRouter {
	return newTestRouterWithSeed(t, 1, backends...)
}

func newTestRouterWithSeed(t *testing.T, seed uint64, backends ...http.HandlerFunc) *testRouter {
	router := &testRouter{t: t, logged: &logBuffer{}, streams: &memoryStreams{sole: "v1"}, table: placement.NewTable(placement.Config{Name: "a", Seed: seed})}
	for i, backend := range backends {
		received := new(atomic.Int32)
		backendServer := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			received.Add(1)
			// net/http detects a disconnect only after the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			backend(rw, r)
		}))
		t.Cleanup(backendServer.Close)
		router.received = append(router.received, received)
		router.servers = append(router.servers, placement.Server{ID: fmt.Sprint(i), Service: "desk", Addr: backendServer.Listener.Addr().String(), Slots: 6, Version: "v1", Noted: true})
	}
	now := time.Now()
	router.table.SetLimits(placement.Limits{RetryRatio: 0.2, RetrySlack: 62})
	router.table.SetList(now, now, router.servers)
	route := func(name string, kind declared.Kind, attempts int) declared.Route {
		return declared.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Second, Objective: 100 * time.Millisecond,
			PauseObjective: 100 * time.Millisecond, MaxAttempts: attempts, Targets: []declared.Target{{Service: "desk", Weight: 1}},
			Resumable: name == "resumable", Public: name == "public",
		}
	}
	engine := route("engine", declared.Stream, 1)
	engine.Targets = []declared.Target{{Service: "engine", Weight: 1}}
	router.document = declared.Document{
		Number: 1, RequiresKey: true,
		Routes: []declared.Route{
			route("once", declared.Once, 1), route("repeatable", declared.Repeatable, 2), route("stream", declared.Stream, 1),
			route("resumable", declared.Stream, 2), route("public", declared.Once, 1), engine,
		},
		Services:  []declared.Service{{Name: "desk"}, {Name: "engine", Engine: &declared.Engine{Slots: 6}}},
		Customers: []declared.Customer{{Name: "agency", Keys: []string{"key"}}},
	}
	router.state.Store(declared.NewTable(router.document, 1, nil))
	router.handler = NewHandler(Config{
		Dialect: testDialect{}, Servers: router.table, Client: server.NewClient(server.Config{Clock: time.Now}),
		Streams: router.streams, States: loadedStates(router.state.Load), Clock: time.Now,
		Log: hclog.New(&hclog.LoggerOptions{Name: "a", JSONFormat: true, Output: router.logged}),
	})
	router.frontend = httptest.NewUnstartedServer(router.handler)
	router.frontend.Config.ConnContext = httpabort.ConnContext
	router.frontend.Start()
	t.Cleanup(router.frontend.Close)
	return router
}

// setTimeout sets the timeout of all routes.
func (router *testRouter) setTimeout(timeout time.Duration) {
	for i := range router.document.Routes {
		router.document.Routes[i].Timeout = timeout
	}
	router.state.Store(declared.NewTable(router.document, 1, nil))
}

func (router *testRouter) request(ctx context.Context, path string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, router.frontend.URL+path, strings.NewReader("body"))
	require.NoError(router.t, err)
	r.Host = "h"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "key")
	return r
}

// call returns the status, the body and the error from reading the body.
func (router *testRouter) call(path string) (int, string, error) {
	response, err := http.DefaultClient.Do(router.request(router.t.Context(), path))
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(data), err
}

func (router *testRouter) totalReceived() int {
	n := 0
	for _, received := range router.received {
		n += int(received.Load())
	}
	return n
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func refuseNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Not-Run", "1")
	respond(http.StatusServiceUnavailable, "full")(w, r)
}

func respondUnsigned(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "other") }

// resetConnection resets the connection after the request has been read.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func TestResponses(t *testing.T) {
	ok := respond(http.StatusOK, "ok")
	both := func(h http.HandlerFunc) []http.HandlerFunc { return []http.HandlerFunc{h, h} }
	tests := []struct {
		name     string
		path     string
		backends []http.HandlerFunc
		status   int
		body     string
		// received is the number of servers that received the request.
		received int
	}{
		{"response is forwarded", "/once/x", both(ok), 200, "ok", 1},
		{"client error of a server is forwarded", "/once/x", both(respond(http.StatusConflict, "taken")), 409, "taken", 1},
		{"unknown route", "/none/x", both(ok), 404, "unknown-route", 0},
		{"once: lost response is an error without a retry", "/once/x", both(resetConnection), 502, "server-failed", 1},
		{"once: server error is forwarded without a retry", "/once/x", both(respond(500, "boom")), 500, "boom", 1},
		{"once: 503 without the not-run header isn't forwarded", "/once/x", both(respond(503, "busy")), 502, "server-failed", 1},
		{"once: 429 without the not-run header isn't forwarded", "/once/x", both(respond(429, "busy")), 502, "server-failed", 1},
		{"once: refusal by a server is retried on another server", "/once/x", both(refuseNotRun), 503, "no-server", 2},
		{"once: unsigned success isn't forwarded", "/once/x", both(respondUnsigned), 502, "server-failed", 1},
		{"once: silent server causes a timeout", "/once/x", both(neverRespond), 504, "timeout", 1},
		{"repeatable: at most two servers run it", "/repeatable/x", both(respond(500, "boom")), 500, "boom", 2},
		{"repeatable: silent server causes a retry", "/repeatable/x", both(neverRespond), 504, "timeout", 2},
		{"stream: connection breaks before the first event", "/stream/x", both(resetConnection), 502, "server-failed", 1},
		{"stream: server error is forwarded", "/stream/x", both(respond(500, "boom")), 500, "boom", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router := newTestRouter(t, test.backends...)
			status, body, err := router.call(test.path)
			require.NoError(t, err)
			require.Equal(t, test.status, status, body)
			require.Equal(t, test.body, body)
			require.Equal(t, test.received, router.totalReceived())
		})
	}
}

// TestEveryOutcomeIsLogged checks that the log shows the final outcome of a request.
func TestEveryOutcomeIsLogged(t *testing.T) {
	tests := []struct {
		path    string
		backend http.HandlerFunc
		outcome string
	}{
		{"/once/x", respond(200, "ok"), "none"}, {"/none/x", respond(200, ""), "unknown-route"}, {"/once/x", resetConnection, "server-failed"},
		{"/once/x", refuseNotRun, "no-server"}, {"/once/x", neverRespond, "timeout"}, {"/stream/x", func(w http.ResponseWriter, r *http.Request) {
			sendEvents(w, r, 1, 2)
			panic(http.ErrAbortHandler)
		}, "truncated"},
	}
	for _, test := range tests {
		router := newTestRouter(t, test.backend)
		_, _, _ = router.call(test.path) // one case has a broken response
		lines, broken, err := journal.Read(strings.NewReader(router.logged.String()))
		require.NoError(t, err)
		require.Zero(t, broken)
		_, requestLines := journal.RequestHistory(lines, "r1", time.Minute)
		require.NotEmpty(t, requestLines, test.outcome)
		require.Equal(t, test.outcome, requestLines[len(requestLines)-1].Fields["outcome"])
	}
}

func TestNotRunKinds(t *testing.T) {
	for kind := range map[bronzerill.Kind]bool{
		bronzerill.KindOverloaded: true, bronzerill.KindNoServer: true, bronzerill.KindCold: true,
		bronzerill.KindNoState: true, bronzerill.KindRetryBudget: true, bronzerill.KindUnreachable: true, bronzerill.KindExpired: true,
	} {
		require.Equal(t, bronzerill.RunNot, kind.Response().Run, kind.String())
	}
	for _, kind := range bronzerill.Kinds() {
		if promisesNotRun(kind.Response().Status) && kind != bronzerill.KindNoQuorum {
			require.Equal(t, bronzerill.RunNot, kind.Response().Run, "the status of %s promises that the request didn't run", kind)
		}
	}
}

func TestRepeatableRequestIsRetriedOnAnotherServer(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{"connection reset": resetConnection, "failed": respond(500, ""), "busy": respond(503, ""), "unsigned": respondUnsigned, "silent": neverRespond} {
		t.Run(name, func(t *testing.T) {
			first := new(atomic.Bool)
			backend := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					bad(w, r)
				} else {
					respond(200, "ok")(w, r)
				}
			}
			router := newTestRouter(t, backend, backend)
			status, body, err := router.call("/repeatable/x")
			require.NoError(t, err)
			require.Equal(t, 200, status, body)
		})
	}
}

func TestKeys(t *testing.T) {
	forwarded := make(chan string, 4)
	router := newTestRouter(t, func(rw http.ResponseWriter, r *http.Request) {
		forwarded <- r.Header.Get("Customer") + "," + r.Header.Get("Key")
		respond(200, "ok")(rw, r)
	})
	for _, test := range []struct {
		path, key string
		status    int
		forwarded string
	}{{"/once/x", "key", 200, "agency,"}, {"/once/x", "other", 401, ""}, {"/once/x", "", 401, ""}, {"/public/x", "", 200, ","}} {
		r := router.request(t.Context(), test.path)
		r.Header.Set("Key", test.key)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, test.status, response.StatusCode)
		if test.status == 200 {
			require.Equal(t, test.forwarded, <-forwarded)
		}
	}
	require.Empty(t, forwarded)
}

func TestCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/once/x", "/repeatable/x", "/stream/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			disconnected := make(chan time.Time, 4)
			backend := func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				disconnected <- time.Now()
			}
			router := newTestRouter(t, backend, backend)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := http.DefaultClient.Do(router.request(ctx, path)) //nolint:bodyclose // there is no response
			require.Error(t, err)
			at := time.Now()
			require.Less(t, (<-disconnected).Sub(at), 500*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, 1, router.totalReceived(), "no retry for a caller that has disconnected")
		})
	}
}

func TestServerReceivesRemainingTime(t *testing.T) {
	var remaining atomic.Int64
	router := newTestRouter(t, func(rw http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get("Timeout"))
		remaining.Store(int64(ms))
		respond(200, "ok")(rw, r)
	})
	r := router.request(t.Context(), "/once/x")
	r.Header.Set("Timeout", "300")
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.LessOrEqual(t, remaining.Load(), int64(300))
	require.Greater(t, remaining.Load(), int64(100))
}

func TestRequestWithoutDeclaredStateIsRefused(t *testing.T) {
	handler := NewHandler(Config{
		Dialect: testDialect{}, States: loadedStates(func() *declared.Table { return nil }), Clock: time.Now, Log: hclog.NewNullLogger(),
	})
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/once/x", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}

func TestBodyDelimitedByConnectionClose(t *testing.T) {
	router := newTestRouter(t, func(rw http.ResponseWriter, r *http.Request) {
		conn, buffer, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		writeUnframed(buffer, r.Header.Get("Id"))
		_ = conn.Close()
	})
	status, body, err := router.call("/once/x")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "ok", body)
}

func writeUnframed(buffer *bufio.ReadWriter, id string) {
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\nok", id)
	_ = buffer.Flush()
}
