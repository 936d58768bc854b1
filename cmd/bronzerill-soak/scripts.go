package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"bronzerill/platform/standin"
)

// Bounds on the pause of a sound server.
const (
	minPause = 400 * time.Millisecond
	maxPause = 1600 * time.Millisecond
)

// otherAnswer is what servers other than the first do with a request.
type otherAnswer int

const (
	otherGoesOn otherAnswer = iota
	otherRefuses
	otherFails
	otherAnswersPlain
	otherCloses
	otherResets
	otherAnswerCount
)

func (a otherAnswer) String() string {
	return [...]string{"go on", "refuse", "fail", "answer with text", "close", "reset"}[a]
}

// framing is how a response states its end.
type framing int

const (
	framedByLength framing = iota
	framedByChunks
	framedByClose
	framingCount
)

// beforeHead is the position before the head of a response. Others are indexes of its parts.
const beforeHead = -1

// failureText is the body of the other servers' responses. It belongs in no stream.
const failureText = "this is the text of a failure"

// failureStatuses are the statuses of failures. None of these responses states that the request
// hasn't run.
var failureStatuses = []int{
	http.StatusFound, http.StatusTemporaryRedirect, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict,
	http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable,
}

// script is what servers do with one attempt of a caller. It doesn't apply to the attempts with
// which the caller resumes the stream.
type script struct {
	// at is the position before which the first server pauses, or breaks the response off.
	at        int
	pause     time.Duration
	breaksOff bool
	other     otherAnswer
	status    int
	framing   framing
	mu        sync.Mutex
	// arrivals counts the servers that received the request.
	arrivals int
	// leftAfter is the time from the beginning of the pause until the router closed the
	// connection, 0 if it didn't.
	leftAfter time.Duration
}

// newScript draws a script for a request on a path.
func newScript(random *rand.Rand, path string) *script {
	parts := 2
	if isStreamPath(path) {
		parts = eventCount
	}
	s := &script{
		at:        random.IntN(parts) + beforeHead,
		pause:     minPause + time.Duration(random.Int64N(int64(maxPause-minPause))),
		breaksOff: random.IntN(3) == 0,
		other:     otherAnswer(random.IntN(int(otherAnswerCount))),
		status:    failureStatuses[random.IntN(len(failureStatuses))],
		framing:   framing(random.IntN(int(framingCount))),
	}
	switch {
	case s.other != otherAnswersPlain:
	case isStreamPath(path) && s.at > 0:
		s.status = http.StatusOK
	default:
		// Before the first event, another server's response of any type is a proper answer.
		s.other = otherFails
	}
	return s
}

// String describes a script for the report of a violation.
func (s *script) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := fmt.Sprintf("pauses for %s", s.pause.Round(time.Millisecond))
	if s.breaksOff {
		first = "breaks off"
	}
	text := fmt.Sprintf("the first server %s before part %d, others %s", first, s.at, s.other)
	if s.other == otherFails || s.other == otherAnswersPlain {
		text += fmt.Sprintf(" (status %d, framing %d)", s.status, s.framing)
	}
	text += fmt.Sprintf(", %d reached", s.arrivals)
	if s.leftAfter > 0 {
		text += fmt.Sprintf(", first left after %s", s.leftAfter.Round(time.Millisecond))
	}
	return text
}

// takeScript returns the script of a request that a server received: as first if the server is
// the first that received it, or as other if it is another that doesn't go on. Both may be nil.
func (w *world) takeScript(r *http.Request, id string) (first, other *script) {
	value, found := w.scripts.Load(id)
	if !found || path.Base(r.URL.Path) != id {
		return nil, nil
	}
	s := value.(*script)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals++
	switch {
	case s.arrivals == 1:
		return s, nil
	case s.other == otherGoesOn:
		return nil, nil
	}
	return nil, s
}

// reached returns the number of servers that received the request.
func (s *script) reached() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// play pauses or breaks off before a position of the response, if the script says so. s may be nil.
func (s *script) play(ctx context.Context, position int, breakOff func()) {
	switch {
	case s == nil || s.at != position:
		return
	case s.breaksOff:
		breakOff()
		panic(http.ErrAbortHandler)
	}
	pausedAt := time.Now()
	timer := time.NewTimer(s.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.leftAfter = time.Since(pausedAt)
	}
}

// refuse refuses the request as not run.
func (s *script) refuse(rw http.ResponseWriter, id string) {
	s.write(rw, func(conn net.Conn) error {
		_, err := io.WriteString(conn, standin.Refusal(id))
		return err
	})
}

// answer gives the response of a server that doesn't go on. Its header is set on rw.
func (s *script) answer(rw http.ResponseWriter) {
	s.write(rw, func(conn net.Conn) error {
		switch s.other {
		case otherCloses:
			return nil
		case otherResets:
			return resetOnClose(conn)
		}
		header := rw.Header()
		header.Set("Content-Type", "text/plain")
		body := failureText
		switch s.framing {
		case framedByLength:
			header.Set("Content-Length", strconv.Itoa(len(body)))
		case framedByChunks:
			header.Set("Transfer-Encoding", "chunked")
			body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n", s.status, http.StatusText(s.status)); err != nil {
			return err
		}
		if err := header.Write(conn); err != nil {
			return err
		}
		_, err := io.WriteString(conn, "\r\n"+body)
		return err
	})
}

// write takes over the connection of a request, writes to it and closes it. A failure means that
// the router has closed it, as it may at any time.
func (s *script) write(rw http.ResponseWriter, writeTo func(net.Conn) error) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	_ = writeTo(conn)
	_ = conn.Close()
}

// resetOnClose prepares a connection so that its Close sends a TCP reset.
func resetOnClose(conn net.Conn) error {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return tcp.SetLinger(0)
	}
	return nil
}
