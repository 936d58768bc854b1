package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
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
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const apiKey = "api-key-of-hotel-serra"

// forwarder keeps the request that it was given, and answers.
type forwarder struct {
	got    agent.Request
	called int
	// err is the result; cut gives out a part of the answer first.
	err error
	cut bool
}

// Do answers "hello" or fails.
func (f *forwarder) Do(_ context.Context, q agent.Request, out agent.Output) error {
	f.got = q
	f.called++
	if f.err == nil || f.cut {
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

// start serves callers with a lease until the given time.
func start(t *testing.T, f *forwarder, leaseUntil time.Time) string {
	view := &control.View{Config: testConfig(), LeaseUntil: leaseUntil}
	s := NewServer(ServerConfig{
		Forwarder: f, View: func() *control.View { return view }, Clock: func() time.Time { return now },
		Log: hclog.NewNullLogger(), Secret: "a-secret-for-hints",
	})
	web := httptest.NewServer(s.Handler())
	web.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	t.Cleanup(web.Close)
	return web.URL
}

// call is one caller's request.
type call struct {
	method, path, body string
	header             map[string]string
}

// answer is what the caller got; err is the end of its body.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (c call) do(t *testing.T, base string) answer {
	request, err := http.NewRequest(c.method, base+c.path, strings.NewReader(c.body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, body, err}
}

func chat(body string) call { return call{method: "POST", path: PathChat, body: body} }

func (c call) with(name, value string) call {
	header := map[string]string{name: value}
	for k, v := range c.header {
		header[k] = v
	}
	c.header = header
	return c
}

const goodChat = `{"model": "guide", "prompt_cache_key": "family-7", "messages": []}`

// TestInvalidRequestsAreRefused checks that bad input never reaches the forwarder, and is
// answered by its kind and as not run.
func TestInvalidRequestsAreRefused(t *testing.T) {
	booking := call{method: "POST", path: PathServices + "desk/bookings", body: "{}"}
	old := uuid.Must(uuid.NewV7())
	// The first 48 bits of a version 7 UUID are its time.
	copy(old[:6], []byte{0x01, 0x80, 0, 0, 0, 0})
	cases := []struct {
		name string
		call call
		want bronzerill.Kind
	}{
		{"no API key", chat(goodChat).with("Authorization", ""), bronzerill.KindUnauthorized},
		{"wrong scheme", chat(goodChat).with("Authorization", "Basic x"), bronzerill.KindUnauthorized},
		{"unknown API key", chat(goodChat).with("Authorization", "Bearer x"), bronzerill.KindUnauthorized},
		{"no JSON", chat(`{"model": `), bronzerill.KindBadRequest},
		{"no model", chat(`{}`), bronzerill.KindBadRequest},
		{"unknown model", chat(`{"model": "x"}`), bronzerill.KindUnknownPool},
		{"a service as model", chat(`{"model": "desk"}`), bronzerill.KindUnknownPool},
		{"body too large", chat(`{"model": "guide", "x": "` + strings.Repeat("a", exchange.MaxBodyBytes) + `"}`), bronzerill.KindBodyTooLarge},
		{"chat id too long", chat(goodChat).with(HeaderChat, strings.Repeat("a", 300)), bronzerill.KindBadRequest},
		{"bad timeout", chat(goodChat).with(HeaderTimeout, "soon"), bronzerill.KindBadRequest},
		{"timeout too long", chat(goodChat).with(HeaderTimeout, "24h"), bronzerill.KindBadRequest},
		{"bad priority", chat(goodChat).with(HeaderPriority, "first"), bronzerill.KindBadRequest},
		{"unknown path", call{method: "GET", path: "/v1/tickets"}, bronzerill.KindUnknownPool},
		{"unknown service", call{method: "POST", path: PathServices + "x/bookings"}, bronzerill.KindUnknownPool},
		{"an engine as service", call{method: "POST", path: PathServices + "guide/x"}, bronzerill.KindUnknownPool},
		{"booking without a key", booking, bronzerill.KindKeyRequired},
		{"query doesn't make it repeatable", call{method: "POST", path: PathServices + "desk/bookings?x=/availability"}, bronzerill.KindKeyRequired},
		{"key too long", booking.with(HeaderIdempotencyKey, strings.Repeat("k", 300)), bronzerill.KindBadRequest},
		{"key past its retention", booking.with(HeaderIdempotencyKey, old.String()), bronzerill.KindKeyExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &forwarder{}
			response := c.call.do(t, start(t, f, now.Add(time.Minute)))
			assert.Equal(t, c.want.Response().Status, response.status)
			var body errorBody
			require.NoError(t, json.Unmarshal(response.body, &body))
			assert.Equal(t, c.want.String(), body.Error.Kind)
			assert.Equal(t, c.want.Response().Run.String(), response.header.Get(HeaderRun))
			assert.Zero(t, f.called)
		})
	}
}

func TestRequestWithoutLeaseIsRefused(t *testing.T) {
	f := &forwarder{}
	response := chat(goodChat).do(t, start(t, f, now))
	assert.Equal(t, "lease-lapsed", response.header.Get(HeaderKind))
	assert.Equal(t, "not-run", response.header.Get(HeaderRun))
	assert.Zero(t, f.called)
}

func TestChatIsForwarded(t *testing.T) {
	f := &forwarder{}
	response := chat(goodChat).with(HeaderPriority, "batch").do(t, start(t, f, now.Add(time.Minute)))
	assert.Equal(t, http.StatusOK, response.status)
	assert.Equal(t, "true", response.header.Get(HeaderWarm))
	o := f.got.Open
	assert.Equal(t, "hotel-serra", o.Customer)
	assert.Equal(t, 3, o.Weight)
	assert.Equal(t, "family-7", o.Chat)
	assert.Equal(t, exchange.PriorityBatch, o.Priority)
	assert.Equal(t, response.header.Get(HeaderRequest), o.ID.Request)
	assert.Equal(t, goodChat, string(o.Body))
	assert.NotEmpty(t, o.Fingerprint)
	assert.True(t, f.got.Repeatable)
}

// TestHintIsBoundToCustomerAndChat takes a hint back only from the customer and chat
// that it was given to.
func TestHintIsBoundToCustomerAndChat(t *testing.T) {
	f := &forwarder{}
	base := start(t, f, now.Add(time.Minute))
	hint := chat(goodChat).do(t, base).header.Get(HeaderHint)
	require.NotEmpty(t, hint)

	chat(goodChat).with(HeaderHint, hint).do(t, base)
	assert.Equal(t, "server-1", f.got.Preferred)
	chat(goodChat).with(HeaderHint, hint).with(HeaderChat, "family-8").do(t, base)
	assert.Empty(t, f.got.Preferred, "another chat")
	chat(goodChat).with(HeaderHint, hint).with("Authorization", "Bearer another-key").do(t, base)
	assert.Empty(t, f.got.Preferred, "another customer")
	chat(goodChat).with(HeaderHint, "server-2"+hint[len("server-2"):]).do(t, base)
	assert.Empty(t, f.got.Preferred, "another server")
}

func TestServiceRequestIsForwarded(t *testing.T) {
	f := &forwarder{}
	base := start(t, f, now.Add(time.Minute))
	call{method: "POST", path: PathServices + "desk/bookings", body: "{}"}.with(HeaderIdempotencyKey, "landau-1").do(t, base)
	assert.Equal(t, "landau-1", f.got.Open.Key)
	assert.Equal(t, "/bookings", f.got.Open.Path)
	assert.False(t, f.got.Repeatable)
	call{method: "GET", path: PathServices + "desk/availability"}.do(t, base)
	assert.True(t, f.got.Repeatable)
}

// TestTruncatedResponseAbortsTheConnection never ends a cut answer cleanly.
func TestTruncatedResponseAbortsTheConnection(t *testing.T) {
	f := &forwarder{err: bronzerill.Errorf(bronzerill.KindTruncated, "cut"), cut: true}
	response := chat(goodChat).do(t, start(t, f, now.Add(time.Minute)))
	assert.ErrorContains(t, response.err, "unexpected EOF")
}

func TestErrorBeforeTheHeadGetsAnErrorResponse(t *testing.T) {
	for _, kind := range bronzerill.Kinds() {
		f := &forwarder{err: bronzerill.Errorf(kind, "because")}
		response := chat(goodChat).do(t, start(t, f, now.Add(time.Minute)))
		assert.Equal(t, kind.Response().Status, response.status, kind.String())
		assert.Equal(t, kind.Response().Run.String(), response.header.Get(HeaderRun))
	}
}
