package httpport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// Guards against the cancellation of a pipelined request, which was read together with the one before.
func TestPipelinedRequestIsServedAfterThePortWasClosed(t *testing.T) {
	port, err := Listen("127.0.0.1:0", Config{})
	require.NoError(t, err)
	began := make(chan struct{}, 2)
	canceled := make(chan error, 2)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		began <- struct{}{}
		select {
		case <-r.Context().Done():
		case <-time.After(200 * time.Millisecond):
		}
		canceled <- r.Context().Err()
		_, _ = io.WriteString(w, "answer")
	})}
	var group errgroup.Group
	group.Go(func() error { return port.Serve(server) })
	conn, err := net.Dial("tcp", port.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-began
	require.NoError(t, port.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	group.Go(func() error { return port.AwaitClosed(ctx) })
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, "answer", string(body))
		require.NoError(t, <-canceled, "the client is still connected")
	}
	require.NoError(t, conn.Close())
	require.NoError(t, group.Wait())
}
