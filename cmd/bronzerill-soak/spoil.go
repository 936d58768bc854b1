package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"bronzerill/internal/standin/raw"
	"bronzerill/internal/wire/tcp"
	"bronzerill/platform/standin"
)

const (
	// memoryMB is the memory limit of a router.
	memoryMB = 284
	// spoiledShare is one in how many answers is spoiled.
	spoiledShare = 3
	// spoilBursts is how often callers send many requests at once meanwhile.
	spoilBursts = 3
	// fillerBytes is what a server writes at once of an answer without end, and maxFiller all of it, in case that the
	// router keeps reading.
	fillerBytes = 64 << 10
	maxFiller   = 64 << 20
	// earlyShare is one in how many requests has a long body, before whose end its server begins to answer and resets
	// the connection.
	earlyShare     = 12
	earlyBodyBytes = 4 << 20
)

// spoiled is an answer that is none.
type spoiled struct {
	head string
	// endless is set if bytes follow until the router closes the connection.
	endless bool
	// broken is which of raw.BrokenResponses is sent in place of the head, with the server's signature, -1 for none.
	broken int
}

// spoiledHeads are the heads of spoiled answers. The first line and some fields precede some of them.
var spoiledHeads = []string{
	"Content-Length: 9223372036854775807\r\n\r\nspoiled", "Content-Length: 18446744073709551616\r\n\r\n", "Content-Length: -7\r\n\r\n",
	"Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", "Transfer-Encoding: chunked\r\n\r\n10000000\r\n", "Keep-Alive: timeout=-9223372036854775808\r\nContent-Length: 9\r\n\r\n",
	"A: ", "\r\n", "Content-Length: 8388608\r\n\r\n", "Content-Type: text/event-stream\r\n\r\ndata: ",
}

var spoiledStatuses = []string{"200", "000", "099", "101", "999", "503"}

// spoiledAnswer returns how the answer to a request is spoiled, nil if it isn't.
func spoiledAnswer(id string) *spoiled {
	hash := hashOf("spoil " + id)
	if hash%spoiledShare > 0 {
		return nil
	}
	hash /= spoiledShare
	if kinds := len(raw.BrokenResponses("", "")); hash%2 == 0 {
		return &spoiled{broken: int(hash/2) % kinds}
	}
	hash /= 2
	status := spoiledStatuses[0]
	if hash%4 == 0 {
		status = spoiledStatuses[int(hash/4)%len(spoiledStatuses)]
	}
	s := &spoiled{broken: -1, endless: hash%2 == 0, head: spoiledHeads[int(hash/32)%len(spoiledHeads)]}
	if hash%16 > 0 {
		// Without a signature, none of them is an answer of the server, whatever follows.
		s.head = "HTTP/1.1 " + status + " X\r\n" + standin.IDField(id) + s.head
	}
	return s
}

// write writes the answer in place of a response.
func (s *spoiled) write(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := s.head
	if s.broken >= 0 {
		head = raw.BrokenResponses(fieldLines(rw.Header()), "spoiled")[s.broken]
	}
	_, err = io.WriteString(conn, head)
	filler := strings.Repeat("x", fillerBytes)
	for sent := 0; s.endless && err == nil && sent < maxFiller; sent += fillerBytes {
		_, err = io.WriteString(conn, filler)
	}
}

// fieldLines returns the lines of a header.
func fieldLines(h http.Header) string {
	var lines strings.Builder
	// Writing to memory can't fail.
	_ = h.Write(&lines)
	return lines.String()
}

// cutsOffEarly reports whether the server of a request begins to answer before it has read the body, and resets
// the connection.
func cutsOffEarly(id string) bool { return hashOf("early "+id)%earlyShare == 0 }

// cutOffEarly sends part of a signed response without a length or chunks and resets the connection.
func cutOffEarly(rw http.ResponseWriter, part string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fieldLines(rw.Header())+"\r\n"+part)
	_ = tcp.Reset(conn)
}

// spoilAnswers lets servers spoil some of their answers, some of them without end, while callers send many requests
// at once. No router may end, or exceed its memory.
func spoilAnswers(f *fleet, w *world, c *callers, random *rand.Rand) {
	running := make(map[*node]int)
	for _, n := range f.nodes {
		running[n] = n.cmd.Process.Pid
	}
	w.spoils.Store(true)
	streams := new(errgroup.Group)
	for range spoilBursts {
		c.beginStreams(streams, random)
		time.Sleep(time.Second)
	}
	_ = streams.Wait() // sending never fails
	w.spoils.Store(false)
	for n, pid := range running {
		peak, err := peakMB(pid)
		switch {
		case err != nil || len(n.done) > 0:
			w.addViolation("router %d ended by itself while servers spoiled their answers: %v", n.index, err)
		case peak >= memoryMB:
			w.addViolation("router %d took %d MB of memory while servers spoiled their answers, %d allowed", n.index, peak, memoryMB)
		}
	}
	time.Sleep(settleTime)
}

// peakMB returns the largest resident memory that a process has had.
func peakMB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kb int
	_, err = fmt.Sscan(rest, &kb)
	return kb >> 10, err
}
