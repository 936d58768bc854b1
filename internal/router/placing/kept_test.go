package placing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPromptsStayWhenAllRoutersRestart answers a power loss of every router: the
// engines still keep the prompts, wherever they were placed before, and say so to
// one router, which tells the others.
func TestPromptsStayWhenAllRoutersRestart(t *testing.T) {
	before := newTable("a", list("guides", 9))
	byServer := make(map[string][]uint64)
	home := make(map[uint64]string)
	for i := range uint64(200) {
		// Placed while three of the servers weren't there.
		prompt := rendezvousPrompt(i)
		choice, err := before.Pick(start, Query{
			Service: Service{Name: "guides", Engine: true}, Affinity: prompt,
			Excluded: []string{"guides-0", "guides-1", "guides-2"}, ZoneOut: allZonesIn,
		})
		require.NoError(t, err)
		before.Finish(start, choice, "r", OutcomeAnswered, time.Millisecond)
		byServer[choice.ID] = append(byServer[choice.ID], prompt)
		home[prompt] = choice.ID
	}
	asking, told := newTable("a", list("guides", 9)), newTable("b", list("guides", 9))
	var d DirectorySnapshot
	for id, prompts := range byServer {
		d.Kept = append(d.Kept, NewCacheReport(KeyOf(id), prompts))
	}
	asking.MergeDirectory(start, d)
	told.MergeDirectory(start, asking.Directory(start))
	for _, table := range []*Table{asking, told} {
		for prompt, server := range home {
			require.Equal(t, server, pick(t, table, start, prompt).ID)
		}
	}
}

// rendezvousPrompt returns a number that is spread like the hash of a prompt.
func rendezvousPrompt(i uint64) uint64 { return (i + 1) * 0x9e3779b97f4a7c15 }

func TestDirectorySnapshotKeepsAges(t *testing.T) {
	a, b := newTable("a", list("guides", 9)), newTable("b", list("guides", 9))
	choice := pick(t, a, start, 5)
	now := start.Add(homeLifetime - time.Second)
	d := a.Directory(now)
	require.Equal(t, []CacheLocation{{5, KeyOf(choice.ID), homeLifetime - time.Second}}, d.Homes)
	b.MergeDirectory(now, d)
	require.Contains(t, b.homes.Get(now, 5), KeyOf(choice.ID))
	require.Empty(t, b.homes.Get(now.Add(time.Second), 5), "the age goes on")
}

func TestCacheReports(t *testing.T) {
	prompt := rendezvousPrompt(1)
	h := NewPrefixDirectory()
	h.SetCacheReport(start, NewCacheReport(7, []uint64{rendezvousPrompt(3), prompt, prompt}))
	require.Equal(t, []ServerKey{7}, h.Get(start, prompt))
	require.Empty(t, h.Get(start, rendezvousPrompt(2)))

	old := NewCacheReport(7, nil)
	old.Age = time.Second
	h.SetCacheReport(start, old)
	require.Equal(t, []ServerKey{7}, h.Get(start, prompt), "an older word doesn't replace a newer one")

	require.Empty(t, h.Get(start.Add(homeLifetime), prompt), "it is too old")
	h.SetCacheReport(start, NewCacheReport(7, []uint64{prompt}))
	h.Forget(7)
	require.Empty(t, h.Get(start, prompt), "the server was down")
}

func TestEngines(t *testing.T) {
	servers := append(list("guides", 4), list("desk", 1)...)
	servers[0].Leaving = true
	servers[1].Zone = "out"
	table := newTable("a", servers)
	down, err := table.Pick(start, Query{
		Service: Service{Name: "guides"}, Excluded: []string{servers[0].ID, servers[1].ID, servers[2].ID},
		ZoneOut: allZonesIn,
	})
	require.NoError(t, err)
	table.Finish(start, down, "r", OutcomeUnreachable, 0)
	engines := table.Engines(start, func(s string) bool { return s == "guides" }, func(z string) bool { return z == "out" })
	require.Len(t, engines, 1)
	require.Equal(t, servers[2].ID, engines[0].ID)
}
