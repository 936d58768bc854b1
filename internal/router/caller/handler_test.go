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
	"bronzerill/internal/router/placing"
	"bronzerill/internal/router/server"
)

// dialect is a plain stand-in for a platform's headers.
type dialect struct{}

var _ Dialect = dialect{}

func (dialect) ParseRequest(h http.Header) RequestInfo {
	ms, _ := strconv.Atoi(h.Get("Patience"))
	return RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), Timeout: time.Duration(ms) * time.Millisecond, ResumeAfter: h.Get("Resume")}
}

func (dialect) ForwardHeader(h http.Header, o ForwardOptions) http.Header {
	return http.Header{
		"Id": h["Id"], "Server": {o.Server}, "Customer": {o.Customer}, "Resume": {o.ResumeAfter},
		"Patience": {strconv.FormatInt(o.Remaining.Milliseconds(), 10)},
	}
}

func (dialect) ParseResponse(status int, h http.Header) ResponseInfo {
	return ResponseInfo{
		ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signature") != "",
		Misdirected: status == http.StatusMisdirectedRequest,
	}
}

func (dialect) ResponseHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Transfer-Encoding")
	out.Del("Content-Length")
	return out
}

func (dialect) WriteError(w http.ResponseWriter, kind bronzerill.Kind, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	}
	w.WriteHeader(kind.Answer().Status)
	_, _ = io.WriteString(w, kind.String())
}

// world is a router with a few scripted backend servers.
type world struct {
	t       *testing.T
	table   *placing.Table
	front   *httptest.Server
	servers []placing.Server
	asked   []*atomic.Int32
	log     *lines
}

// lines is a log that may be read while it is written.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newWorld(t *testing.T, backends ...http.HandlerFunc) *world {
	w := &world{t: t, log: &lines{}, table: placing.NewTable(placing.Config{Name: "a", Seed: 1})}
	for i, backend := range backends {
		asked := new(atomic.Int32)
		web := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			// net/http notices that the peer has left only after the body.
			_, _ = io.Copy(io.Discard, r.Body)
			backend(rw, r)
		}))
		t.Cleanup(web.Close)
		w.asked = append(w.asked, asked)
		w.servers = append(w.servers, placing.Server{ID: fmt.Sprint(i), Service: "desk", Addr: web.Listener.Addr().String(), Slots: 6})
	}
	now := time.Now()
	w.table.SetLimits(placing.Limits{RetryRatio: 0.2, RetrySlack: 62})
	w.table.SetList(now, now, w.servers)
	route := func(name string, kind declared.Kind, attempts int) declared.Route {
		return declared.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Second, Objective: 100 * time.Millisecond,
			PauseObjective: 100 * time.Millisecond, MaxAttempts: attempts, Targets: []declared.Target{{Service: "desk", Weight: 1}},
			Resumable: name == "resumable", Public: name == "public",
		}
	}
	state := declared.NewTable(declared.Document{
		Number: 1, RequiresKey: true,
		Routes: []declared.Route{
			route("once", declared.Once, 1), route("repeatable", declared.Repeatable, 2), route("stream", declared.Stream, 1),
			route("resumable", declared.Stream, 2), route("public", declared.Once, 1),
		},
		Services:  []declared.Service{{Name: "desk"}},
		Customers: []declared.Customer{{Name: "agency", Keys: []string{"key"}}},
	}, nil)
	handler := NewHandler(Config{
		Dialect: dialect{}, Servers: w.table, Client: server.NewClient(server.Config{Clock: time.Now}),
		Routes: func() *declared.Table { return state }, Clock: time.Now,
		Log: hclog.New(&hclog.LoggerOptions{Name: "a", JSONFormat: true, Output: w.log}),
	})
	w.front = httptest.NewServer(handler)
	t.Cleanup(w.front.Close)
	return w
}

func (w *world) request(ctx context.Context, path string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front.URL+path, strings.NewReader("body"))
	require.NoError(w.t, err)
	r.Host = "h"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "key")
	return r
}

// call returns the status, the body, and the error of reading it.
func (w *world) call(path string) (int, string, error) {
	response, err := http.DefaultClient.Do(w.request(w.t.Context(), path))
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(data), err
}

func (w *world) askedInAll() int {
	n := 0
	for _, asked := range w.asked {
		n += int(asked.Load())
	}
	return n
}

func answering(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func notRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Not-Run", "1")
	answering(http.StatusServiceUnavailable, "full")(w, r)
}

func unsigned(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "other") }

// breaking reads the request and breaks the connection.
func breaking(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func hanging(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func TestResponses(t *testing.T) {
	ok := answering(http.StatusOK, "ok")
	both := func(h http.HandlerFunc) []http.HandlerFunc { return []http.HandlerFunc{h, h} }
	tests := []struct {
		name     string
		path     string
		backends []http.HandlerFunc
		status   int
		body     string
		// asked is the number of servers that saw the request.
		asked int
	}{
		{"whole answer", "/once/x", both(ok), 200, "ok", 1},
		{"a server's own refusal is passed on", "/once/x", both(answering(http.StatusConflict, "taken")), 409, "taken", 1},
		{"unknown route", "/none/x", both(ok), 404, "unknown-route", 0},
		{"once: a lost answer is unknown, and never sent again", "/once/x", both(breaking), 502, "server-failed", 1},
		{"once: a failure that ran is passed on, and never sent again", "/once/x", both(answering(500, "boom")), 500, "boom", 1},
		{"once: 503 of a server that may have run it isn't passed on", "/once/x", both(answering(503, "busy")), 502, "server-failed", 1},
		{"once: 429 of a server that may have run it isn't passed on", "/once/x", both(answering(429, "busy")), 502, "server-failed", 1},
		{"once: servers that haven't run it are gone through", "/once/x", both(notRun), 503, "no-server", 2},
		{"once: an unsigned success isn't passed on", "/once/x", both(unsigned), 502, "server-failed", 1},
		{"once: silence ends at the route's timeout as unknown", "/once/x", both(hanging), 504, "timeout", 1},
		{"repeatable: two servers at most", "/repeatable/x", both(answering(500, "boom")), 500, "boom", 2},
		{"repeatable: silence moves to another server", "/repeatable/x", both(hanging), 504, "timeout", 2},
		{"stream: broken before its first event", "/stream/x", both(breaking), 502, "server-failed", 1},
		{"stream: failure", "/stream/x", both(answering(500, "boom")), 500, "boom", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, test.backends...)
			status, body, err := w.call(test.path)
			require.NoError(t, err)
			require.Equal(t, test.status, status, body)
			require.Equal(t, test.body, body)
			require.Equal(t, test.asked, w.askedInAll())
		})
	}
}

