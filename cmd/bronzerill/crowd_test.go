package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill/platform/standin"
)

// Limits of the routers that crowds call.
const (
	// crowdMemoryMB is the memory of the router.
	crowdMemoryMB = 96
	// crowdDescriptors is how many descriptors the router may have open.
	crowdDescriptors = 512
	// maxOpenDescriptors leaves a quarter of them for calls to servers, peers and files.
	maxOpenDescriptors = crowdDescriptors * 3 / 4
	// legalBody is the largest body that callers may send.
	legalBody = 4 << 20
	// ordinaryBody is the body of an ordinary request. It is larger than what all connections may take for
	// themselves.
	ordinaryBody = 256 << 10
	// bodyClients is how many clients send large bodies, or receive them.
	bodyClients = 150
	// halvings is how many sizes of bodies a crowd sends.
	halvings = 9
	// receiveBuffer is the receive buffer of a client of a crowd.
	receiveBuffer = 4 << 10
	// crowdPause is how long a client waits before it connects again.
	crowdPause = 50 * time.Millisecond
	// crowdTime is how long a crowd lasts before ordinary requests are sent beside it.
	crowdTime = 2 * time.Second
	// patience is how long a client waits for something that has to come at some time.
	patience = 20 * time.Second
)

// behavior is what a client of a crowd does on one connection. It returns once the connection is of no use any more.
type behavior func(conn net.Conn, client int, id string) error

// crowd is a number of clients that misbehave. Each connects again when its connection is closed.
type crowd struct {
	stop  context.CancelFunc
	group errgroup.Group
	// connects counts the connections.
	connects atomic.Int64
}

// startCrowd starts clients at an address.
func startCrowd(t *testing.T, addr string, clients int, behave behavior) *crowd {
	ctx, stop := context.WithCancel(t.Context())
	c := &crowd{stop: stop}
	for i := range clients {
		c.group.Go(func() error {
			for n := 0; ctx.Err() == nil; n++ {
				c.connect(ctx, addr, func(conn net.Conn) error { return behave(conn, i, fmt.Sprintf("crowd-%d-%d", i, n)) })
				select {
				case <-ctx.Done():
				case <-time.After(crowdPause):
				}
			}
			return nil
		})
	}
	t.Cleanup(c.end)
	return c
}

func (c *crowd) connect(ctx context.Context, addr string, use func(conn net.Conn) error) {
	dialer := net.Dialer{Control: shrinkReceiveBuffer}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	c.connects.Add(1)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	// It ends with an error whenever the router or the end of the crowd closes the connection.
	_ = use(conn)
}

// shrinkReceiveBuffer leaves little room for responses that aren't read, so that they stay with their sender.
func shrinkReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, optionErr)
}

// end closes all connections.
func (c *crowd) end() {
	c.stop()
	_ = c.group.Wait() // its functions never fail
}

// hold reads the response, if one comes, and keeps the connection open until the router closes it.
func hold(conn net.Conn) error {
	_, err := io.Copy(io.Discard, conn)
	return err
}

// requestHead returns the head of a request, without the empty line that ends it.
func requestHead(path, id, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + standin.IDField(id) + fields
}

// sendBody sends the start of a request with a body, in pieces of a size, and holds the connection. The first clients
// send the whole of the bytes, the next ones half of them, and so on, so that they take all the memory that they can.
// In the fields, LENGTH stands for a length that isn't reached, and ID for the ID of the request.
func sendBody(path, fields string, body []byte, pieceBytes int) behavior {
	return func(conn net.Conn, client int, id string) error {
		rest := body[:len(body)>>(client%halvings)]
		head := strings.NewReplacer("LENGTH", fmt.Sprint(len(rest)+1), "ID", id).Replace(fields)
		if _, err := io.WriteString(conn, requestHead(path, id, head)+"\r\n"); err != nil {
			return err
		}
		for len(rest) > 0 {
			n := min(pieceBytes, len(rest))
			if _, err := conn.Write(rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
		}
		return hold(conn)
	}
}

// unfinishedTrailer sends a request with a body in chunks and the start of a trailer, and holds the connection.
func unfinishedTrailer(path string, body, trailer []byte) behavior {
	return func(conn net.Conn, _ int, id string) error {
		head := requestHead(path, id, "Transfer-Encoding: chunked\r\n") + "\r\n"
		if _, err := conn.Write(slices.Concat([]byte(head), body, trailer)); err != nil {
			return err
		}
		return hold(conn)
	}
}

// sendOn sends a whole request with a body, and then bytes until the connection is closed. It reads nothing. The bodies have the
// sizes of sendBody.
func sendOn(path string, body []byte) behavior {
	return func(conn net.Conn, client int, id string) error {
		first := body[:len(body)>>(client%halvings)]
		head := requestHead(path, id, fmt.Sprintf("Content-Length: %d\r\n", len(first))) + "\r\n"
		if _, err := conn.Write(append([]byte(head), first...)); err != nil {
			return err
		}
		for {
			if _, err := conn.Write(body); err != nil {
				return err
			}
		}
	}
}

// sendText sends a text, in which ID stands for the ID of the request, and holds the connection.
func sendText(text string) behavior {
	return func(conn net.Conn, _ int, id string) error {
		if _, err := io.WriteString(conn, strings.Replace(text, "ID", id, 1)); err != nil {
			return err
		}
		return hold(conn)
	}
}

// leaveUnread reads the start of a response, and no more of it if that is a success.
func leaveUnread(conn net.Conn) error {
	start := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, start); err != nil || !strings.HasSuffix(string(start), "200") {
		return err
	}
	// The process closes the connection at some time, which ends a write.
	for {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		time.Sleep(crowdPause)
	}
}

