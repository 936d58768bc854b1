package router

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a configuration that never comes back: one of four voters is gone for good, and another one's disk is lost
// before that was noticed (issue 55).
func TestConfigurationIsBackAfterAVanishedVoterAndALostDisk(t *testing.T) {
	for _, loser := range []int{0, 1, 2} {
		c := newCluster(t, 5, 4)
		c.awaitOperatorCall(4, "PUT", "/v1/config", document(5, "/a/"), 200)
		for i := range 4 {
			c.awaitVoters(i, 4)
		}
		c.stop[3]()
		c.stop[3] = func() {}
		c.stop[loser]()
		c.start(loser, t.TempDir(), false)
		require.Contains(t, c.awaitOperatorCall(4, "GET", "/v1/config", "", 200), `"version":5`)
		c.awaitOperatorCall(4, "PUT", "/v1/config", document(6, "/b/"), 200)
		for i := range 5 {
			if i != 3 {
				c.awaitStatus(i, "/b/x", 200)
			}
		}
	}
}
