package raw

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// AcceptedBy returns the broken responses that a client takes for responses. It fails if the client doesn't get a
// whole one.
func AcceptedBy(client *http.Client) (accepted []string, err error) {
	const body = `{"instances":[]}`
	var current atomic.Pointer[string]
	s, err := NewServer(func(conn *net.TCPConn, r *http.Request) (goesOn bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, *current.Load())
		return false
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	get := func(response string) (string, error) {
		current.Store(&response)
		r, err := client.Get("http://" + s.Addr())
		if err != nil {
			return "", err
		}
		defer func() { _ = r.Body.Close() }()
		data, err := io.ReadAll(r.Body)
		return string(data), err
	}
	for _, response := range BrokenResponses("A: b\r\n", body) {
		if _, err := get(response); err == nil {
			accepted = append(accepted, response)
		}
	}
	got, err := get("HTTP/1.1 200 OK\r\n\r\n" + body)
	if err != nil || got != body {
		return accepted, errors.Errorf("whole response with body %q, error %v", got, err)
	}
	return accepted, nil
}
