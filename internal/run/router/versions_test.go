package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/control/state"
)

func TestVersionsExpireWhenTheyAreNotListed(t *testing.T) {
	v1, v2 := state.ServiceVersion{Service: "chat", Version: "v1"}, state.ServiceVersion{Service: "chat", Version: "v2"}
	noted := func(index uint64) []state.NotedVersion {
		return []state.NotedVersion{{ServiceVersion: v1, Noted: index}, {ServiceVersion: v2, Noted: 1}}
	}
	both := map[state.ServiceVersion]bool{v1: true, v2: true}
	only2 := map[state.ServiceVersion]bool{v2: true}
	start := time.Unix(1000, 0)
	steps := []struct {
		name    string
		at      time.Duration
		noted   uint64
		listed  map[state.ServiceVersion]bool
		expired bool
	}{
		{"listed", 0, 1, both, false},
		{"unlisted", time.Second, 1, only2, false},
		{"unlisted for less than the retention", versionRetention, 1, only2, false},
		{"listed again", versionRetention + 500*time.Millisecond, 1, both, false},
		{"unlisted again", versionRetention + time.Second, 1, only2, false},
		{"noted again by a router that lists it", 2 * versionRetention, 7, only2, false},
		{"the retention counts from then on", 3*versionRetention - time.Second, 7, only2, false},
		{"unlisted for the retention", 3 * versionRetention, 7, only2, true},
	}
	h := newVersionHistory(start, nil)
	for _, step := range steps {
		expired := h.expired(start.Add(step.at), noted(step.noted), step.listed)
		require.Equal(t, step.expired, len(expired) == 1, step.name)
	}
}
