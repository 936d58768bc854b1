package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rejoinCluster is a cluster whose routers are all killed while streams are running.
type rejoinCluster struct {
	*cluster
	folders []string
	// streams holds a server for each version.
	streams map[string]*httptest.Server
}

func newRejoinCluster(t *testing.T, versions ...string) *rejoinCluster {
	return withStreamServers(t, newCluster(t, 4, 3), versions...)
}

func withStreamServers(t *testing.T, routers *cluster, versions ...string) *rejoinCluster {
	c := &rejoinCluster{cluster: routers, streams: map[string]*httptest.Server{"v1": streamServer(t, "v1"), "v2": streamServer(t, "v2")}}
	for _, r := range c.routers {
		c.folders = append(c.folders, r.settings.Router.DataFolder)
	}
	c.setVersions(versions...)
	c.awaitOperatorCall(0, "PUT", "/v1/config", withStreams(document(5, "/a/")), 200)
	for i := range c.routers {
		c.awaitStatus(i, "/a/x", 200)
	}
	c.awaitList(versions...)
	return c
}

// withStreams adds a route of resumable streams to a document.
func withStreams(document string) string {
	return strings.NewReplacer(
		`"routes":[`, `"routes":[{"name":"s","host":"h","path_prefix":"/s/","kind":"streaming","timeout_ms":9000,"target_latency_ms":300,"gap_target_ms":9000,"service":"chat","max_attempts":2,"resumable":true},`,
		`"services":[`, `"services":[{"name":"chat","health_path":"/health"},`).Replace(document)
}

// setVersions lists a server of each version.
func (c *rejoinCluster) setVersions(versions ...string) {
	c.extraServers.Store(c.entries(versions))
}

// entries returns the entries of a list with a server of each version.
func (c *rejoinCluster) entries(versions []string) string {
	var entries strings.Builder
	for _, version := range versions {
		entries.WriteString(streamEntry("s-"+version, version, c.streams[version]))
	}
	return entries.String()
}

// awaitList waits until all routers use a list with these versions, which are noted.
func (c *rejoinCluster) awaitList(versions ...string) {
	c.awaitListExceptAt(-1, versions...)
}

// awaitListExceptAt is awaitList for all routers but one.
func (c *rejoinCluster) awaitListExceptAt(router int, versions ...string) {
	for i := range c.routers {
		if i == router {
			continue
		}
		require.Eventually(c.t, func() bool {
			var listed []string
			list, _ := c.routers[i].list.current()
			for _, s := range list {
				if s.Service == "chat" && s.Noted {
					listed = append(listed, s.Version)
				}
			}
			slices.Sort(listed)
			return slices.Equal(listed, versions)
		}, waitTimeout, 20*time.Millisecond)
	}
}

// begin starts streams and returns their versions by attempt.
func (c *rejoinCluster) begin(count int) map[string]string {
	begun := make(map[string]string)
	for i := range count {
		id := fmt.Sprintf("first-%d", i)
		begun[id] = c.stream(i%len(c.routers), id, "").versionUpTo(pauseAfter)
	}
	return begun
}

// killAll kills all routers, changes the versions in the list while they are down, and starts
// them again.
func (c *rejoinCluster) killAll(versions ...string) {
	for i := range c.routers {
		c.stop[i]()
		c.stop[i] = func() {}
	}
	c.setVersions(versions...)
	for i := range c.routers {
		c.start(i, c.folders[i], false)
	}
}

// resume resumes the streams at all routers, and returns how many were served and refused. A
// served one must go on at its version.
func (c *rejoinCluster) resume(begun map[string]string, attempt string) (served, refused int) {
	for id, version := range begun {
		for router := range c.routers {
			stream := c.stream(router, fmt.Sprintf("%s-%s-%d", id, attempt, router), id)
			if stream.status != http.StatusOK {
				require.Equal(c.t, http.StatusServiceUnavailable, stream.status)
				refused++
				continue
			}
			require.Equal(c.t, version, stream.versionUpTo(lastEvent))
			served++
		}
	}
	return served, refused
}

// resumeFor resumes the streams for some seconds after a start, also while the routers have
// no state or leader yet.
func (c *rejoinCluster) resumeFor(d time.Duration, begun map[string]string) (served int) {
	for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
		s, _ := c.resume(begun, fmt.Sprint(n))
		served += s
		time.Sleep(50 * time.Millisecond)
	}
	return served
}

// afterRestart is longer than routers take until they serve again.
const afterRestart = 3 * time.Second

func TestStreamIsNotResumedAtAnotherVersionAfterAllRoutersWereKilled(t *testing.T) {
	tests := []struct {
		name string
		// before are the versions while the streams begin, atKill those listed when the
		// routers are killed, and after those listed when they start again.
		before, atKill, after []string
		// late is set if the list has no engines at first.
		late bool
	}{
		{"side by side", []string{"v1", "v2"}, []string{"v1", "v2"}, []string{"v1", "v2"}, false},
		{"just gone", []string{"v1"}, []string{"v2"}, []string{"v2"}, false},
		{"gone while they were down", []string{"v1", "v2"}, []string{"v1", "v2"}, []string{"v2"}, false},
		{"replaced while they were down", []string{"v1"}, []string{"v1"}, []string{"v2"}, false},
		{"replaced while they were down, late list", []string{"v1"}, []string{"v1"}, []string{"v2"}, true},
		{"back again", []string{"v2"}, []string{"v2"}, []string{"v1"}, false},
		{"back again after a mix", []string{"v1", "v2"}, []string{"v1"}, []string{"v1"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newRejoinCluster(t, test.before...)
			begun := c.begin(8)
			c.setVersions(test.atKill...)
			c.awaitList(test.atKill...)
			if test.late {
				c.killAll()
				c.resumeFor(time.Second, begun)
				c.setVersions(test.after...)
			} else {
				c.killAll(test.after...)
			}
			c.resumeFor(afterRestart, begun)
		})
	}
}

func TestStreamIsResumedAfterAllRoutersWereKilledWithOneVersion(t *testing.T) {
	c := newRejoinCluster(t, "v1")
	begun := c.begin(8)
	c.killAll("v1")
	require.NotZero(t, c.resumeFor(afterRestart, begun))
	served, refused := c.resume(begun, "last")
	require.Equal(t, len(begun)*len(c.routers), served)
	require.Zero(t, refused)
}

func TestStreamIsNotResumedAtAnotherVersionAfterRollingRestarts(t *testing.T) {
	c := newRejoinCluster(t, "v1")
	begun := c.begin(8)
	for i := range c.routers {
		if i == 2 {
			c.setVersions("v2")
			c.awaitList("v2")
		}
		c.stop[i]()
		c.start(i, c.folders[i], false)
		c.awaitStatus(i, "/a/x", 200)
		c.resume(begun, fmt.Sprint("restart-", i))
	}
	c.resumeFor(time.Second, begun)
}

// The router has state and a list of one version, but can't know what the others have seen.
func TestRouterAloneResumesNoUnknownStream(t *testing.T) {
	c := newRejoinCluster(t, "v1")
	known := c.begin(4)
	for i := range 3 {
		c.stop[i]()
		c.stop[i] = func() {}
	}
	require.Equal(t, http.StatusServiceUnavailable, c.stream(3, "resumed", "never seen").status)
	for id := range known {
		require.Equal(t, "v1", c.stream(3, id+"-alone", id).versionUpTo(lastEvent), "it holds a record")
	}
}
