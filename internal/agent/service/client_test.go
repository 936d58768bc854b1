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

// closingServer answers the first request of each connection and, on the second
// one, reads the request and closes. It counts what it has read in whole.
func closingServer(t *testing.T, answers int32) (addr string, received *atomic.Int32) {
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
			group.Go(func() error { readAndClose(conn, received, answers); return nil })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String(), received
}

func readAndClose(conn net.Conn, received *atomic.Int32, answers int32) {
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
		if received.Add(1) > answers {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestTransportResendsKeyedRequest shows the fault that Client avoids: a kept connection
// that dies makes net/http send a keyed request a second time.
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
	client := NewClient("http://" + addr)
	_, err := client.Do(t.Context(), open("k", "r1", "1"))
	require.NoError(t, err)
	_, err = client.Do(t.Context(), open("k", "r2", "1"))
	assert.Equal(t, bronzerill.KindOutcomeUnknown, bronzerill.KindOf(err))
	assert.Equal(t, int32(2), received.Load())
}

func TestClientReportsRefusedConnectionAsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = NewClient("http://"+addr).Do(t.Context(), open("k", "r1", "1"))
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
		{"whole", "", bronzerill.KindNone, 1},
		{"crash before", booking.MarkCrashBefore, bronzerill.KindOutcomeUnknown, 0},
		{"crash after", booking.MarkCrashAfter, bronzerill.KindOutcomeUnknown, 1},
		{"late past the deadline", booking.MarkLate, bronzerill.KindOutcomeUnknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := booking.NewServer(time.Hour)
			web := httptest.NewServer(server.Handler())
			defer web.Close()
			o := open("k", "r1", "1")
			o.Body = []byte(c.mark)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := NewClient(web.URL).Do(ctx, o)
			assert.Equal(t, c.kind, bronzerill.KindOf(err), "%v", err)
			assert.Equal(t, c.runs, server.Executions()["k"])
			assert.Equal(t, 1, server.Received("k"), "sent once, whatever happened")
		})
	}
}
