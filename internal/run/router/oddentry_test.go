package router

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an odd entry in the list after which routers no longer follow it, or end
// (issue 34, review/2).
func TestRoutersFollowListWithOddEntries(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.awaitOperatorCall(0, "PUT", "/v1/config", document(5, "/a/"), 200)
	entries := []string{
		"{\"id\":\"\x01\x02\xff\xfe\",\"service\":\"desk\"},",
		strings.Repeat(`{"a":[`, 100_000) + strings.Repeat(`]}`, 100_000) + ",",
		`{"id":"odd","service":"desk","address":"127.0.0.1:70000","zone":"zone-a","state":"ready"},`,
		`{"id":"odd","service":"desk","address":"127.0.0.1:1","zone":"zone-a","state":"ready","slots":9223372036854775807,"cold_remaining_ms":1e300},`,
	}
	for n, odd := range entries {
		id := fmt.Sprint("new-", n)
		c.extraServers.Store(odd + fmt.Sprintf(`{"id":%q,"service":"desk","address":%q,"zone":"zone-a","slots":6,"state":"ready"},`, id, c.server.Listener.Addr()))
		for i, r := range c.routers {
			require.Eventually(t, func() bool {
				list, _ := r.list.current()
				ids := make(map[string]bool)
				for _, s := range list {
					ids[s.ID] = true
				}
				return ids[id] && !ids["odd"]
			}, waitTimeout, waitTimeout/1000, "router %d", i)
			c.awaitStatus(i, "/a/x", 200)
		}
	}
}
