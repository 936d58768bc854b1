package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzerill"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/ring"
)

func servers(n int) []control.Server {
	list := make([]control.Server, n)
	for i := range list {
		list[i] = control.Server{Name: fmt.Sprintf("server-%d", i), Pool: "bronze-guides", Zone: "gramado", State: control.ServerReady}
	}
	return list
}

func keys(n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = ring.Key("hotel-serra", fmt.Sprintf("chat-%d", i), "")
	}
	return list
}

func TestPlan(t *testing.T) {
	now := time.Now()
	all := servers(6)
	all[1].State = control.ServerDown
	all[2].State = control.ServerLeaving
	all[3].Zone = "canela"
	config := (&bronzerill.Config{}).WithChanges(bronzerill.Changes{Zones: []bronzerill.Zone{{Name: "canela", Out: true}}})
	backoffs := NewBackoffs(1)
	planner := Planner{Ring: ring.New(all), Config: config, Backoffs: backoffs}

	for _, key := range keys(200) {
		plan := planner.Plan(now, key, "", 6)
		assert.Len(t, plan.Servers, 3)
		for _, s := range plan.Servers {
			assert.Contains(t, []string{"server-0", "server-4", "server-5"}, s.Name)
		}
	}
	plan := planner.Plan(now, 7, "server-5", 2)
	assert.Equal(t, "server-5", plan.Servers[0].Name, "the preferred server comes first")
	assert.NotContains(t, planner.Plan(now, 7, "server-1", 3).Servers, all[1], "a preferred server that is down is skipped")

	for _, s := range []string{"server-0", "server-4", "server-5"} {
		backoffs.RecordRefusal(now, s)
	}
	plan = planner.Plan(now, 7, "", 3)
	assert.Empty(t, plan.Servers)
	assert.True(t, plan.RetryAt.After(now))
	assert.NotEmpty(t, planner.Plan(now.Add(time.Second), 7, "", 3).Servers)
}

func TestBudgetBoundsRetries(t *testing.T) {
	now := time.Now()
	budget := NewRetryBudget(now)
	retries := 0
	const requests = 10_000
	for range requests {
		budget.CountRequest()
		for budget.Take(now) {
			retries++
		}
	}
	assert.Less(t, float64(requests+retries)/requests, 1.1)
}
