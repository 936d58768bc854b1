package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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
