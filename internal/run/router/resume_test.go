package router

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/router/placement"
)

// New streams pause after event pauseAfter, until their connection is closed. Resumed ones
// end with lastEvent.
const (
	pauseAfter = 3
	lastEvent  = 8
)

// streamServer sends events whose data names its version.
func streamServer(t *testing.T, version string) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Bronzerill-Request-Id", r.Header.Get("X-Bronzerill-Request-Id"))
		w.Header().Set("X-Bronzerill-Response-Stamp", "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for id := after + 1; id <= lastEvent; id++ {
			if id > pauseAfter && after == 0 {
				<-r.Context().Done()
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, version)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(s.Close)
	return s
}

func streamEntry(id, version string, s *httptest.Server) string {
	return fmt.Sprintf(`{"id":%q,"service":"chat","address":%q,"zone":"zone-a","slots":48,"state":"ready","version":%q},`, id, s.Listener.Addr(), version)
}

// receivedStream is a response that a caller reads event by event.
type receivedStream struct {
	t      *testing.T
	status int
	reader *bufio.Reader
}

// stream calls the route of the streams at a router. A caller that resumes names the attempt
// that brought the first event.
func (c *cluster) stream(router int, id, resumes string) *receivedStream {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.addr(router, "callers")+"/s/x", strings.NewReader("body"))
	require.NoError(c.t, err)
	request.Host = "h"
	request.Header.Set("X-Bronzerill-Request-Id", id)
	if resumes != "" {
		request.Header.Set("Resumes", resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(pauseAfter))
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = response.Body.Close() })
	return &receivedStream{t: c.t, status: response.StatusCode, reader: bufio.NewReader(response.Body)}
}

// versionUpTo reads the events up to the given one and returns their version.
func (s *receivedStream) versionUpTo(last int) string {
	require.Equal(s.t, http.StatusOK, s.status)
	version := ""
	for id := 0; id < last; {
		line, err := s.reader.ReadString('\n')
		require.NoError(s.t, err)
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, err = strconv.Atoi(strings.TrimSpace(text))
			require.NoError(s.t, err)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			data = strings.TrimSpace(data)
			require.True(s.t, version == "" || version == data, "%s after %s", data, version)
			version = data
		}
	}
	return version
}

// One of the routers at which the callers resume their streams has just started.
func TestStreamIsResumedAtItsVersionAfterItsRouterWasKilled(t *testing.T) {
	c := newCluster(t, 4, 3)
	servers := map[string]*httptest.Server{"v1": streamServer(t, "v1"), "v2": streamServer(t, "v2")}
	c.extraServers.Store(streamEntry("s-1", "v1", servers["v1"]) + streamEntry("s-2", "v2", servers["v2"]))
	streams := strings.NewReplacer(
		`"routes":[`, `"routes":[{"name":"s","host":"h","path_prefix":"/s/","kind":"streaming","timeout_ms":9000,"target_latency_ms":300,"gap_target_ms":9000,"service":"chat","max_attempts":2,"resumable":true},`,
		`"services":[`, `"services":[{"name":"chat","health_path":"/health"},`).Replace(document(5, "/a/"))
	c.awaitOperatorCall(0, "PUT", "/v1/config", streams, 200)
	for i := range c.routers {
		c.awaitStatus(i, "/a/x", 200)
		require.Eventually(t, func() bool {
			list, _ := c.routers[i].list.current()
			noted := !slices.ContainsFunc(list, func(s placement.Server) bool { return !s.Noted })
			return noted && c.routers[i].servers.HasMixedVersions(time.Now(), "chat") && c.routers[i].peers.Alive(time.Now()) == 3
		}, waitTimeout, 20*time.Millisecond)
	}
	begun := make(map[string]string)
	for i := range 12 {
		id := fmt.Sprintf("first-%d", i)
		begun[id] = c.stream(3, id, "").versionUpTo(pauseAfter)
	}
	c.stop[3]()
	c.routers = append(c.routers, nil)
	c.stop[3] = func() {}
	c.stop = append(c.stop, nil)
	c.start(4, "", false)
	c.awaitStatus(4, "/a/x", 200)

	versions := make(map[string]bool)
	for id, version := range begun {
		for _, router := range []int{0, 1, 4} {
			resumed := c.stream(router, fmt.Sprintf("%s-at-%d", id, router), id)
			require.Equal(t, version, resumed.versionUpTo(lastEvent))
		}
		versions[version] = true
	}
	require.Len(t, versions, 2)

	require.Equal(t, http.StatusServiceUnavailable, c.stream(4, "r", "nobody knows").status)
	c.extraServers.Store(streamEntry("s-2", "v2", servers["v2"]))
	require.Eventually(t, func() bool {
		list, _ := c.routers[0].list.current()
		return !slices.ContainsFunc(list, func(s placement.Server) bool { return s.ID == "s-1" })
	}, waitTimeout, 20*time.Millisecond)
	for id, version := range begun {
		resumed := c.stream(0, id+"-late", id)
		if version == "v1" {
			require.Equal(t, http.StatusServiceUnavailable, resumed.status, "no server of its version is left")
			continue
		}
		require.Equal(t, version, resumed.versionUpTo(lastEvent))
	}
}