// shortFields returns fields of a head, each as short as can be.
func shortFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// chunked returns a number of body bytes in chunks without the last one.
func chunked(total, chunkBytes int, extension string) []byte {
	var b bytes.Buffer
	chunk := strings.Repeat("x", chunkBytes)
	for n := 0; n < total; n += chunkBytes {
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", chunkBytes, extension, chunk)
	}
	return b.Bytes()
}

// target is a process that a crowd calls.
type target struct {
	*process
	// addr is its port for callers.
	addr string
	// call sends an ordinary request and returns the status, 0 without a response.
	call func(body io.Reader) int
	// legalBody is the size of the largest body that its callers may send.
	legalBody int
}

// requireServed requires that an ordinary request with a body is answered, at some time and at some attempt.
func (p *target) requireServed(bodyBytes int) {
	statuses := make(map[int]int)
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(crowdPause) {
		status := p.call(bytes.NewReader(make([]byte, bodyBytes)))
		if status == http.StatusOK {
			return
		}
		statuses[status]++
	}
	require.Fail(p.t, "no request was served", "body of %d bytes, statuses %v", bodyBytes, statuses)
}

// requireEndures lets a crowd do something. While it goes on, the process must keep to its memory and its descriptors, and serve
// an ordinary request. Once the crowd is gone, it must serve the largest one.
func (p *target) requireEndures(clients int, behave behavior) {
	c := startCrowd(p.t, p.addr, clients, behave)
	most, held := 0, 0
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(crowdPause) {
		p.requireRuns()
		most = max(most, p.openDescriptors())
		held = max(held, (p.residentBytes()+p.unreadBytes())>>20)
	}
	p.requireServed(0)
	p.requireServed(ordinaryBody)
	p.requireRuns()
	most = max(most, p.openDescriptors())
	peak := p.peakMB()
	p.t.Logf("peak memory %d MB of %d, %d MB with unread bytes, %d descriptors open of %d, %d connections", peak, crowdMemoryMB, held, most, crowdDescriptors, c.connects.Load())
	c.end()
	require.Less(p.t, peak, crowdMemoryMB)
	require.Less(p.t, held, crowdMemoryMB, "with bytes that have arrived and weren't read")
	require.LessOrEqual(p.t, most, maxOpenDescriptors)
	p.requireServed(p.legalBody)
}

// Guards against connections that together take more memory than there is, without much of a request on any (issue 52).
func TestConnectionsFitTheMemory(t *testing.T) {
	const memoryMB, clients = 64, 3000
	p := startRouterWith(t, routerConfig{services: make(map[string]http.HandlerFunc), memoryMB: memoryMB}).target()
	startCrowd(t, p.addr, clients, sendBody("/sound/repeatable/x", "Content-Length: 4000\r\n", make([]byte, 3999), legalBody))
	time.Sleep(crowdTime)
	p.requireServed(ordinaryBody)
	p.requireRuns()
	peak := p.peakMB()
	t.Logf("peak memory %d MB of %d, %d descriptors open", peak, memoryMB, p.openDescriptors())
	require.Less(t, peak, memoryMB)
}

// startCrowded starts a router for a crowd.
func startCrowded(t *testing.T, services map[string]http.HandlerFunc) *target {
	if services == nil {
		services = make(map[string]http.HandlerFunc)
	}
	return startRouterWith(t, routerConfig{services: services, memoryMB: crowdMemoryMB, descriptors: crowdDescriptors}).target()
}

