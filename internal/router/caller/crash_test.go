package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/router/placement"
)

// crashingServers are backend servers that end when they begin to answer a request with
// the part "deadly" in its prompt. They don't answer requests whose last part begins with "slow".
type crashingServers struct {
	*testRouter
	crashes atomic.Int32
	// waiting counts the requests that aren't answered.
	waiting atomic.Int32
}

func newCrashingServers(t *testing.T, count int) *crashingServers {
	servers := &crashingServers{testRouter: newTestRouter(t)}
	servers.replace(count)
	return servers
}

// replace makes the router use new servers instead of the present ones.
func (s *crashingServers) replace(count int) {
	list := make([]placement.Server, 0, count)
	for range count {
		backend := httptest.NewUnstartedServer(nil)
		backend.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(backend, rw, r) })
		backend.Start()
		s.t.Cleanup(backend.Close)
		addr := backend.Listener.Addr().String()
		list = append(list, placement.Server{ID: addr, Service: "desk", Addr: addr, Slots: 6})
	}
	now := time.Now()
	s.table.SetList(now, now, list)
}

func (s *crashingServers) serve(backend *httptest.Server, rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	parts := strings.Split(r.Header.Get("Prompt"), ",")
	if strings.HasPrefix(parts[len(parts)-1], "slow") {
		s.waiting.Add(1)
		<-r.Context().Done()
		return
	}
	if slices.Contains(parts, "deadly") {
		s.crashes.Add(1)
		_ = backend.Listener.Close()
		backend.CloseClientConnections()
		return
	}
	sendEvents(rw, r, 1, 3)
}

// send sends a request for a stream with a prompt and returns the status, 0 if the connection broke.
func (s *crashingServers) send(prompt string) int {
	r := s.request(context.Background(), "/stream/x")
	r.Header.Set("Prompt", prompt)
	r.Body = io.NopCloser(strings.NewReader(prompt))
	r.ContentLength = int64(len(prompt))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func TestRequestsWithCrashingPromptPartStopReachingServers(t *testing.T) {
	for name, rest := range map[string]func(i int) string{
		"other parts vary": strconv.Itoa,
		"same companion":   func(int) string { return "companion" },
	} {
		t.Run(name, func(t *testing.T) {
			servers := newCrashingServers(t, 12)
			for i := range 10 {
				servers.send("common," + rest(i) + ",deadly,own" + strconv.Itoa(i))
				require.Equal(t, 200, servers.send("common,other,own"), "a sound request after %d crashes", servers.crashes.Load())
			}
			require.LessOrEqual(t, servers.crashes.Load(), int32(5))
			require.Equal(t, 200, servers.send("common,"+rest(9)+",own"), "the parts beside the deadly one stay served")
		})
	}
}

func TestCrashIsFoundWithoutAnotherRequestToTheServer(t *testing.T) {
	servers := newCrashingServers(t, 2)
	servers.send("common,deadly,own")
	require.Contains(t, servers.logged.String(), "server crashed")
}

func TestSoundRequestsInFlightAtCrashesStayServed(t *testing.T) {
	servers := newCrashingServers(t, 1)
	sound := []string{"common,rare-a", "common,rare-b", "rare-c"}
	answered := func() {
		for _, parts := range sound {
			require.Equal(t, 200, servers.send(parts+",own"), parts)
		}
	}
	for round := range 4 {
		var callers errgroup.Group
		for _, parts := range sound {
			callers.Go(func() error {
				servers.send(parts + ",slow" + strconv.Itoa(round))
				return nil
			})
		}
		require.Eventually(t, func() bool { return int(servers.waiting.Load()) == (round+1)*len(sound) }, time.Second, time.Millisecond)
		require.Equal(t, 502, servers.send("common,deadly,own"+strconv.Itoa(round)))
		require.NoError(t, callers.Wait())
		servers.replace(1)
	}
	answered()
	require.Equal(t, 503, servers.send("common,deadly,own"))
	require.Contains(t, servers.logged.String(), fmt.Sprintf(`"suspect":%d`, xxhash.Sum64String("deadly")))
	answered()
}
