package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/settings/file"
	"bronzerill/platform"
)

// patience bounds every wait of these tests.
const patience = 15 * time.Second

// world is a small platform: a list of servers, one server, and routers at
// 127.0.0.1 and on, as their ports are the same.
type world struct {
	t      *testing.T
	list   *httptest.Server
	server *httptest.Server
	asked  atomic.Int32
	// engine is a model engine; keptAsked counts how often it was asked what it
	// keeps.
	engine    *httptest.Server
	keptAsked atomic.Int32
	ports     map[string]int
	stop      []func()
	routes    []*Router
}

func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func newWorld(t *testing.T, routers, disks int) *world {
	w := &world{t: t, ports: make(map[string]int)}
	for _, name := range []string{"callers", "readiness", "operators", "internal"} {
		w.ports[name] = freePort(t)
	}
	w.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.asked.Add(1)
		rw.Header().Set("X-Bronzerill-Request-Id", r.Header.Get("X-Bronzerill-Request-Id"))
		rw.Header().Set("X-Bronzerill-Response-Stamp", "signed")
		_, _ = io.WriteString(rw, "answer")
	}))
	t.Cleanup(w.server.Close)
	w.engine = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/kv-list" {
			w.keptAsked.Add(1)
		}
		_, _ = io.WriteString(rw, `{"epoch":1,"next":9,"held":[["","5c1e07a2",800,"m"],["","91bd3f06",410,"m"]]}`)
	}))
	t.Cleanup(w.engine.Close)
	w.list = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(rw, `{"instances":[{"id":"i-1","service":"desk","address":%q,"zone":"zone-a","slots":6,"state":"ready"},
			{"id":"i-2","service":"guides","address":%q,"zone":"zone-a","slots":48,"state":"ready"}],"next":null}`, w.server.Listener.Addr(), w.engine.Listener.Addr())
	}))
	t.Cleanup(w.list.Close)
	for i := range routers {
		folder := ""
		if i < disks {
			folder = t.TempDir()
		}
		w.routes = append(w.routes, nil)
		w.stop = append(w.stop, nil)
		w.start(i, folder, true)
	}
	t.Cleanup(func() {
		for _, stop := range w.stop {
			stop()
		}
	})
	return w
}

func (w *world) addr(router int, port string) string {
	return fmt.Sprintf("127.0.0.%d:%d", router+1, w.ports[port])
}

