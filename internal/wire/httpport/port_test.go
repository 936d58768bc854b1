package httpport

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// acceptedConn returns a connection of a port and the client's end of it.
func acceptedConn(t *testing.T) (*Port, *portConn, net.Conn) {
	port, err := Listen("127.0.0.1:0", Config{})
	require.NoError(t, err)
	t.Cleanup(func() { _ = port.Close() })
	client, err := net.Dial("tcp", port.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	conn, err := port.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return port, conn.(*portConn), client
}

func TestOnlyIdleConnectionsAreReleased(t *testing.T) {
	tests := []struct {
		name string
		// sent is set if a request was sent, and answered if its response was written.
		sent, answered bool
		age            time.Duration
		released       bool
	}{
		{"new", false, false, 0, false},
		{"never used for long", false, false, unusedTimeout, true},
		{"in use", true, false, time.Hour, false},
		{"used and idle", true, true, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			port, conn, client := acceptedConn(t)
			if test.sent {
				_, err := io.WriteString(client, "x")
				require.NoError(t, err)
				_, err = conn.Read(make([]byte, 1))
				require.NoError(t, err)
			}
			if test.answered {
				port.connState(conn, http.StateIdle)
			}
			require.Equal(t, 1, port.releaseIdle(conn.acceptedAt.Add(test.age)))
			require.Equal(t, test.released, conn.released)
			port.connState(conn, http.StateClosed)
			require.Zero(t, port.releaseIdle(conn.acceptedAt))
		})
	}
}

// Guards against a connection that is closed although a request was just read from it.
func TestRequestReadFromReleasedConnectionIsServed(t *testing.T) {
	_, conn, client := acceptedConn(t)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := io.WriteString(client, "first")
	require.NoError(t, err)
	// The read has taken its bytes when the connection is released.
	conn.mu.Lock()
	buffer := make([]byte, len("first"))
	var group errgroup.Group
	group.Go(func() error {
		_, err := conn.Read(buffer)
		return err
	})
	time.Sleep(50 * time.Millisecond)
	conn.released = true
	require.NoError(t, conn.TCPConn.SetReadDeadline(time.Now()))
	conn.mu.Unlock()
	require.NoError(t, group.Wait())
	require.Equal(t, "first", string(buffer))

	_, err = io.WriteString(client, "rest")
	require.NoError(t, err)
	_, err = io.ReadFull(conn, buffer[:len("rest")])
	require.NoError(t, err, "the deadline of the release no longer holds")
	require.True(t, conn.busy)
}

// Guards against kept connections whose clients aren't told that the server stops.
func TestResponseOfStoppingServerClosesItsConnection(t *testing.T) {
	tests := []struct {
		name          string
		before, later bool
	}{
		{"serving", false, false},
		{"stopping", true, true},
		{"stops before the response", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stopping := test.before
			handler := CloseWhen(func() bool { return stopping }, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				stopping = test.later
				w.WriteHeader(http.StatusNoContent)
			}))
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
			require.Equal(t, test.later, recorder.Header().Get("Connection") == "close")
		})
	}
}

// Guards against a stop that fails because both the drain and the http.Server close the port.
func TestPortMayBeClosedTwice(t *testing.T) {
	port, err := Listen("127.0.0.1:0", Config{})
	require.NoError(t, err)
	require.NoError(t, port.Close())
	require.NoError(t, port.Close())
}
