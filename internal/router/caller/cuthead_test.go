package caller

import (
	"bufio"
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
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/router/placement"
	"bronzerill/internal/router/server"
	"bronzerill/internal/wire/httpabort"
)

// cutResponse is a response that a server may cut off anywhere.
type cutResponse struct {
	head, body string
	// text is the body without its chunks.
	text string
	// framed is set if the response has a length or chunks.
	framed bool
	// step is the distance between the cuts that a test tries.
	step int
}

// interimStep is the step of responses after an interim one.
const interimStep = 7

// cutResponses are responses to a request, by the form of their heads.
func cutResponses() map[string]cutResponse {
	const fields = "Id: r1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
	text := eventText(1, 2)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text))
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 5, text[:5], len(text)-5, text[5:])
	plain := map[string]cutResponse{
		"length":             {"HTTP/1.1 200 OK\r\n" + fields + length, text, text, true, 1},
		"length first":       {"HTTP/1.1 200 OK\r\n" + strings.TrimSuffix(length, "\r\n") + fields + "\r\n", text, text, true, 1},
		"chunked":            {"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", chunks, text, true, 1},
		"unframed":           {"HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n", text, text, false, 1},
		"HTTP/1.0, length":   {"HTTP/1.0 200 OK\r\n" + fields + length, text, text, true, 1},
		"HTTP/1.0, unframed": {"HTTP/1.0 200 OK\r\n" + fields + "\r\n", text, text, false, 1},
		"no text":            {"HTTP/1.1 200 OK\r\nSignature: s\r\nId: r1\r\nContent-Length: 0\r\n\r\n", "", "", true, 1},
		"client error":       {"HTTP/1.1 404 Not Found\r\n" + fields + length, text, text, true, 1},
	}
	all := make(map[string]cutResponse)
	for name, response := range plain {
		all[name] = response
		for _, interim := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\nSignature: s\r\nId: r1\r\n\r\n"} {
			after := response
			after.head = interim + response.head
			after.step = interimStep
			all[name+" after "+interim[9:12]] = after
		}
	}
	return all
}

// cut is how a server cuts off its response.
type cut struct {
	// sent is what it sends before it closes the connection.
	sent string
	// resets makes it reset the connection.
	resets bool
	// ends makes the process end with the response.
	ends bool
}

// cutServer cuts off its responses.
type cutServer struct {
	listener net.Listener
	group    errgroup.Group
	mu       sync.Mutex
	cut      cut
	conns    []net.Conn
	// ended is set while its process has ended.
	ended bool
}

// cutServerBorn is the start time that the process states.
const cutServerBorn = 1

func startCutServer(t *testing.T) *cutServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &cutServer{listener: listener}
	s.group.Go(func() error {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return nil
			}
			if s.add(conn) {
				s.group.Go(func() error { s.serve(conn); return nil })
			}
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		s.end(nil)
		_ = s.group.Wait()
	})
	return s
}

// start starts the process, if it has ended, and sets how it cuts off its responses.
func (s *cutServer) start(c cut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut, s.ended = c, false
}

// add reports whether the process accepts a connection.
func (s *cutServer) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		closeByReset(conn)
		return false
	}
	s.conns = append(s.conns, conn)
	return true
}

// end ends the process with all its connections but one.
func (s *cutServer) end(but net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, conn := range s.conns {
		if conn != but {
			closeByReset(conn)
		}
	}
	s.conns = nil
}

// closeByReset closes a connection without keeping its port.
func closeByReset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func (s *cutServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			closeByReset(conn)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == testStatusPath {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", cutServerBorn)
			continue
		}
		s.mu.Lock()
		c := s.cut
		s.mu.Unlock()
		_, _ = io.WriteString(conn, c.sent)
		if c.ends {
			s.end(conn)
		}
		if c.resets {
			closeByReset(conn)
		}
		_ = conn.Close()
		return
	}
}

// cutRouter is a router before a server that cuts off its responses.
type cutRouter struct {
	*testRouter
	server   *cutServer
	client   *server.Client
	current  atomic.Pointer[Handler]
	frontend *httptest.Server
}

func newCutRouter(t *testing.T, others ...http.HandlerFunc) *cutRouter {
	r := &cutRouter{testRouter: newTestRouter(t, others...), server: startCutServer(t), client: server.NewClient(server.Config{Clock: time.Now})}
	r.frontend = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { r.current.Load().ServeHTTP(w, request) }))
	r.frontend.Config.ConnContext = httpabort.ConnContext
	r.frontend.Start()
	t.Cleanup(r.frontend.Close)
	return r
}

