package router

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/standin/raw"
)

func TestResponseHeaderWithoutEndIsAnError(t *testing.T) {
	for name, client := range map[string]*http.Client{
		"engines": newDirectoryClient(time.Now(), nil).client, "list": newListClient(),
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var sent atomic.Int64
			var group errgroup.Group
			group.Go(func() error {
				conn, err := listener.Accept()
				if err != nil {
					return err
				}
				defer func() { _ = conn.Close() }()
				line := strings.Repeat("A: b\r\n", 10_000)
				_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
				for err == nil {
					_, err = io.WriteString(conn, line)
					sent.Add(int64(len(line)))
				}
				return nil
			})
			response, err := client.Get("http://" + listener.Addr().String())
			if err == nil {
				_ = response.Body.Close()
			}
			require.Error(t, err)
			require.NoError(t, group.Wait())
			require.NoError(t, listener.Close())
			require.Less(t, sent.Load(), int64(8<<20), "more than what the kernel buffers")
		})
	}
}

// Guards against lists in answers whose heads are broken (issue 49).
func TestBrokenResponseHeaderIsAnError(t *testing.T) {
	for name, client := range map[string]*http.Client{
		"engines": newDirectoryClient(time.Now(), nil).client, "list": newListClient(),
	} {
		t.Run(name, func(t *testing.T) {
			accepted, err := raw.AcceptedBy(client)
			require.NoError(t, err)
			require.Empty(t, accepted)
		})
	}
}
