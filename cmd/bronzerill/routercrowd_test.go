package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/platform/standin"
)

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
