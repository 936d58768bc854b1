package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
)

// tableWithLimits returns a table of engines of which the first limited ones accept almost
// nothing.
func tableWithLimits(engines, limited int) *Table {
	table := newTable("a", list("guides", engines))
	for i := range limited {
		server := Server{ID: fmt.Sprintf("guides-%d", i)}
		table.SetRateLimit(start, Choice{Server: server, SentAt: start}, RateLimit{Limited: true})
	}
	return table
}

func TestEngineTakesOverFromEnginesWithALimit(t *testing.T) {
	table := tableWithLimits(9, 8)
	taken := 0
	for prompt := range uint64(100) {
		choice, err := table.Pick(start, query(engineService, prompt+1))
		if err != nil {
			require.Equal(t, bronzerill.KindOverloaded, bronzerill.KindOf(err))
			continue
		}
		require.Equal(t, "guides-8", choice.ID)
		taken++
	}
	require.InDelta(t, takeoverShare*48, taken, 2, "half of its 48 slots")
}

func TestPromptStaysWhereCachedWhileOthersHaveALimit(t *testing.T) {
	const prompt = 7
	table := tableWithLimits(9, 6)
	for i := range 3 {
		loads := map[ServerKey]RouterLoad{KeyOf(fmt.Sprintf("guides-%d", 6+i)): {InFlight: 10}}
		table.SetPeerLoads(start, fmt.Sprint(i), loads)
	}
	table.AddPeerLocations(start, []CacheLocation{{Prompt: prompt, Server: KeyOf("guides-7")}})
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		choice, err := table.Pick(now, query(engineService, prompt))
		require.NoError(t, err)
		require.Equal(t, "guides-7", choice.ID)
		table.Finish(now, choice, "r", OutcomeAnswered, time.Millisecond)
	}
}

func TestUnusedLimitsDoNotLiftTheLoadBound(t *testing.T) {
	table := newTable("a", list("guides", 4))
	for i := range 4 {
		server := Server{ID: fmt.Sprintf("guides-%d", i)}
		table.SetRateLimit(start, Choice{Server: server, SentAt: start}, RateLimit{Limited: true, PerSecond: 1e6})
	}
	table.SetPeerLoads(start, "b", map[ServerKey]RouterLoad{KeyOf("guides-0"): {InFlight: 8}})
	table.sumPeers(start)
	require.InDelta(t, 2*2+boundSlack, table.newHardBound(start, "guides").of(table.servers["guides-0"]), 0.01)
}
