package router

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// streamDocument declares a route to the service "crashing".
const streamDocument = `{"version":5,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":2000,"target_latency_ms":300,"service":"crashing","max_attempts":1}],"services":[{"name":"crashing","health_path":"/health"}]}`

// startCrashingServers lists servers that end when they begin to answer a prompt with the part
// "dead". It returns the number of crashes.
func startCrashingServers(c *cluster, count int) *atomic.Int32 {
	crashes := new(atomic.Int32)
	var list strings.Builder
	for i := range count {
		backend := httptest.NewUnstartedServer(nil)
		backend.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the caller notices a failure
			if strings.Contains(r.Header.Get("X-Bronzerill-Prompt-Prefix"), "dead:") {
				crashes.Add(1)
				_ = backend.Listener.Close()
				backend.CloseClientConnections()
				return
			}
			rw.Header().Set("X-Bronzerill-Request-Id", r.Header.Get("X-Bronzerill-Request-Id"))
			rw.Header().Set("X-Bronzerill-Response-Stamp", "signed")
			_, _ = io.WriteString(rw, "id: 1\ndata: x\n\n")
		})
		backend.Start()
		c.t.Cleanup(backend.Close)
		_, _ = fmt.Fprintf(&list, `{"id":"c-%d","service":"crashing","address":%q,"zone":"zone-a","slots":6,"state":"ready"},`, i, backend.Listener.Addr())
	}
	c.extraServers.Store(list.String())
	return crashes
}

// sendPrompt sends a request with a prompt and returns the status, 0 for a broken connection.
func (c *cluster) sendPrompt(router int, id, prompt string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.addr(router, "callers")+"/a/x", strings.NewReader("body of "+id))
	require.NoError(c.t, err)
	request.Host = "h"
	request.Header.Set("X-Bronzerill-Request-Id", id)
	request.Header.Set("X-Bronzerill-Prompt-Prefix", prompt)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// The five routers each see only some of the crashes.
func TestCrashingPromptPartIsQuarantinedByAllRouters(t *testing.T) {
	c := newCluster(t, 5, 3)
	crashes := startCrashingServers(c, 14)
	c.awaitOperatorCall(0, "PUT", "/v1/config", streamDocument, 200)
	for i := range c.routers {
		require.Eventually(t, func() bool { return c.sendPrompt(i, fmt.Sprintf("first-%d", i), "aa:9,bb:9,cc:9") == 200 }, waitTimeout, 20*time.Millisecond)
	}
	for n := range 12 {
		router := n % len(c.routers)
		c.sendPrompt(router, fmt.Sprintf("deadly-%d", n), fmt.Sprintf("aa:9,b%d:9,dead:9,c%d:9", n, n))
		// The crash reaches the other routers with the next digests.
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 200, c.sendPrompt(router, fmt.Sprintf("sound-%d", n), fmt.Sprintf("aa:9,b%d:9,d%d:9", n, n)), "a sound request with the same other parts")
	}
	require.LessOrEqual(t, crashes.Load(), int32(5))
	for i := range c.routers {
		require.Equal(t, 503, c.sendPrompt(i, fmt.Sprintf("last-%d", i), "aa:9,dead:9,zz:9"), "router %d", i)
	}
}
