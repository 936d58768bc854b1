package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzerill"
	"bronzerill/internal/wire/control"
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
		list[i] = Key("hotel-serra", fmt.Sprintf("chat-%d", i), "")
	}
	return list
}

// TestOnlyChatsOfLostServersMove removes and adds servers.
func TestOnlyChatsOfLostServersMove(t *testing.T) {
	for _, size := range []int{2, 10, 100, 1250} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			all := servers(size)
			before := NewRing(all)
			after := NewRing(all[1:])
			for _, key := range keys(5000) {
				chosen := before.Server(before.Choose(key, 0)).Name
				next := after.Server(after.Choose(key, 0)).Name
				if chosen != all[0].Name && chosen != next {
					assert.Equal(t, chosen, next)
				}
			}
		})
	}
}

func TestChoicesAreEven(t *testing.T) {
	for _, size := range []int{10, 100, 1000} {
		ring := NewRing(servers(size))
		counts := make([]int, size)
		const perServer = 1000
		for _, key := range keys(size * perServer) {
			counts[ring.Choose(key, 0)]++
		}
		highest := 0
		for _, n := range counts {
			highest = max(highest, n)
		}
		assert.Less(t, float64(highest)/perServer, 1.25, "%d servers", size)
	}
}

func TestFind(t *testing.T) {
	ring := NewRing(servers(100))
	for i := range 100 {
		name := fmt.Sprintf("server-%d", i)
		at, ok := ring.Find(name)
		assert.True(t, ok)
		assert.Equal(t, name, ring.Server(at).Name)
	}
	_, ok := ring.Find("another")
	assert.False(t, ok)
	_, ok = NewRing(nil).Find("another")
	assert.False(t, ok)
}

func TestChooseDoesNotAllocate(t *testing.T) {
	ring := NewRing(servers(10_000))
	assert.Zero(t, testing.AllocsPerRun(100, func() { ring.Choose(42, 1) }))
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10_000} {
		ring := NewRing(servers(size))
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			key := uint64(1)
			for b.Loop() {
				key += goldenRatio
				ring.Choose(key, 0)
			}
		})
	}
}

func TestPlan(t *testing.T) {
	now := time.Now()
	all := servers(6)
	all[1].State = control.ServerDown
	all[2].State = control.ServerLeaving
	all[3].Zone = "canela"
	config := (&bronzerill.Config{}).WithChanges(bronzerill.Changes{Zones: []bronzerill.Zone{{Name: "canela", Out: true}}})
	backoffs := NewBackoffs(1)
	planner := Planner{Ring: NewRing(all), Config: config, Backoffs: backoffs}

	for _, key := range keys(200) {
		plan := planner.Plan(now, key, "", 6)
		assert.Len(t, plan.Servers, 3)
		for _, s := range plan.Servers {
			assert.Contains(t, []string{"server-0", "server-4", "server-5"}, s.Name)
		}
	}
	plan := planner.Plan(now, 7, "server-5", 2)
	assert.Equal(t, "server-5", plan.Servers[0].Name, "the hint comes first")
	assert.NotContains(t, planner.Plan(now, 7, "server-1", 3).Servers, all[1], "a hint doesn't lead to a server that is down")

	for _, s := range []string{"server-0", "server-4", "server-5"} {
		backoffs.Refused(now, s)
	}
	plan = planner.Plan(now, 7, "", 3)
	assert.Empty(t, plan.Servers)
	assert.True(t, plan.Wait.After(now))
	assert.NotEmpty(t, planner.Plan(now.Add(time.Second), 7, "", 3).Servers)
}

func TestBudgetBoundsRetries(t *testing.T) {
	now := time.Now()
	budget := NewBudget(now)
	retries := 0
	const requests = 10_000
	for range requests {
		budget.Requested()
		for budget.Take(now) {
			retries++
		}
	}
	assert.Less(t, float64(requests+retries)/requests, 1.1)
}
