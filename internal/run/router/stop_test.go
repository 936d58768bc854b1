package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// stopRequest begins the IDs of the requests of stopCallers.
const stopRequest = "stop-"

// stopCallers are callers of a router that stops.
type stopCallers struct {
	addr string
	sent atomic.Int64
	mu   sync.Mutex
	// answered holds the IDs of the requests that got their complete response.
	answered map[string]bool
}

// send sends one request and reports whether it got its complete response.
func (s *stopCallers) send(client *http.Client) bool {
	id := fmt.Sprintf("%s%d", stopRequest, s.sent.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+s.addr+"/a/x", strings.NewReader("body"))
	if err != nil {
		return false
	}
	// Prevents the HTTP client from sending the request a second time.
	request.GetBody = nil
	request.Host = "h"
	request.Header.Set("X-Bronzerill-Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK || string(data) != "answer" {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered[id] = true
	return true
}

// Callers use open connections until the router is gone, new ones until the balancer notices.
func TestPlannedStopAnswersWhatItAccepted(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.awaitOperatorCall(0, "PUT", "/v1/config", document(5, "/a/"), 200)
	c.awaitStatus(0, "/a/x", 200)
	c.work.Store(int64(20 * time.Millisecond))
	s := &stopCallers{addr: c.addr(0, "callers"), answered: make(map[string]bool)}
	stopped := make(chan struct{})
	balancerUntil := make(chan struct{})
	var cut atomic.Int64
	var group errgroup.Group
	for range 8 {
		group.Go(func() error {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for isOpen(stopped) {
				s.send(client)
				time.Sleep(time.Millisecond)
			}
			return nil
		})
		group.Go(func() error {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for isOpen(balancerUntil) {
				if !s.send(client) {
					cut.Add(1)
				}
			}
			return nil
		})
	}
	time.Sleep(200 * time.Millisecond)
	group.Go(func() error {
		// Two failed checks, one a second, and the time of the last check.
		time.Sleep(2200 * time.Millisecond)
		close(balancerUntil)
		return nil
	})
	c.routers[0].drain(context.Background())
	c.stop[0]()
	c.stop[0] = func() {}
	close(stopped)
	require.NoError(t, group.Wait())
	require.Zero(t, cut.Load(), "requests on new connections that weren't answered")
	c.received.Range(func(id, _ any) bool {
		fromCaller := strings.HasPrefix(id.(string), stopRequest)
		require.True(t, !fromCaller || s.answered[id.(string)], "%s reached a server and wasn't answered", id)
		return true
	})
	require.Greater(t, len(s.answered), 500)
}

func isOpen(c <-chan struct{}) bool {
	select {
	case <-c:
		return false
	default:
		return true
	}
}
