package caller

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/router/server"
)

// panickingDialect panics when it reads the response to a request with the ID "odd".
type panickingDialect struct{ testDialect }

func (d panickingDialect) ParseResponse(status int, h http.Header) ResponseInfo {
	if h.Get("Id") == "odd" {
		panic("odd response")
	}
	return d.testDialect.ParseResponse(status, h)
}

// panickingBody panics when it is read.
type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("odd body") }
func (panickingBody) Close() error             { return nil }

// Guards against a panic in the goroutine that receives a response, which ended the process with all
// requests (review/6).
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	router := newTestRouter(t, respond(http.StatusOK, "ok"))
	router.handler.cfg.Dialect = panickingDialect{}
	for _, path := range []string{"/once/x", "/repeatable/x", "/stream/x"} {
		r := router.request(t.Context(), path)
		r.Header.Set("Id", "odd")
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err, path)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusBadGateway, response.StatusCode, path)
	}
	require.Contains(t, router.logged.String(), "odd response")
	status, body, err := router.call("/repeatable/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ok", body)
}

// Guards against a panic that leaves its exchange waiting for further parts (review/6).
func TestPanicInABodyIsDelivered(t *testing.T) {
	e := &exchange{Handler: newTestRouter(t).handler, deliveries: make(chan delivery)}
	c := &serverCall{exchange: e, cancel: func() {}, released: make(chan struct{})}
	e.receivers.Go(func() error {
		defer c.containPanic()
		return c.receiveBody(&server.Response{Body: panickingBody{}})
	})
	require.NotNil(t, (<-e.deliveries).part.response)
	require.ErrorContains(t, (<-e.deliveries).part.err, "odd body")
	close(c.released)
	require.NoError(t, e.receivers.Wait())
}