// TestEveryOutcomeIsLogged reads the log as an engineer on call would.
func TestEveryOutcomeIsLogged(t *testing.T) {
	tests := []struct {
		path    string
		backend http.HandlerFunc
		outcome string
	}{
		{"/once/x", answering(200, "ok"), "none"}, {"/none/x", answering(200, ""), "unknown-route"}, {"/once/x", breaking, "server-failed"},
		{"/once/x", notRun, "no-server"}, {"/once/x", hanging, "timeout"}, {"/stream/x", func(w http.ResponseWriter, r *http.Request) {
			events(w, r, 1, 2)
			panic(http.ErrAbortHandler)
		}, "truncated"},
	}
	for _, test := range tests {
		w := newWorld(t, test.backend)
		_, _, _ = w.call(test.path) // a broken answer is what one of them wants
		lines, broken, err := journal.Read(strings.NewReader(w.log.String()))
		require.NoError(t, err)
		require.Zero(t, broken)
		_, story := journal.Story(lines, "r1", time.Minute)
		require.NotEmpty(t, story, test.outcome)
		require.Equal(t, test.outcome, story[len(story)-1].Fields["outcome"])
	}
}

func TestNotRunKinds(t *testing.T) {
	for kind := range map[bronzerill.Kind]bool{
		bronzerill.KindOverloaded: true, bronzerill.KindNoServer: true, bronzerill.KindCold: true,
		bronzerill.KindNoState: true, bronzerill.KindRetryBudget: true, bronzerill.KindUnreachable: true, bronzerill.KindExpired: true,
	} {
		require.Equal(t, bronzerill.RunNot, kind.Answer().Run, kind.String())
	}
	for _, kind := range bronzerill.Kinds() {
		if promisesNotRun(kind.Answer().Status) && kind != bronzerill.KindNoQuorum {
			require.Equal(t, bronzerill.RunNot, kind.Answer().Run, "%s promises by its status", kind)
		}
	}
}

func TestRepeatableRequestIsRetriedOnAnotherServer(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{"lost": breaking, "failed": answering(500, ""), "busy": answering(503, ""), "unsigned": unsigned, "hanging": hanging} {
		t.Run(name, func(t *testing.T) {
			first := new(atomic.Bool)
			backend := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					bad(w, r)
				} else {
					answering(200, "ok")(w, r)
				}
			}
			w := newWorld(t, backend, backend)
			status, body, err := w.call("/repeatable/x")
			require.NoError(t, err)
			require.Equal(t, 200, status, body)
		})
	}
}

func TestKeys(t *testing.T) {
	seen := make(chan string, 4)
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Customer") + "," + r.Header.Get("Key")
		answering(200, "ok")(rw, r)
	})
	for _, test := range []struct {
		path, key string
		status    int
		seen      string
	}{{"/once/x", "key", 200, "agency,"}, {"/once/x", "other", 401, ""}, {"/once/x", "", 401, ""}, {"/public/x", "", 200, ","}} {
		r := w.request(t.Context(), test.path)
		r.Header.Set("Key", test.key)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, test.status, response.StatusCode)
		if test.status == 200 {
			require.Equal(t, test.seen, <-seen)
		}
	}
	require.Empty(t, seen)
}

func TestCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/once/x", "/repeatable/x", "/stream/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			left := make(chan time.Time, 4)
			backend := func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				left <- time.Now()
			}
			w := newWorld(t, backend, backend)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := http.DefaultClient.Do(w.request(ctx, path)) //nolint:bodyclose // there is no response
			require.Error(t, err)
			at := time.Now()
			require.Less(t, (<-left).Sub(at), 500*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, 1, w.askedInAll(), "nothing is sent for a caller that left")
		})
	}
}

func TestServerReceivesRemainingTime(t *testing.T) {
	var given atomic.Int64
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get("Patience"))
		given.Store(int64(ms))
		answering(200, "ok")(rw, r)
	})
	r := w.request(t.Context(), "/once/x")
	r.Header.Set("Patience", "300")
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.LessOrEqual(t, given.Load(), int64(300))
	require.Greater(t, given.Load(), int64(100))
}

func TestRequestWithoutDeclaredStateIsRefused(t *testing.T) {
	handler := NewHandler(Config{
		Dialect: dialect{}, Routes: func() *declared.Table { return nil }, Clock: time.Now, Log: hclog.NewNullLogger(),
	})
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/once/x", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}

func TestBodyDelimitedByConnectionClose(t *testing.T) {
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		conn, buffer, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		writeUnframed(buffer, r.Header.Get("Id"))
		_ = conn.Close()
	})
	status, body, err := w.call("/once/x")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "ok", body)
}

func writeUnframed(buffer *bufio.ReadWriter, id string) {
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\nok", id)
	_ = buffer.Flush()
}
