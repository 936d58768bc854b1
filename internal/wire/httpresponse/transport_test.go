package httpresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/standin/raw"
)

// exchanger makes requests to a server that sends given bytes.
type exchanger struct {
	t      *testing.T
	client *http.Client
	addr   string
	sent   atomic.Pointer[string]
	// keeps makes the server keep the connection, and resets makes it reset the connection.
	keeps, resets atomic.Bool
}

func newExchanger(t *testing.T) *exchanger {
	e := &exchanger{t: t, client: &http.Client{Timeout: 5 * time.Second, Transport: NewTransport(&http.Transport{})}}
	s, err := raw.NewServer(func(conn *net.TCPConn, r *http.Request) (goesOn bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, *e.sent.Load())
		if e.resets.Load() {
			raw.Reset(conn)
		}
		return e.keeps.Load()
	})
	require.NoError(t, err)
	e.addr = s.Addr()
	t.Cleanup(func() {
		e.client.CloseIdleConnections()
		s.Close()
	})
	return e
}

// get returns the status and the body of a response.
func (e *exchanger) get(sent string) (int, string, error) {
	e.sent.Store(&sent)
	response, err := e.client.Get("http://" + e.addr)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	require.NoError(e.t, response.Body.Close())
	return response.StatusCode, string(data), err
}

func TestTransportReturnsWholeResponses(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		e := newExchanger(t)
		e.keeps.Store(keeps)
		for range 3 {
			for _, head := range []string{"HTTP/1.1 201 Created\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 201 Created\r\n"} {
				for _, framed := range []string{"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"} {
					status, body, err := e.get(head + framed)
					require.NoError(t, err)
					require.Equal(t, http.StatusCreated, status)
					require.Equal(t, "body", body)
				}
			}
		}
	}
	_, body, err := newExchanger(t).get("HTTP/1.1 200 OK\r\n\r\nbody")
	require.NoError(t, err)
	require.Equal(t, "body", body)
}

func TestTransportReportsResets(t *testing.T) {
	e := newExchanger(t)
	e.resets.Store(true)
	_, _, err := e.get("HTTP/1.1 200 OK\r\n\r\npart")
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against responses whose status is none (issue 49). The connection is new, or was used before.
func TestTransportRejectsInvalidStatuses(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		e := newExchanger(t)
		e.keeps.Store(keeps)
		for _, status := range raw.InvalidStatuses() {
			_, _, err := e.get("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
			require.NoError(t, err)
			got, _, err := e.get("HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody")
			require.Error(t, err, "%q as %d", status, got)
			require.NotErrorIs(t, err, context.DeadlineExceeded, "%q", status)
		}
	}
}

// Guards against responses with a body that their server hasn't sent, since a framing field can't be read (issue 49).
func TestTransportRejectsUnreadableFields(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		e := newExchanger(t)
		e.keeps.Store(keeps)
		for _, field := range fields {
			for _, line := range raw.UnreadableFields(field) {
				got, body, err := e.get("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + line + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
				require.Error(t, err, "%q: status %d, body %q", line, got, body)
				require.NotErrorIs(t, err, context.DeadlineExceeded, "%q", line)
			}
			_, _, err := e.get("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
			require.NoError(t, err)
		}
	}
}

// A server that closes a connection on which bytes still arrive resets it a moment later.
func TestTransportAwaitsAResetAfterAClose(t *testing.T) {
	s, err := raw.NewServer(func(conn *net.TCPConn, _ *http.Request) (goesOn bool) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		raw.Reset(conn)
		return false
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	transport := NewTransport(&http.Transport{})
	transport.closeGrace = time.Minute
	response, err := (&http.Client{Transport: transport}).Post("http://"+s.Addr(), "text/plain", strings.NewReader(strings.Repeat("x", 4<<20)))
	if err == nil {
		_, err = io.ReadAll(response.Body)
		require.NoError(t, response.Body.Close())
	}
	require.Error(t, err)
}
