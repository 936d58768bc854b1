package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func pick(t *testing.T, table *Table, now time.Time, prompt uint64) Choice {
	choice, err := table.Pick(now, query(engineService, prompt))
	require.NoError(t, err)
	table.Finish(now, choice, "r", OutcomeNone, 0)
	return choice
}

func TestRoutersPickTheSameServerForAPrompt(t *testing.T) {
	a, b := newTable("a", list("guides", 9)), newTable("b", list("guides", 9))
	used := make(map[string]bool)
	for prompt := range uint64(200) {
		choice := pick(t, a, start, prompt+1)
		require.Equal(t, choice.ID, pick(t, b, start, prompt+1).ID)
		used[choice.ID] = true
	}
	require.Len(t, used, 9)
}

// TestPromptsStayOnTheirServersAfterScaleOut guards against prompts that move at
// scale-out. Routers that know where a prompt is cached must send it there,
// although the hash now selects another server.
func TestPromptsStayOnTheirServersAfterScaleOut(t *testing.T) {
	a, b := newTable("a", list("guides", 9)), newTable("b", list("guides", 9))
	before := make(map[uint64]string)
	for prompt := range uint64(200) {
		before[prompt+1] = pick(t, a, start, prompt+1).ID
		b.AddPeerLocations(start, a.LocationsToGossip(start))
	}
	now := start.Add(10 * time.Second)
	for _, table := range []*Table{a, b} {
		table.SetList(now, now, list("guides", 12))
		for prompt, server := range before {
			require.Equal(t, server, pick(t, table, now, prompt).ID)
		}
	}
}

// TestPromptIsFetchedFromLeavingServer covers releases: the new server fetches a
// prompt from the leaving one.
func TestPromptIsFetchedFromLeavingServer(t *testing.T) {
	table := newTable("a", list("guides", 3))
	old := pick(t, table, start, 5)
	require.Empty(t, old.FetchFrom)
	setReplaced(table, old.ID)
	next := pick(t, table, start, 5)
	require.NotEqual(t, old.ID, next.ID)
	require.Equal(t, old.Addr, next.FetchFrom)
	require.Empty(t, pick(t, table, start, 5).FetchFrom, "the prompt is cached there now")
}

func TestServerLosesItsLocationsWhenDown(t *testing.T) {
	table := newTable("a", list("guides", 3))
	old := pick(t, table, start, 5)
	table.Finish(start, old, "r", OutcomeUnreachable, 0)
	require.Empty(t, pick(t, table, start, 5).FetchFrom)
}

func TestNewRouterLearnsLocationsByGossip(t *testing.T) {
	a, b := NewPrefixDirectory(), NewPrefixDirectory()
	for prompt := range uint64(500) {
		a.AddSent(start, CacheLocation{Prompt: prompt, Server: 1})
	}
	now := start.Add(5 * time.Second)
	for range 60 {
		b.AddPeerLocations(now, a.LocationsToGossip(now))
	}
	for prompt := range uint64(500) {
		require.Equal(t, []ServerKey{1}, b.Get(now, prompt))
	}
}

func TestUnusedLocationsExpire(t *testing.T) {
	d := NewPrefixDirectory()
	d.AddSent(start, CacheLocation{Prompt: 1, Server: 7})
	require.Empty(t, d.Get(start.Add(locationLifetime), 1))
}

func TestDirectoryAndGossipAreBounded(t *testing.T) {
	d := NewPrefixDirectory()
	for prompt := range uint64(100_000) {
		d.AddSent(start, CacheLocation{Prompt: prompt, Server: 1})
	}
	require.LessOrEqual(t, len(d.LocationsToGossip(start)), maxNewLocations+refreshedPrompts*maxLocations)
	require.LessOrEqual(t, d.prompts.Len(), maxPrompts)
}

// TestGossipDoesNotExtendLocations guards against routers that keep each other's
// locations alive. Servers drop unused prompts, so the directory must drop them
// too.
func TestGossipDoesNotExtendLocations(t *testing.T) {
	a, b := NewPrefixDirectory(), NewPrefixDirectory()
	a.AddSent(start, CacheLocation{Prompt: 1, Server: 7})
	for at := time.Duration(0); at < 2*locationLifetime; at += 200 * time.Millisecond {
		now := start.Add(at)
		b.AddPeerLocations(now, a.LocationsToGossip(now))
		a.AddPeerLocations(now, b.LocationsToGossip(now))
	}
	require.Empty(t, a.Get(start.Add(2*locationLifetime), 1))
	require.Empty(t, b.Get(start.Add(2*locationLifetime), 1))
}
