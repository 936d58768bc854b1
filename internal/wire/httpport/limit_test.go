package httpport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/wire/memory"
)

// startPort serves a handler at a port.
func startPort(t *testing.T, cfg Config, handler http.HandlerFunc) *Port {
	port, err := Listen("127.0.0.1:0", cfg)
	require.NoError(t, err)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	var group errgroup.Group
	group.Go(func() error { return port.Serve(s) })
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		require.NoError(t, group.Wait())
	})
	return port
}

// send opens a connection and sends a text. Reads from it time out after a while.
func send(t *testing.T, port *Port, text string) net.Conn {
	conn, err := net.Dial("tcp", port.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// receive returns the start of a response.
func receive(t *testing.T, conn net.Conn) string {
	start := make([]byte, len("HTTP/1.1 200"))
	_, err := io.ReadFull(conn, start)
	require.NoError(t, err)
	return string(start)
}

// awaitPhase waits until a number of connections are in a phase.
func awaitPhase(t *testing.T, port *Port, phase memory.Phase, count int) {
	require.Eventually(t, func() bool {
		port.mu.Lock()
		defer port.mu.Unlock()
		n := 0
		for c := range port.conns {
			if p, _ := c.transfer.Phase(); p == phase {
				n++
			}
		}
		return n == count
	}, 5*time.Second, time.Millisecond, "%d connections in phase %d", count, phase)
}

// readBody answers with the kind of the error of reading the body.
func readBody(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(bronzerill.KindOf(err).Response().Status)
	}
}

const (
	wholeRequest   = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n123"
	unfinishedBody = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n12"
	unfinishedHead = "POST / HTTP/1.1\r\nHost: h\r\n"
)

// Guards against ports that are full of clients that don't finish (issue 52): they yield before idle clients, and
// those before any request is cut off.
func TestFullPortTakesNewConnections(t *testing.T) {
	release := make(chan struct{})
	port := startPort(t, Config{MaxConns: 4}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/work" {
			<-release
		}
		readBody(w, r)
	})
	working := send(t, port, strings.Replace(wholeRequest, "/ ", "/work ", 1))
	awaitPhase(t, port, memory.PhaseWorking, 1)
	idle := send(t, port, wholeRequest)
	require.Equal(t, "HTTP/1.1 200", receive(t, idle))
	awaitPhase(t, port, memory.PhaseIdle, 1)
	send(t, port, unfinishedHead)
	awaitPhase(t, port, memory.PhaseHead, 1)
	stalled := send(t, port, unfinishedBody)
	awaitPhase(t, port, memory.PhaseBody, 1)
	time.Sleep(stallGrace + 100*time.Millisecond)
	for range 6 {
		require.Equal(t, "HTTP/1.1 200", receive(t, send(t, port, wholeRequest)))
	}
	require.Equal(t, "HTTP/1.1 503", receive(t, stalled), "the refusal says that the request hasn't run")
	close(release)
	require.Equal(t, "HTTP/1.1 200", receive(t, working), "a request that was taken is answered")
}

func TestStalledClientsYieldBeforeIdleOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	conn := newRankedConns(now)
	work := conn(memory.PhaseWorking, time.Hour)
	idle, older := conn(memory.PhaseIdle, time.Minute), conn(memory.PhaseIdle, 2*time.Minute)
	body, head := conn(memory.PhaseBody, 2*stallGrace), conn(memory.PhaseHead, 3*stallGrace)
	active := conn(memory.PhaseSending, stallGrace/2)
	unused, fresh := conn(memory.PhaseIdle, 2*unusedGrace), conn(memory.PhaseIdle, unusedGrace/2)
	unused.served, fresh.served = false, false
	lastAnswer := conn(memory.PhaseClosing, closingGrace/2)
	closing := conn(memory.PhaseClosing, closingGrace)
	tests := []struct {
		name  string
		conns []*portConn
		first *portConn
	}{
		{"none", nil, nil},
		{"closing", []*portConn{work, older, unused, body, closing, head, active}, closing},
		{"closing just now", []*portConn{work, lastAnswer, idle, fresh, active}, nil},
		{"new", []*portConn{work, idle, fresh, active}, idle},
		{"stalled, closing just now", []*portConn{work, lastAnswer, body, active}, body},
		{"unused", []*portConn{work, older, unused, active}, unused},
		{"only work", []*portConn{work}, nil},
		{"stalled longest", []*portConn{work, older, idle, body, head, active}, head},
		{"stalled", []*portConn{work, older, idle, body, active}, body},
		{"idle longest", []*portConn{work, idle, older, active}, older},
		{"in progress", []*portConn{work, active}, active},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { require.Same(t, test.first, firstToYield(now, test.conns)) })
	}
}