// call makes a request to a router that knows nothing of earlier ones. The first server that it
// tries cuts off its response. The caller speaks a version of HTTP.
func (r *cutRouter) call(path, version string, c cut) cutResult {
	r.server.start(c)
	first := placement.Server{ID: "first", Service: "desk", Addr: r.server.listener.Addr().String(), Slots: 6, Version: "v1", Noted: true}
	if path == "/engine/x" {
		first.Service, first.Born = "engine", cutServerBorn
	}
	table := placement.NewTable(placement.Config{Name: "a", Seed: 1})
	table.SetLimits(placement.Limits{RetryRatio: 0.2, RetrySlack: 62})
	now := time.Now()
	table.SetList(now, now, append([]placement.Server{first}, r.servers...))
	r.current.Store(NewHandler(Config{
		Dialect: testDialect{}, Servers: table, Client: r.client, Streams: r.streams, States: loadedStates(r.state.Load), Clock: time.Now, Log: hclog.NewNullLogger(),
	}))
	return r.receive(path, version)
}

// cutResult is a response as a caller sees it.
type cutResult struct {
	status int
	signed bool
	body   string
	// complete is set if the response ends like a whole one.
	complete bool
}

// success reports whether the caller takes the response for one that its request has got.
func (r cutResult) success() bool {
	return r.complete && (r.status < http.StatusBadRequest || r.signed)
}

func (r *cutRouter) receive(path, version string) cutResult {
	conn, err := net.Dial("tcp", r.frontend.Listener.Addr().String())
	require.NoError(r.t, err)
	defer closeByReset(conn)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h\r\nId: r1\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody", path, version)
	require.NoError(r.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return cutResult{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return cutResult{response.StatusCode, response.Header.Get("Signature") != "", string(body), err == nil}
}

// cutBodyBytes is how much of a body is sent at most before a cut.
const cutBodyBytes = 12

// callerVersions are the versions of HTTP that callers speak.
var callerVersions = []string{"1.0", "1.1"}

func TestResponseThatIsCutOffInItsHeadIsNotComplete(t *testing.T) {
	for form, response := range cutResponses() {
		for path := range unframedPaths {
			t.Run(form+", "+path[1:], func(t *testing.T) {
				t.Parallel()
				router := newCutRouter(t)
				whole := response.head + response.body
				for n := len(path) % response.step; n < len(whole) && n <= len(response.head)+cutBodyBytes; n += response.step {
					// A body without framing that a living process ends is a whole one.
					ends := !response.framed && n >= len(response.head)
					for _, resets := range []bool{false, true} {
						version := callerVersions[n%2]
						if resets {
							version = callerVersions[(n+1)%2]
						}
						got := router.call(path, version, cut{whole[:n], resets, ends})
						require.False(t, got.success(), "%d of %d bytes of the head, reset %v, HTTP/%s: %+v", n, len(response.head), resets, version, got)
					}
				}
			})
		}
	}
}

// A server that responds is found after the first one.
func TestResponseThatIsCutOffInItsHeadIsReplacedByAWholeOne(t *testing.T) {
	text := eventText(1, 2)
	other := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/resumable/x" {
			after, _ := strconv.Atoi(r.Header.Get("Resume"))
			sendEvents(w, r, after+1, 2)
			return
		}
		respond(http.StatusOK, text)(w, r)
	}
	for form, response := range cutResponses() {
		for _, path := range []string{"/repeatable/x", "/resumable/x"} {
			t.Run(form+", "+path[1:], func(t *testing.T) {
				t.Parallel()
				router := newCutRouter(t, other)
				for n := 0; n < len(response.head); n += 2 + response.step {
					got := router.call(path, callerVersions[n%2], cut{sent: response.head[:n], resets: n%4 < 2})
					require.True(t, got.success(), "%d of %d bytes of the head: %+v", n, len(response.head), got)
					require.Equal(t, text, got.body, "%d of %d bytes of the head", n, len(response.head))
				}
			})
		}
	}
}

func TestResponseThatIsNotCutOffIsComplete(t *testing.T) {
	for form, response := range cutResponses() {
		for path := range unframedPaths {
			t.Run(form+", "+path[1:], func(t *testing.T) {
				t.Parallel()
				for _, version := range callerVersions {
					// Each has connections of its own: the server closes them after the response.
					got := newCutRouter(t).call(path, version, cut{sent: response.head + response.body})
					require.True(t, got.success(), "HTTP/%s: %+v", version, got)
					require.Equal(t, response.text, got.body, "HTTP/%s", version)
				}
			})
		}
	}
}
