package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replicaName returns the name of a router's replica.
func (c *cluster) replicaName(router int) string {
	node := c.routers[router].group.replica()
	require.NotNil(c.t, node)
	return node.Name()
}

// isVoter reports whether a router's replica counts a name among the voters.
func (c *cluster) isVoter(router int, name string) bool {
	node := c.routers[router].group.replica()
	return node != nil && node.Status(time.Now()).Members.IsVoter(name)
}

// Guards against a router that stops for good and stays a voter until it is missed: the next lost disk stopped
// the group for good (review/8).
func TestStoppingRouterGivesUpItsVote(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.awaitOperatorCall(0, "PUT", "/v1/config", document(5, "/a/"), 200)
	c.awaitVoters(0, 3)
	c.routers, c.stop = append(c.routers, nil), append(c.stop, nil)
	c.start(3, t.TempDir(), false)
	c.awaitVoters(3, 4)
	name := c.replicaName(0)
	c.routers[0].stopping.Store(true)
	require.Eventually(t, func() bool { return !c.isVoter(3, name) }, balancerDelay, 20*time.Millisecond, "before the process ends")
	c.stop[0]()
	c.stop[0] = func() {}
	c.awaitOperatorCall(3, "PUT", "/v1/config", document(6, "/a/"), 200)
	c.stop[1]()
	c.start(1, t.TempDir(), false)
	c.awaitVoters(1, 3)
	require.Equal(t, 6, documentVersion(t, c.awaitOperatorCall(1, "GET", "/v1/config", "", 200)))
	c.awaitOperatorCall(1, "PUT", "/v1/config", document(7, "/a/"), 200)
}

// Guards against a group that gives up a vote which it can't spare: of three voters that are stopped in turn, each
// must count again once it is back.
func TestStoppingRouterKeepsAVoteThatIsNeeded(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.awaitOperatorCall(0, "PUT", "/v1/config", document(5, "/a/"), 200)
	c.awaitVoters(0, 3)
	name := c.replicaName(0)
	c.routers[0].stopping.Store(true)
	for end := time.Now().Add(balancerDelay); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		require.True(t, c.isVoter(1, name) && c.isVoter(2, name))
	}
}
