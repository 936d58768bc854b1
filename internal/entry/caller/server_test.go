package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/entry/agent"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/httpabort"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const apiKey = "api-key-of-hotel-serra"

// fakeForwarder records the request that it receives and responds to it.
type fakeForwarder struct {
	received agent.Request
	calls    int
	// err is the result of Do. truncate writes a part of the response before it.
	err      error
	truncate bool
}

// Do responds with "hello" or returns an error.
func (f *fakeForwarder) Do(_ context.Context, request agent.Request, out agent.Output) error {
	f.received = request
	f.calls++
	if f.err == nil || f.truncate {
		if err := out.WriteHead(&exchange.Head{Status: 200, ContentType: "text/plain", Server: "server-1", Warm: true}); err != nil {
			return err
		}
		if err := out.WriteData([]byte("hello")); err != nil {
			return err
		}
	}
	return f.err
}

func testConfig() *bronzerill.Config {
	return (&bronzerill.Config{}).WithChanges(bronzerill.Changes{
		Pools: []bronzerill.Pool{
			{Name: "bronze-guides", Kind: bronzerill.PoolEngine},
			{Name: "stable-desk", Kind: bronzerill.PoolService, RepeatablePaths: []string{"/availability"}},
		},
		Customers: []bronzerill.Customer{
			{Name: "hotel-serra", KeyHash: KeyHash(apiKey), Weight: 3},
			{Name: "another", KeyHash: KeyHash("another-key"), Weight: 1},
		},
		Policies: []bronzerill.Policy{{Name: "guide", Pool: "bronze-guides"}, {Name: "desk", Pool: "stable-desk"}},
	})
}

// startServer starts a server whose lease ends at leaseUntil, and returns its URL.
func startServer(t *testing.T, f *fakeForwarder, leaseUntil time.Time) string {
	view := &control.View{Config: testConfig(), LeaseUntil: leaseUntil}
	s := NewServer(ServerConfig{
		Forwarder: f, View: func() *control.View { return view }, Clock: func() time.Time { return now },
		Log: hclog.NewNullLogger(), Secret: "a-secret-for-hints",
	})
	web := httptest.NewUnstartedServer(s.Handler())
	web.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	web.Config.ConnContext = httpabort.ConnContext
	web.Start()
	t.Cleanup(web.Close)
	return web.URL
}

// Guards against 401 and 404 by a configuration whose lease lapsed while the machine was suspended (issue 55).
func TestSuspendedEntryRefusesNothingForGood(t *testing.T) {
	view := &control.View{Config: testConfig(), LeaseUntil: now.Add(time.Second)}
	suspended := time.Duration(0)
	s := NewServer(ServerConfig{
		Forwarder: &fakeForwarder{}, View: func() *control.View { return view }, Clock: func() time.Time { return now },
		LeaseClock: func() time.Time { return now.Add(suspended) }, Log: hclog.NewNullLogger(),
	})
	status := func(key, model string) int {
		r := httptest.NewRequest(http.MethodPost, PathChat, strings.NewReader(`{"model":"`+model+`"}`))
		r.Header.Set("Authorization", "Bearer "+key)
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		return w.Code
	}
	require.Equal(t, http.StatusUnauthorized, status("new-key", "guide"))
	require.Equal(t, http.StatusNotFound, status(apiKey, "new-policy"))
	suspended = time.Minute
	require.Equal(t, http.StatusServiceUnavailable, status("new-key", "guide"))
	require.Equal(t, http.StatusServiceUnavailable, status(apiKey, "new-policy"))
}

// request is a caller's request.
type request struct {
	method, path, body string
	header             map[string]string
}