// target returns the router as the target of a crowd.
func (p *routerProcess) target() *target {
	return &target{process: p.process, addr: p.addrs["callers"], legalBody: legalBody, call: func(body io.Reader) int {
		return p.call(p.t.Context(), "/sound/repeatable/x", body)
	}}
}

// Guards against clients that send many bodies at once and don't finish them (issue 52).
func TestUnfinishedBodies(t *testing.T) {
	const path, length, chunks = "/sound/repeatable/x", "Content-Length: LENGTH\r\n", "Transfer-Encoding: chunked\r\n"
	legal := make([]byte, legalBody-1)
	trailer := []byte("0\r\nA: " + strings.Repeat("x", 2000))
	tests := map[string]struct {
		clients int
		behave  behavior
	}{
		"whole":             {bodyClients, sendBody(path, length, legal, legalBody)},
		"piece by piece":    {bodyClients, sendBody(path, length, legal, 1000)},
		"large chunks":      {bodyClients, sendBody(path, chunks, chunked(legalBody-1<<16, 1<<16, ""), legalBody)},
		"small chunks":      {bodyClients, sendBody(path, chunks, chunked(512<<10, 8, ""), legalBody)},
		"smallest chunks":   {bodyClients, sendBody(path, chunks, chunked(512<<10, 1, ""), legalBody)},
		"extensions":        {bodyClients, sendBody(path, chunks, chunked(512<<10, 64, ";"+strings.Repeat("e", 60)), legalBody)},
		"trailers":          {bodyClients, unfinishedTrailer(path, chunked(512<<10, 1<<10, ""), trailer)},
		"many small":        {400, sendBody(path, length, make([]byte, 48<<10), legalBody)},
		"nothing of a body": {400, sendBody(path, length, nil, 1)},
		"announced large":   {bodyClients, sendBody(path, "Content-Length: 1073741824\r\n", legal, legalBody)},
		"sent large":        {bodyClients, sendBody(path, chunks, chunked(16<<20, 1<<16, ""), legalBody)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { startCrowded(t, nil).requireEndures(test.clients, test.behave) })
	}
}

// Guards against long heads of many requests at once, most of all with many fields, which take far more memory than
// their bytes (issue 52).
func TestLongHeads(t *testing.T) {
	const path = "/sound/repeatable/x"
	tests := map[string]string{
		"unfinished, many fields": requestHead(path, "ID", shortFields(60<<10)),
		"unfinished, one field":   requestHead(path, "ID", "A: "+strings.Repeat("x", 60<<10)),
		"without a body":          requestHead(path, "ID", "Content-Length: 1\r\n"+shortFields(60<<10)) + "\r\n",
		"legal, without a body":   requestHead(path, "ID", "Content-Length: 1\r\n"+shortFields(15<<10)) + "\r\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			startCrowded(t, nil).requireEndures(400, sendText(head))
		})
	}
}

// Guards against clients that hold connections with requests that no handler of the router sees, or that are refused unread
// (issue 52).
func TestRefusedRequests(t *testing.T) {
	unfinished := "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 1000)
	tests := map[string]string{
		"options of the server":         "OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123",
		"options of the server, chunks": "OPTIONS * HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123",
		"unknown route":                 requestHead("/none/x", "ID", unfinished),
		"without an ID":                 "POST /sound/repeatable/x HTTP/1.1\r\nHost: h\r\n" + unfinished,
		"announced large":               requestHead("/sound/repeatable/x", "ID", "Content-Length: 1073741824\r\n\r\n"),
		"expects to go on":              requestHead("/sound/repeatable/x", "ID", "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n"),
		"other expectation":             requestHead("/sound/repeatable/x", "ID", "Expect: x\r\n"+unfinished),
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			startCrowded(t, nil).requireEndures(crowdDescriptors+100, sendText(sent))
		})
	}
}

// Guards against clients that take all descriptors: with connections on which they send nothing, or nothing more
// after a request (issue 52).
func TestIdleConnections(t *testing.T) {
	tests := map[string]string{
		"unused":          "",
		"start of a head": "POST /sound/repeatable/x HTTP/1.1\r\nHost: h\r\n",
		"used":            requestHead("/sound/repeatable/x", "ID", "Content-Length: 0\r\n") + "\r\n",
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			startCrowded(t, nil).requireEndures(crowdDescriptors+100, sendText(sent))
		})
	}
}

// sendEvents sends a long stream.
func sendEvents(w http.ResponseWriter, r *http.Request) {
	id, _, _ := standin.ReadRequestHeaders(r)
	standin.Sign(w, id, "s")
	w.Header().Set("Content-Type", "text/event-stream")
	event := []byte("data: " + strings.Repeat("x", 1000) + "\n\n")
	for sent, err := 0, error(nil); err == nil && sent < 64<<20; sent += len(event) {
		_, err = w.Write(event)
	}
}

