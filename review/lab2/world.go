package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// listedServer is an entry of the platform's list.
type listedServer struct {
	ID      string  `json:"id"`
	Service string  `json:"service"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Version string  `json:"version"`
	Slots   int     `json:"slots"`
	State   string  `json:"state"`
	Cold    float64 `json:"cold_remaining_ms"`
	Born    int64   `json:"born"`
}

// world holds the stand-ins around the routers: the platform's list and the servers.
type world struct {
	record *record
	list   net.Listener
	// tasks serve until the program ends.
	tasks   sync.WaitGroup
	mu      sync.Mutex
	servers []*server
}

// server is a stand-in of a backend server.
type server struct {
	*world
	listedServer
	listener net.Listener
	// answer returns the bytes of the answer to a request that has run. Without it the server
	// answers as a sound one.
	answer func(r *received) []byte
	// work is how long a request runs.
	work time.Duration
}

// received is a request that has reached a server.
type received struct {
	id, line string
	header   http.Header
	body     []byte
}

func newWorld(rec *record) (*world, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, list: listener}
	web := &http.Server{Handler: http.HandlerFunc(w.serveList), ReadHeaderTimeout: time.Second}
	w.tasks.Go(func() { _ = web.Serve(listener) }) // it ends with the program
	return w, nil
}

func (w *world) serveList(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	var entries []listedServer
	for _, s := range w.servers {
		entries = append(entries, s.listedServer)
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"instances": entries, "next": nil}) // the router may have gone
}

// addServer starts a server and lists it.
func (w *world) addServer(service, zone string, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &server{world: w, listener: listener, work: work, listedServer: listedServer{
		ID: fmt.Sprintf("i-%08x", 0x7f3a9100+len(w.servers)), Service: service, Address: listener.Addr().String(), Zone: zone,
		Version: "v1", Slots: 48, State: "ready", Born: time.Now().UnixMilli(),
	}}
	w.servers = append(w.servers, s)
	w.tasks.Go(s.serve)
	return s, nil
}

func (s *server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.tasks.Go(func() { s.serveConn(conn) })
	}
}

// serveConn serves one channel, one request at a time.
func (s *server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var line firstLine
	reader := bufio.NewReader(io.TeeReader(conn, &line))
	for {
		line.reset(reader)
		request, err := http.ReadRequest(reader)
		if err != nil {
			if text := line.text(); text != "" && !errors.Is(err, io.EOF) {
				s.record.add("server", "%s reads what is no request: %q: %v", s.ID, text, err)
			}
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		r := &received{id: request.Header.Get("X-Bronzerill-Request-Id"), line: line.text(), header: request.Header, body: body}
		if _, err := conn.Write(s.respond(r, request)); err != nil {
			return
		}
	}
}

func (s *server) respond(r *received, request *http.Request) []byte {
	switch {
	case request.URL.Path == "/health":
		return respond(http.StatusOK, "ok", "X-Bronzerill-Instance-Id: "+s.ID)
	case r.id == "":
		return respond(http.StatusBadRequest, "", "X-Bronzerill-Not-Executed: 1")
	case r.header.Get("X-Bronzerill-Expect-Instance") != s.ID:
		return respond(http.StatusMisdirectedRequest, "", "X-Bronzerill-Not-Executed: 1", "X-Bronzerill-Request-Id: "+r.id)
	}
	s.record.add("server", "%s runs %s: %q, %d bytes", s.ID, r.id, r.line, len(r.body))
	time.Sleep(s.work)
	if s.answer != nil {
		if answer := s.answer(r); answer != nil {
			return answer
		}
	}
	return sound(r)
}

// sound returns the answer of a sound server.
func sound(r *received) []byte {
	return respond(http.StatusOK, "answer to "+r.id+strings.Repeat(".", 200), "X-Bronzerill-Request-Id: "+r.id, "X-Bronzerill-Response-Stamp: stamp-"+r.id)
}

func respond(status int, body string, headers ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// firstLine keeps the first line of each request as it was read from the channel.
type firstLine struct{ data []byte }

func (l *firstLine) Write(p []byte) (int, error) {
	l.data = append(l.data, p...)
	return len(p), nil
}

// reset begins a new request, of which the reader may hold some bytes already.
func (l *firstLine) reset(reader *bufio.Reader) {
	held, _ := reader.Peek(reader.Buffered())
	l.data = bytes.Clone(held)
}

func (l *firstLine) text() string {
	line, _, _ := bytes.Cut(l.data, []byte("\r\n"))
	return string(line)
}
