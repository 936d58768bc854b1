package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill"
)

// cutReply is what a service sends before it closes the connection.
type cutReply struct {
	sent   string
	resets bool
}

// startCutService returns the address of a service that sends the current reply.
func startCutService(t *testing.T, current *atomic.Pointer[cutReply]) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			reply := current.Load()
			_, _ = io.WriteString(conn, reply.sent)
			if reply.resets {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

func TestReplyThatIsCutOffIsOfUnknownOutcome(t *testing.T) {
	const body = `{"carriage":"landau"}`
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 5, body[:5], len(body)-5, body[5:])
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	tests := []struct {
		name, reply, want string
		// framed is false if no reply of this form is known to be whole.
		framed bool
	}{
		{"length", "HTTP/1.1 201 Created\r\nContent-Type: application/json\r\n" + length + body, body, true},
		{"chunked", "HTTP/1.1 201 Created\r\nContent-Type: application/json\r\n" + chunks, body, true},
		{"no content", "HTTP/1.1 204 No Content\r\nServer: desk\r\n\r\n", "", true},
		{"unframed", "HTTP/1.1 201 Created\r\nServer: desk\r\n\r\n" + body, "", false},
		{"HTTP/1.0, length", "HTTP/1.0 201 Created\r\n" + length + body, body, true},
		{"HTTP/1.0, unframed", "HTTP/1.0 201 Created\r\nServer: desk\r\n\r\n" + body, "", false},
		{"after interim replies", interim + "HTTP/1.1 201 Created\r\n" + length + body, body, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var current atomic.Pointer[cutReply]
			client := NewClient(ClientConfig{Base: "http://" + startCutService(t, &current), Clock: time.Now})
			for n := 0; n <= len(test.reply); n++ {
				for _, resets := range []bool{false, true} {
					current.Store(&cutReply{test.reply[:n], resets})
					reply, err := client.Do(t.Context(), open("k", "r1", "1"), newBuffer())
					switch {
					case err != nil:
						require.Equal(t, bronzerill.KindOutcomeUnknown, bronzerill.KindOf(err), "%d bytes, reset %v: %v", n, resets, err)
						require.False(t, test.framed && n == len(test.reply) && !resets, "whole: %v", err)
					default:
						require.True(t, test.framed && n == len(test.reply), "%d of %d bytes, reset %v: %+v", n, len(test.reply), resets, reply)
						require.Equal(t, test.want, string(reply.Body))
					}
				}
			}
		})
	}
}
