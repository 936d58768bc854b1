package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/standin/booking"
)

// closingServer returns a server that answers the given number of requests. It
// reads every later request and closes the connection without a response.
// received counts the requests that were read.
func closingServer(t *testing.T, responses int32) (addr string, received *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	received = &atomic.Int32{}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { readAndClose(conn, received, responses); return nil })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String(), received
}

func readAndClose(conn net.Conn, received *atomic.Int32, responses int32) {
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		if !strings.Contains(string(buffer[:n]), "landau") {
			continue
		}
		if received.Add(1) > responses {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestTransportResendsKeyedRequest shows why Client makes a new connection for
// each call: net/http resends a request with an idempotency key when a reused
// connection fails.
func TestTransportResendsKeyedRequest(t *testing.T) {
	addr, received := closingServer(t, 1)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/bookings", strings.NewReader("landau"))
		require.NoError(t, err)
		request.Header.Set("Idempotency-Key", "k")
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	assert.Greater(t, received.Load(), int32(2), "net/http no longer resends; Client may be simplified")
}

func TestClientSendsOnce(t *testing.T) {
	addr, received := closingServer(t, 1)
	client := NewClient(ClientConfig{Base: "http://" + addr, Clock: time.Now})
	_, err := client.Do(t.Context(), open("k", "r1", "1"), newBuffer())
	require.NoError(t, err)
	_, err = client.Do(t.Context(), open("k", "r2", "1"), newBuffer())
	assert.Equal(t, bronzerill.KindOutcomeUnknown, bronzerill.KindOf(err))
	assert.Equal(t, int32(2), received.Load())
}

func TestClientReportsRefusedConnectionAsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = NewClient(ClientConfig{Base: "http://" + addr, Clock: time.Now}).Do(t.Context(), open("k", "r1", "1"), newBuffer())
	assert.Equal(t, bronzerill.KindUnreachable, bronzerill.KindOf(err))
	assert.Equal(t, bronzerill.RunNot, bronzerill.KindOf(err).Response().Run)
}

func TestClientAgainstStandin(t *testing.T) {
	cases := []struct {
		name string
		mark string
		kind bronzerill.Kind
		runs int
	}{
		{"complete", "", bronzerill.KindNone, 1},
		{"crash before the call ran", booking.MarkCrashBefore, bronzerill.KindOutcomeUnknown, 0},
		{"crash after the call ran", booking.MarkCrashAfter, bronzerill.KindOutcomeUnknown, 1},
		{"reply after the deadline", booking.MarkLate, bronzerill.KindOutcomeUnknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bookingServer := booking.NewServer(time.Hour)
			service := httptest.NewServer(bookingServer.Handler())
			defer service.Close()
			o := open("k", "r1", "1")
			o.Body = []byte(c.mark)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := NewClient(ClientConfig{Base: service.URL, Clock: time.Now}).Do(ctx, o, newBuffer())
			assert.Equal(t, c.kind, bronzerill.KindOf(err), "%v", err)
			assert.Equal(t, c.runs, bookingServer.Executions()["k"])
			assert.Equal(t, 1, bookingServer.Received("k"), "the call is sent once")
		})
	}
}

func TestUnframedReplyIsNotComplete(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\n\r\n{\"carriage\":")
		_ = conn.Close()
	}))
	defer server.Close()
	client := NewClient(ClientConfig{Base: server.URL, Clock: time.Now})
	_, err := client.Do(t.Context(), open("key", "r1", "1"), newBuffer())
	require.Equal(t, bronzerill.KindOutcomeUnknown, bronzerill.KindOf(err), "%v", err)
}
