package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/router/peer"
)

func (c *cluster) operatorStatus(router int, method, path string) int {
	request, err := http.NewRequest(method, "http://"+c.addr(router, "operators")+path, nil)
	require.NoError(c.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(c.t, err)
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitZone waits until all routers know whether a zone is out.
func (c *cluster) awaitZone(zone string, out bool) {
	for i := range c.routers {
		require.Eventually(c.t, func() bool {
			table := c.routers[i].holder.Table()
			return table != nil && table.IsZoneOut(zone) == out
		}, waitTimeout, 10*time.Millisecond, "router %d", i)
	}
}

// Guards against an order that was held up on its way to the leader and undoes a newer one
// (review/1).
func TestLateOrderDoesNotUndoNewerOne(t *testing.T) {
	tests := []struct {
		name string
		// late is the method of the order that arrives after the newer ones.
		late  string
		newer []string
		// out is whether the zone is out before the late order, and after the newer ones.
		out bool
	}{
		{"zone put back, then taken out again", "DELETE", []string{"DELETE", "POST"}, true},
		{"zone taken out, then put back again", "POST", []string{"POST", "DELETE"}, false},
		{"newer order changes nothing", "DELETE", []string{"POST"}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newClusterWithLinks(t, 4, 3, true)
			c.awaitOperatorCall(0, "PUT", "/v1/config", document(5, "/a/"), 200)
			const zone, path = "zone-late", "/v1/evacuations/zone-late"
			if test.out {
				c.awaitOperatorCall(3, "POST", path, "", 200)
			}
			c.awaitZone(zone, test.out)

			for _, k := range c.links {
				k.hold(proposesFor(zone))
			}
			require.Equal(t, http.StatusServiceUnavailable, c.operatorStatus(3, test.late, path))
			held := 0
			for _, k := range c.links {
				held += k.stopHolding()
			}
			require.NotZero(t, held, "the order was held up")
			for _, method := range test.newer {
				for i := range 3 {
					c.awaitOperatorCall(i, method, path, "", 200)
				}
			}
			c.awaitZone(zone, test.out)
			for _, k := range c.links {
				k.release()
			}
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for i := range c.routers {
					require.Equal(t, test.out, c.routers[i].holder.Table().IsZoneOut(zone), "router %d", i)
				}
			}
		})
	}
}

// Routers of earlier builds name no revision. Their orders are accepted, and make those that are
// based on an earlier revision stale.
func TestOrderOfEarlierBuildIsAccepted(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.awaitOperatorCall(0, "PUT", "/v1/config", document(5, "/a/"), 200)
	leader := c.leader()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	base, err := leader.group.ZoneRevision(ctx, "zone-a")
	require.NoError(t, err)
	out, err := state.Command{At: time.Now(), SetZone: &state.SetZone{Zone: "zone-a", Out: true}}.Encode()
	require.NoError(t, err)
	back, err := state.Command{At: time.Now(), SetZone: &state.SetZone{Zone: "zone-a"}}.Encode()
	require.NoError(t, err)

	_, err = leader.group.Propose(ctx, out, peer.ZoneRevision{})
	require.NoError(t, err)
	_, err = leader.group.Propose(ctx, back, base)
	require.Equal(t, bronzerill.KindStaleOrder, bronzerill.KindOf(err))
	c.awaitZone("zone-a", true)
}

// leader returns the router that leads the control group.
func (c *cluster) leader() *Router {
	for range waitTimeout / (20 * time.Millisecond) {
		for _, r := range c.routers {
			if _, isLeader := r.group.localLeader(time.Now()); isLeader {
				return r
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(c.t, "no leader")
	return nil
}