func (w *world) start(i int, folder string, found bool) {
	var seeds []string
	for seed := range 3 {
		seeds = append(seeds, w.addr(seed, "operators"))
	}
	s := file.Settings{Name: fmt.Sprintf("router-%d", i), Zone: "zone-a", LogLevel: "info", Router: &file.Router{
		Callers: w.addr(i, "callers"), Readiness: w.addr(i, "readiness"), Operators: w.addr(i, "operators"), Internal: w.addr(i, "internal"),
		Seeds: seeds, Found: found, DataFolder: folder, InstanceList: w.list.Listener.Addr().String(),
		Losses: 1, StopTimeout: file.Duration{Duration: 8 * time.Second},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	tasks, ctx := errgroup.WithContext(ctx)
	r, err := newRouter(s, "", platform.Adapter{}, hclog.NewNullLogger())
	require.NoError(w.t, err)
	require.NoError(w.t, r.start(ctx, tasks))
	w.routes[i] = r
	w.stop[i] = func() {
		cancel()
		require.NoError(w.t, tasks.Wait())
		r.clients.Close()
	}
}

func document(number int, prefix string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","path_prefix":"%s","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"desk","max_attempts":2}],"services":[{"name":"desk","health_path":"/health"}]}`, number, prefix)
}

// order sends an operator's call until it is answered with the status.
func (w *world) order(router int, method, path, body string, want int) string {
	var got string
	require.Eventually(w.t, func() bool {
		request, err := http.NewRequest(method, "http://"+w.addr(router, "operators")+path, strings.NewReader(body))
		require.NoError(w.t, err)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		got = string(data)
		return err == nil && response.StatusCode == want
	}, patience, 20*time.Millisecond, "%s %s at %d", method, path, router)
	return got
}

func (w *world) call(router int, path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+w.addr(router, "callers")+path, nil)
	require.NoError(w.t, err)
	request.Host = "h"
	request.Header.Set("X-Bronzerill-Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(w.t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func (w *world) awaitCall(router int, path string, want int) {
	require.Eventually(w.t, func() bool { return w.call(router, path) == want }, patience, 20*time.Millisecond, "%s at %d", path, router)
}

// awaitVoters waits until a router's replica is one of so many voters.
func (w *world) awaitVoters(router, voters int) {
	require.Eventually(w.t, func() bool {
		node := w.routes[router].group.replica()
		if node == nil {
			return false
		}
		members := node.Status(time.Now()).Members
		return members.IsVoter(node.Name()) && members.Voters() == voters && len(members.List) == voters
	}, patience, 20*time.Millisecond)
}

func number(t *testing.T, source string) int {
	var d struct{ Version int }
	require.NoError(t, json.Unmarshal([]byte(source), &d))
	return d.Version
}

// TestFleet founds a group of routers, two of them without a disk, and takes it
// through changes, a zone out and back, and the loss of a disk.
func TestFleet(t *testing.T) {
	w := newWorld(t, 5, 3)
	require.False(t, w.routes[4].Ready(), "nothing is served before there is a desired state")
	w.order(4, "PUT", "/v1/config", document(5, "/a/"), 200)
	for i := range w.routes {
		w.awaitCall(i, "/a/x", 200)
		require.True(t, w.routes[i].Ready())
		require.Equal(t, 404, w.call(i, "/b/x"))
	}
	w.order(3, "PUT", "/v1/config", "{", 400)
	w.order(2, "PUT", "/v1/config", document(9, "/b/"), 200)
	w.order(1, "PUT", "/v1/config", document(7, "/c/"), 200)
	for i := range w.routes {
		w.awaitCall(i, "/b/x", 200)
		require.Equal(t, 9, number(t, w.order(i, "GET", "/v1/config", "", 200)))
	}
	w.order(0, "POST", "/v1/evacuations/zone-a", "", 200)
	for i := range w.routes {
		w.awaitCall(i, "/b/x", 503)
	}
	asked := w.asked.Load()
	require.Equal(t, 503, w.call(4, "/b/x"))
	require.Equal(t, asked, w.asked.Load())
	w.order(4, "DELETE", "/v1/evacuations/zone-a", "", 200)
	w.awaitCall(3, "/b/x", 200)

	w.awaitVoters(1, 3)
	// A replica loses its disk and comes back empty at its address.
	w.stop[1]()
	w.start(1, t.TempDir(), false)
	w.awaitVoters(1, 3)
	// So another one may be lost.
	w.stop[2]()
	w.stop[2] = func() {}
	w.order(3, "PUT", "/v1/config", document(11, "/d/"), 200)
	require.Equal(t, 11, number(t, w.order(1, "GET", "/v1/config", "", 200)))
	w.awaitCall(4, "/d/x", 200)
}

// TestFounderAloneAcknowledgesNothing starts the founder without the others: what
// it acknowledged now would be gone with its disk (soak, seed 2).
func TestFounderAloneAcknowledgesNothing(t *testing.T) {
	w := newWorld(t, 1, 1)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		w.order(0, "PUT", "/v1/config", document(5, "/a/"), 503)
		require.Zero(t, w.routes[0].holder.Revision())
	}
	for i := 1; i < 3; i++ {
		w.routes = append(w.routes, nil)
		w.stop = append(w.stop, nil)
		w.start(i, t.TempDir(), true)
	}
	w.order(1, "PUT", "/v1/config", document(5, "/a/"), 200)
}

// TestRouterServesWithFailedDisk answers a disk that refuses writes: the router
// serves callers, and its replica comes back with the disk.
func TestRouterServesWithFailedDisk(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.order(0, "PUT", "/v1/config", document(5, "/a/"), 200)
	obstacle := filepath.Join(t.TempDir(), "disk")
	require.NoError(t, os.WriteFile(obstacle, nil, 0o600))
	w.routes = append(w.routes, nil)
	w.stop = append(w.stop, nil)
	w.start(3, filepath.Join(obstacle, "data"), false)
	w.awaitCall(3, "/a/x", 200)
	time.Sleep(2 * replicaPause)
	require.Equal(t, 200, w.call(3, "/a/x"))
	require.Equal(t, 5, number(t, w.order(3, "GET", "/v1/config", "", 200)))
	require.NoError(t, os.Remove(obstacle))
	w.awaitVoters(3, 4)
}

// TestEnginesAreAskedOnceForAllRouters answers a start of all routers: one asks the
// engines what they keep, and the others that one, also a router that comes later.
func TestEnginesAreAskedOnceForAllRouters(t *testing.T) {
	w := newWorld(t, 3, 3)
	withEngines := strings.Replace(document(5, "/a/"), `"services":[`, `"services":[{"name":"guides","health_path":"/health","engine":{"slots":48,"kv_capacity":9000}},`, 1)
	w.order(0, "PUT", "/v1/config", withEngines, 200)
	w.routes = append(w.routes, nil)
	w.stop = append(w.stop, nil)
	w.start(3, "", false)
	for i, r := range w.routes {
		require.Eventually(t, r.directory.informed.Load, patience, 20*time.Millisecond, "router %d", i)
		kept := r.servers.Directory(time.Now()).Kept
		require.Len(t, kept, 1)
		require.Len(t, kept[0].Prompts, 2)
	}
	require.EqualValues(t, 1, w.keptAsked.Load())
}

// TestMinorityAnswersNoRead leaves one replica of three: a read of the desired
// state must not be answered by what it knows alone, while callers are served.
func TestMinorityAnswersNoRead(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.order(0, "PUT", "/v1/config", document(5, "/a/"), 200)
	w.awaitCall(2, "/a/x", 200)
	w.awaitVoters(2, 3)
	for _, i := range []int{0, 1} {
		w.stop[i]()
		w.stop[i] = func() {}
	}
	w.order(2, "GET", "/v1/config", "", 503)
	w.order(2, "PUT", "/v1/config", document(6, "/b/"), 503)
	require.Equal(t, 200, w.call(2, "/a/x"))
}
