package httpabort

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAbortedResponseDoesNotLookComplete(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		Abort(r)
	}))
	server.Config.ConnContext = ConnContext
	server.Start()
	t.Cleanup(server.Close)
	tests := []struct {
		proto string
		err   error
	}{{"HTTP/1.0", syscall.ECONNRESET}, {"HTTP/1.1", nil}}
	for _, test := range tests {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\n\r\n", test.proto)
		require.NoError(t, err)
		data, err := io.ReadAll(conn)
		require.ErrorIs(t, err, test.err, test.proto)
		require.NotContains(t, string(data), "\r\n0\r\n", "no end of the chunks")
		require.NoError(t, conn.Close())
	}
}
