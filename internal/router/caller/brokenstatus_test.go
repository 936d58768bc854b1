package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/standin/raw"
)

// Guards against an answer to a status call that is broken, and that shows that the server has outlived its response
// (issue 49).
func TestBrokenStatusShowsNothing(t *testing.T) {
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", earlyServerBorn)
	broken := append(raw.BrokenResponses("A: b\r\n", fmt.Sprint(earlyServerBorn)),
		strings.Replace(whole, "Length: 1", "Length: 2", 1), strings.Replace(whole, "Length: 1", "Length: x", 1), whole[:len(whole)-1], "")
	for path := range unframedPaths {
		t.Run(path[1:], func(t *testing.T) {
			t.Parallel()
			for _, status := range broken {
				gotStatus, _, err := callWithStatus(t, path, status)
				require.False(t, gotStatus == http.StatusOK && err == nil, "a response looks complete by the status %q", status)
			}
			gotStatus, body, err := callWithStatus(t, path, whole)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, gotStatus)
			require.Equal(t, eventText(1, 2), body)
		})
	}
}

// callWithStatus makes a request to a server whose response has neither a length nor chunks, and that sends given
// bytes when it is asked for its status.
func callWithStatus(t *testing.T, path, status string) (int, string, error) {
	s, err := raw.NewServer(func(conn *net.TCPConn, r *http.Request) (goesOn bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		text := status
		if r.URL.Path != testStatusPath {
			text = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n" + eventText(1, 2)
		}
		_, _ = io.WriteString(conn, text)
		return false
	})
	require.NoError(t, err)
	defer s.Close()
	return upload(t, path, s.Addr(), 4)
}