// Guards against clients that don't send the rest of a body, or drip it (issue 52).
func TestBodyThatStallsIsRefused(t *testing.T) {
	port := startPort(t, Config{StallTimeout: 300 * time.Millisecond}, readBody)
	require.Equal(t, "HTTP/1.1 503", receive(t, send(t, port, unfinishedBody)))
	dripping := send(t, port, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
	var group errgroup.Group
	group.Go(func() error {
		for {
			if _, err := io.WriteString(dripping, "x"); err != nil {
				return nil
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	require.Equal(t, "HTTP/1.1 503", receive(t, dripping))
	require.NoError(t, dripping.Close())
	require.NoError(t, group.Wait())
}

// Guards against clients that are cut off although they make progress.
func TestSlowBodyThatMakesProgressIsRead(t *testing.T) {
	port := startPort(t, Config{StallTimeout: time.Second}, readBody)
	conn := send(t, port, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n")
	for range 8 {
		_, err := io.WriteString(conn, strings.Repeat("x", 32<<10))
		require.NoError(t, err)
		time.Sleep(200 * time.Millisecond)
	}
	require.Equal(t, "HTTP/1.1 200", receive(t, conn))
}

// Guards against responses that their clients never read (issue 52).
func TestUnreadResponseEnds(t *testing.T) {
	tests := map[string]func(budget *memory.Budget){
		"by time": nil,
		"to make room": func(budget *memory.Budget) {
			share := budget.NewShare(nil)
			require.True(t, share.Grow(500_000))
			share.Free()
		},
	}
	for name, press := range tests {
		t.Run(name, func(t *testing.T) {
			budget := memory.NewBudget(1 << 20)
			cfg := Config{Memory: budget}
			if press == nil {
				cfg.StallTimeout = 300 * time.Millisecond
			}
			ended := make(chan error, 1)
			port := startPort(t, cfg, func(w http.ResponseWriter, r *http.Request) {
				share := budget.NewShare(Transfer(r))
				defer share.Free()
				if !share.Grow(700_000) {
					return
				}
				var err error
				for part := make([]byte, 1<<20); err == nil; {
					_, err = w.Write(part)
				}
				ended <- err
			})
			send(t, port, wholeRequest)
			awaitPhase(t, port, memory.PhaseSending, 1)
			if press != nil {
				time.Sleep(50 * time.Millisecond)
				press(budget)
			}
			select {
			case err := <-ended:
				require.Error(t, err)
			case <-time.After(10 * time.Second):
				require.Fail(t, "the response is still being written")
			}
			require.Eventually(t, func() bool { return budget.Used() == 0 }, time.Second, time.Millisecond)
		})
	}
}

// Guards against slow clients that are cut off although they read on, when a handler copies a response of a stated length,
// for which the http.Server doesn't call Write.
func TestSlowReaderGetsACopiedResponse(t *testing.T) {
	const size = 32 << 20
	port := startPort(t, Config{StallTimeout: time.Second}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.Copy(w, io.LimitReader(zeros{}, size)) // the client sees whether it fails
	})
	conn := send(t, port, wholeRequest)
	for range 32 {
		_, err := io.CopyN(io.Discard, conn, size/32)
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond)
	}
}

// zeros is a reader of zeros without an end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against heads that take the memory of others (issue 52): whoever doesn't finish yields, and ordinary heads
// aren't counted.
func TestUnfinishedHeadsYield(t *testing.T) {
	budget := memory.NewBudget(1 << 20)
	port := startPort(t, Config{Memory: budget}, readBody)
	head := unfinishedHead + strings.Repeat("A:\r\n", 1000)
	for i := range 10 {
		send(t, port, head)
		awaitPhase(t, port, memory.PhaseHead, min(i+1, 2))
		require.LessOrEqual(t, budget.Used(), int64(1<<20))
	}
	require.Equal(t, "HTTP/1.1 200", receive(t, send(t, port, head+"Content-Length: 3\r\n\r\n123")), "a legal one is served")
	require.Equal(t, "HTTP/1.1 200", receive(t, send(t, port, wholeRequest)))
}

// Guards against a stop that waits for clients that don't finish.
func TestRefusedBodyEndsAtOnce(t *testing.T) {
	requests := make(chan *http.Request, 1)
	port := startPort(t, Config{}, func(w http.ResponseWriter, r *http.Request) {
		requests <- r
		readBody(w, r)
	})
	conn := send(t, port, unfinishedBody)
	r := <-requests
	awaitPhase(t, port, memory.PhaseBody, 1)
	RefuseBody(r)
	require.Equal(t, "HTTP/1.1 503", receive(t, conn))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.NoError(t, port.Close())
	require.NoError(t, port.AwaitClosed(ctx))
}
