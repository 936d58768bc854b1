package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPromptsStayWhenAllRoutersRestart covers a power loss of all routers. The
// engines still have the prompts cached, wherever they were placed before. They
// report them to one router, which passes the reports on to its peers.
func TestPromptsStayWhenAllRoutersRestart(t *testing.T) {
	before := newTable("a", list("guides", 9))
	byServer := make(map[string][]uint64)
	servers := make(map[uint64]string)
	for i := range uint64(200) {
		// Place the prompts while three of the servers are unavailable.
		prompt := hashedPrompt(i)
		choice, err := before.Pick(start, Query{
			Service: Service{Name: "guides", Engine: true}, Affinity: prompt,
			Excluded: []string{"guides-0", "guides-1", "guides-2"}, ZoneOut: noZoneOut,
		})
		require.NoError(t, err)
		before.Finish(start, choice, "r", OutcomeAnswered, time.Millisecond)
		byServer[choice.ID] = append(byServer[choice.ID], prompt)
		servers[prompt] = choice.ID
	}
	first, peer := newTable("a", list("guides", 9)), newTable("b", list("guides", 9))
	var d DirectorySnapshot
	for id, prompts := range byServer {
		d.Kept = append(d.Kept, NewCacheReport(KeyOf(id), prompts))
	}
	first.MergeDirectory(start, d)
	peer.MergeDirectory(start, first.Directory(start))
	for _, table := range []*Table{first, peer} {
		for prompt, server := range servers {
			require.Equal(t, server, pick(t, table, start, prompt).ID)
		}
	}
}

// hashedPrompt returns a number that is distributed like the hash of a prompt.
func hashedPrompt(i uint64) uint64 { return (i + 1) * 0x9e3779b97f4a7c15 }

func TestDirectorySnapshotKeepsAges(t *testing.T) {
	a, b := newTable("a", list("guides", 9)), newTable("b", list("guides", 9))
	choice := pick(t, a, start, 5)
	now := start.Add(locationLifetime - time.Second)
	d := a.Directory(now)
	require.Equal(t, []CacheLocation{{5, KeyOf(choice.ID), locationLifetime - time.Second}}, d.Homes)
	b.MergeDirectory(now, d)
	require.Contains(t, b.locations.Get(now, 5), KeyOf(choice.ID))
	require.Empty(t, b.locations.Get(now.Add(time.Second), 5), "the age is passed on")
}

func TestCacheReports(t *testing.T) {
	prompt := hashedPrompt(1)
	d := NewPrefixDirectory()
	d.SetCacheReport(start, NewCacheReport(7, []uint64{hashedPrompt(3), prompt, prompt}))
	require.Equal(t, []ServerKey{7}, d.Get(start, prompt))
	require.Empty(t, d.Get(start, hashedPrompt(2)))

	old := NewCacheReport(7, nil)
	old.Age = time.Second
	d.SetCacheReport(start, old)
	require.Equal(t, []ServerKey{7}, d.Get(start, prompt), "an older report doesn't replace a newer one")

	require.Empty(t, d.Get(start.Add(locationLifetime), prompt), "the report has expired")
	d.SetCacheReport(start, NewCacheReport(7, []uint64{prompt}))
	d.Forget(7)
	require.Empty(t, d.Get(start, prompt), "the server was down")
}

func TestEngines(t *testing.T) {
	servers := append(list("guides", 4), list("desk", 1)...)
	servers[0].Leaving = true
	servers[1].Zone = "out"
	table := newTable("a", servers)
	down, err := table.Pick(start, Query{
		Service: Service{Name: "guides"}, Excluded: []string{servers[0].ID, servers[1].ID, servers[2].ID},
		ZoneOut: noZoneOut,
	})
	require.NoError(t, err)
	table.Finish(start, down, "r", OutcomeUnreachable, 0)
	engines := table.Engines(start, func(s string) bool { return s == "guides" }, func(z string) bool { return z == "out" })
	require.Len(t, engines, 1)
	require.Equal(t, servers[2].ID, engines[0].ID)
}
