package router

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// staleList serves a list that doesn't change any more.
func (c *rejoinCluster) staleList(versions ...string) string {
	list := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, `{"instances":[`+c.entries(versions)+fmt.Sprintf(`{"id":"i-1","service":"desk","address":%q,"zone":"zone-a","slots":6,"state":"ready"}],"next":null}`, c.server.Listener.Addr()))
	}))
	c.t.Cleanup(list.Close)
	return list.Listener.Addr().String()
}

// Guards against a router that hasn't learned of servers of a new version, and takes up a stream that
// began there at a server of another one (issue 34).
func TestRouterOutOfStepResumesNoStreamAtAnotherVersion(t *testing.T) {
	tests := []struct {
		name string
		// pick returns the router that gets out of step.
		pick func(c *rejoinCluster) int
	}{
		{"without a disk", func(*rejoinCluster) int { return 3 }},
		{"leader", func(c *rejoinCluster) int { return c.indexOf(c.leader()) }},
		{"follower", func(c *rejoinCluster) int { return (c.indexOf(c.leader()) + 1) % 3 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := withStreamServers(t, newClusterWithLinks(t, 4, 3, true), "v1")
			c.awaitVoters(0, 3)
			behind := test.pick(c)
			c.routers[behind].list.setAddress(c.staleList("v1"))
			c.links[behind].setCut(true)
			c.setVersions("v1", "v2")
			c.awaitListExceptAt(behind, "v1", "v2")

			begun := make(map[string]string)
			for i := range 16 {
				if router := i % len(c.routers); router != behind {
					id := fmt.Sprint("first-", i)
					begun[id] = c.stream(router, id, "").versionUpTo(pauseAfter)
				}
			}
			served := c.resumeAt(behind, begun, "cut", time.Second)
			c.links[behind].setCut(false)
			served += c.resumeAt(behind, begun, "back", 2*time.Second)
			require.NotZero(t, served, "streams of a version that the router knows go on once it is back")
		})
	}
}

// resumeAt resumes streams at one router for some time, and returns how many were served. Each must
// go on at its version.
func (c *rejoinCluster) resumeAt(router int, begun map[string]string, attempt string, d time.Duration) (served int) {
	for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
		for id, version := range begun {
			stream := c.stream(router, fmt.Sprintf("%s-%s-%d", id, attempt, n), id)
			if stream.status != http.StatusOK {
				require.Equal(c.t, http.StatusServiceUnavailable, stream.status)
				continue
			}
			require.Equal(c.t, version, stream.versionUpTo(lastEvent))
			served++
		}
	}
	return served
}

func (c *cluster) indexOf(r *Router) int {
	for i := range c.routers {
		if c.routers[i] == r {
			return i
		}
	}
	require.Fail(c.t, "unknown router")
	return -1
}