// testResponse is a response as the caller receives it. err is the error of
// reading the body.
type testResponse struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r request) send(t *testing.T, base string) testResponse {
	httpRequest, err := http.NewRequest(r.method, base+r.path, strings.NewReader(r.body))
	require.NoError(t, err)
	httpRequest.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range r.header {
		httpRequest.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(httpRequest)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return testResponse{response.StatusCode, response.Header, body, err}
}

func chatRequest(body string) request {
	return request{method: "POST", path: PathChat, body: body}
}

func (r request) withHeader(name, value string) request {
	header := map[string]string{name: value}
	for k, v := range r.header {
		header[k] = v
	}
	r.header = header
	return r
}

const validChat = `{"model": "guide", "prompt_cache_key": "family-7", "messages": []}`

// TestInvalidRequestsAreRefused checks that an invalid request never reaches the
// forwarder and gets a response with the expected kind and run state.
func TestInvalidRequestsAreRefused(t *testing.T) {
	booking := request{method: "POST", path: PathServices + "desk/bookings", body: "{}"}
	old := uuid.Must(uuid.NewV7())
	// The first 48 bits of a version 7 UUID are its creation time.
	copy(old[:6], []byte{0x01, 0x80, 0, 0, 0, 0})
	cases := []struct {
		name    string
		request request
		want    bronzerill.Kind
	}{
		{"no API key", chatRequest(validChat).withHeader("Authorization", ""), bronzerill.KindUnauthorized},
		{"wrong scheme", chatRequest(validChat).withHeader("Authorization", "Basic x"), bronzerill.KindUnauthorized},
		{"unknown API key", chatRequest(validChat).withHeader("Authorization", "Bearer x"), bronzerill.KindUnauthorized},
		{"invalid JSON", chatRequest(`{"model": `), bronzerill.KindBadRequest},
		{"no model", chatRequest(`{}`), bronzerill.KindBadRequest},
		{"unknown model", chatRequest(`{"model": "x"}`), bronzerill.KindUnknownPool},
		{"service policy as model", chatRequest(`{"model": "desk"}`), bronzerill.KindUnknownPool},
		{"body too large", chatRequest(`{"model": "guide", "x": "` + strings.Repeat("a", exchange.MaxBodyBytes) + `"}`), bronzerill.KindBodyTooLarge},
		{"chat id too long", chatRequest(validChat).withHeader(HeaderChat, strings.Repeat("a", 300)), bronzerill.KindBadRequest},
		{"bad timeout", chatRequest(validChat).withHeader(HeaderTimeout, "soon"), bronzerill.KindBadRequest},
		{"timeout too long", chatRequest(validChat).withHeader(HeaderTimeout, "24h"), bronzerill.KindBadRequest},
		{"bad priority", chatRequest(validChat).withHeader(HeaderPriority, "first"), bronzerill.KindBadRequest},
		{"unknown path", request{method: "GET", path: "/v1/tickets"}, bronzerill.KindUnknownPool},
		{"unknown service", request{method: "POST", path: PathServices + "x/bookings"}, bronzerill.KindUnknownPool},
		{"engine policy as service", request{method: "POST", path: PathServices + "guide/x"}, bronzerill.KindUnknownPool},
		{"booking without a key", booking, bronzerill.KindKeyRequired},
		{"repeatable path only in the query", request{method: "POST", path: PathServices + "desk/bookings?x=/availability"}, bronzerill.KindKeyRequired},
		{"key too long", booking.withHeader(HeaderIdempotencyKey, strings.Repeat("k", 300)), bronzerill.KindBadRequest},
		{"key past its retention", booking.withHeader(HeaderIdempotencyKey, old.String()), bronzerill.KindKeyExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeForwarder{}
			response := c.request.send(t, startServer(t, f, now.Add(time.Minute)))
			assert.Equal(t, c.want.Response().Status, response.status)
			var body errorBody
			require.NoError(t, json.Unmarshal(response.body, &body))
			assert.Equal(t, c.want.String(), body.Error.Kind)
			assert.Equal(t, c.want.Response().Run.String(), response.header.Get(HeaderRun))
			assert.Zero(t, f.calls)
		})
	}
}

func TestRequestWithoutLeaseIsRefused(t *testing.T) {
	f := &fakeForwarder{}
	response := chatRequest(validChat).send(t, startServer(t, f, now))
	assert.Equal(t, "lease-lapsed", response.header.Get(HeaderKind))
	assert.Equal(t, "not-run", response.header.Get(HeaderRun))
	assert.Zero(t, f.calls)
}