// unreadResponse sends a whole request, and reads no more than the start of the response.
func unreadResponse(path string, bodyBytes int) behavior {
	return func(conn net.Conn, _ int, id string) error {
		head := requestHead(path, id, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)) + "\r\n"
		if _, err := conn.Write(append([]byte(head), make([]byte, bodyBytes)...)); err != nil {
			return err
		}
		return leaveUnread(conn)
	}
}

// Guards against clients that don't read their responses (issue 52).
func TestUnreadResponses(t *testing.T) {
	large := make([]byte, legalBody)
	services := func() map[string]http.HandlerFunc {
		return map[string]http.HandlerFunc{
			"large": func(w http.ResponseWriter, r *http.Request) {
				id, _, _ := standin.ReadRequestHeaders(r)
				standin.Sign(w, id, "s")
				size, _ := strconv.Atoi(path.Base(r.URL.Path))
				_, _ = w.Write(large[:size])
			},
			"events": sendEvents,
		}
	}
	tests := map[string]struct {
		clients int
		path    string
		body    int
	}{
		"large":           {bodyClients, "/large/repeatable/", 0},
		"large, with one": {bodyClients, "/large/repeatable/", ordinaryBody},
		"stream":          {300, "/events/stream/", 0},
		"resumable":       {300, "/events/resumable/", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			startCrowded(t, services()).requireEndures(test.clients, func(conn net.Conn, client int, id string) error {
				return unreadResponse(fmt.Sprint(test.path, len(large)>>(client%halvings)), test.body)(conn, client, id)
			})
		})
	}
}

// Guards against bytes that arrive and that the process doesn't read for the time being: they take memory of its machine, too
// (issue 52).
func TestUnreadBytesFitTheMemory(t *testing.T) {
	const memoryMB, clients = 64, 400
	slow := func(w http.ResponseWriter, r *http.Request) {
		id, _, _ := standin.ReadRequestHeaders(r)
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(crowdTime):
		}
		standin.Sign(w, id, "s")
	}
	tests := map[string]struct {
		handler http.HandlerFunc
		behave  behavior
	}{
		"behind a request":            {slow, sendOn("/service/repeatable/x", make([]byte, legalBody))},
		"of a stream that isn't read": {sendEvents, unreadResponse("/service/stream/x", 0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := startRouterWith(t, routerConfig{services: map[string]http.HandlerFunc{"service": test.handler}, memoryMB: memoryMB}).target()
			c := startCrowd(t, p.addr, clients, test.behave)
			held := 0
			for end := time.Now().Add(2 * crowdTime); time.Now().Before(end); time.Sleep(crowdPause) {
				p.requireRuns()
				held = max(held, (p.residentBytes()+p.unreadBytes())>>20)
			}
			p.requireServed(0)
			t.Logf("%d MB with unread bytes of %d, peak memory %d MB, %d connections", held, memoryMB, p.peakMB(), c.connects.Load())
			require.Less(t, held, memoryMB)
			require.Less(t, p.peakMB(), memoryMB)
		})
	}
}

// Guards against requests that wait without end for the rest of their body (issue 52).
func TestUnfinishedBodyIsAnswered(t *testing.T) {
	tests := map[string]struct{ path, fields, body string }{
		"length":              {"/sound/repeatable/x", "Content-Length: 10\r\n", "123"},
		"chunks":              {"/sound/repeatable/x", "Transfer-Encoding: chunked\r\n", "5\r\n123"},
		"stream":              {"/sound/stream/x", "Content-Length: 10\r\n", "123"},
		"unknown route":       {"/none/x", "Content-Length: 10\r\n", "123"},
		"unknown, chunks":     {"/none/x", "Transfer-Encoding: chunked\r\n", "5\r\n123"},
		"large, unknown":      {"/none/x", "Content-Length: 100000\r\n", strings.Repeat("x", 99_999)},
		"announced too large": {"/sound/repeatable/x", "Content-Length: 1000000000\r\n", "123"},
	}
	p := startCrowded(t, nil)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", p.addr)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, requestHead(test.path, "unfinished-"+name, test.fields)+"\r\n"+test.body)
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
			answer, err := io.ReadAll(conn)
			require.NoError(t, err, "the router closes the connection; it sent %q", answer)
			require.Regexp(t, `^HTTP/1.1 (404|408|413|503) `, string(answer), "a refusal that is true: nothing has run")
		})
	}
}
