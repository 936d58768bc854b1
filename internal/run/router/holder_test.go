package router

import (
	"bytes"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"bronzerill/internal/router/caller"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
	"bronzerill/platform"
)

func newTestHolder(log hclog.Logger) *stateHolder {
	servers := placement.NewTable(placement.Config{Name: "a", Zone: "zone-a", Seed: 1})
	return newHolder(platform.Adapter{}, servers, time.Now, log)
}

func newState(revision uint64, number int, prefix string) declared.State {
	return declared.State{Revision: revision, Number: uint64(number), Source: []byte(document(number, prefix))}
}

// TestRestartCompilesOnlyTheNewestState covers a replica that restarts after many
// changes. It replays all of them before callers are served.
func TestRestartCompilesOnlyTheNewestState(t *testing.T) {
	var out bytes.Buffer
	h := newTestHolder(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}))
	for revision := range uint64(300) {
		h.update(newState(revision+1, int(revision)+1, "/a/"), "log")
	}
	require.EqualValues(t, 300, h.Revision(), "peers can fetch the state before it is compiled")
	h.compile(time.Now())
	require.EqualValues(t, 300, h.Table().Number)
	require.Equal(t, 1, bytes.Count(out.Bytes(), []byte("declared state taken")))
}

func TestStateNeverGoesBack(t *testing.T) {
	h := newTestHolder(hclog.NewNullLogger())
	h.update(newState(2, 9, "/b/"), "log")
	h.compile(time.Now())
	h.update(newState(1, 5, "/a/"), "router")
	h.compile(time.Now())
	require.EqualValues(t, 9, h.Table().Number)
	_, found := h.Table().Route("h", "/b/x")
	require.True(t, found)
}

func TestServersOfReturnedZoneAreCold(t *testing.T) {
	h := newTestHolder(hclog.NewNullLogger())
	now := time.Now()
	h.servers.SetList(now, now, []placement.Server{{ID: "i-1", Service: "guides", Addr: "10.0.0.1:80", Zone: "zone-a", Slots: 48}})
	out := newState(1, 5, "/a/")
	out.ZonesOut = []string{"zone-a"}
	h.update(out, "log")
	h.compile(time.Now())
	require.True(t, h.Table().IsZoneOut("zone-a"))
	h.update(newState(2, 5, "/a/"), "log")
	h.compile(time.Now())
	require.False(t, h.Table().IsZoneOut("zone-a"))
	choice, err := h.servers.Pick(now, placement.Query{
		Service: placement.Service{Name: "guides", ColdPerSecond: 20, Engine: true}, ZoneOut: h.Table().IsZoneOut,
	})
	require.NoError(t, err)
	require.True(t, choice.Cold)
}

func TestLargestReturnsLargestParts(t *testing.T) {
	var parts []caller.PromptPart
	for i := range 1000 {
		parts = append(parts, caller.PromptPart{ID: uint64(i), Tokens: i})
	}
	keys := largestParts(parts)
	require.Len(t, keys, maxPartsPerEngine)
	require.EqualValues(t, 999, keys[0])
	require.Len(t, largestParts(parts[:3]), 3)
}