func TestChatIsForwarded(t *testing.T) {
	f := &fakeForwarder{}
	response := chatRequest(validChat).withHeader(HeaderPriority, "batch").send(t, startServer(t, f, now.Add(time.Minute)))
	assert.Equal(t, http.StatusOK, response.status)
	assert.Equal(t, "true", response.header.Get(HeaderWarm))
	open := f.received.Open
	assert.Equal(t, "hotel-serra", open.Customer)
	assert.Equal(t, 3, open.Weight)
	assert.Equal(t, "family-7", open.Chat)
	assert.Equal(t, exchange.PriorityBatch, open.Priority)
	assert.Equal(t, response.header.Get(HeaderRequest), open.ID.Request)
	assert.Equal(t, validChat, string(open.Body))
	assert.NotEmpty(t, open.Fingerprint)
	assert.True(t, f.received.Repeatable)
}

// TestHintIsBoundToCustomerAndChat checks that a hint is valid only for the customer
// and chat that it was issued to.
func TestHintIsBoundToCustomerAndChat(t *testing.T) {
	f := &fakeForwarder{}
	base := startServer(t, f, now.Add(time.Minute))
	hint := chatRequest(validChat).send(t, base).header.Get(HeaderHint)
	require.NotEmpty(t, hint)

	chatRequest(validChat).withHeader(HeaderHint, hint).send(t, base)
	assert.Equal(t, "server-1", f.received.Preferred)
	chatRequest(validChat).withHeader(HeaderHint, hint).withHeader(HeaderChat, "family-8").send(t, base)
	assert.Empty(t, f.received.Preferred, "another chat")
	chatRequest(validChat).withHeader(HeaderHint, hint).withHeader("Authorization", "Bearer another-key").send(t, base)
	assert.Empty(t, f.received.Preferred, "another customer")
	chatRequest(validChat).withHeader(HeaderHint, "server-2"+hint[len("server-2"):]).send(t, base)
	assert.Empty(t, f.received.Preferred, "another server")
}

func TestServiceRequestIsForwarded(t *testing.T) {
	f := &fakeForwarder{}
	base := startServer(t, f, now.Add(time.Minute))
	request{method: "POST", path: PathServices + "desk/bookings", body: "{}"}.withHeader(HeaderIdempotencyKey, "landau-1").send(t, base)
	assert.Equal(t, "landau-1", f.received.Open.Key)
	assert.Equal(t, "/bookings", f.received.Open.Path)
	assert.False(t, f.received.Repeatable)
	request{method: "GET", path: PathServices + "desk/availability"}.send(t, base)
	assert.True(t, f.received.Repeatable)
}

// TestTruncatedResponseAbortsTheConnection checks that a truncated response doesn't
// look complete to the caller.
func TestTruncatedResponseAbortsTheConnection(t *testing.T) {
	f := &fakeForwarder{err: bronzerill.Errorf(bronzerill.KindTruncated, "cut"), truncate: true}
	response := chatRequest(validChat).send(t, startServer(t, f, now.Add(time.Minute)))
	assert.ErrorContains(t, response.err, "unexpected EOF")
}

// TestTruncatedResponseIsResetForCallersWithoutChunks checks the same for a caller with HTTP/1.0.
func TestTruncatedResponseIsResetForCallersWithoutChunks(t *testing.T) {
	f := &fakeForwarder{err: bronzerill.Errorf(bronzerill.KindTruncated, "cut"), truncate: true}
	conn, err := net.Dial("tcp", strings.TrimPrefix(startServer(t, f, now.Add(time.Minute)), "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", PathChat, apiKey, len(validChat), validChat)
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestErrorBeforeTheHeadGetsAnErrorResponse(t *testing.T) {
	for _, kind := range bronzerill.Kinds() {
		f := &fakeForwarder{err: bronzerill.Errorf(kind, "because")}
		response := chatRequest(validChat).send(t, startServer(t, f, now.Add(time.Minute)))
		assert.Equal(t, kind.Response().Status, response.status, kind.String())
		assert.Equal(t, kind.Response().Run.String(), response.header.Get(HeaderRun))
	}
}
