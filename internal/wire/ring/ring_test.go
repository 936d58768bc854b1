package ring

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

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

// TestRemovalMovesOnlyChatsOfRemovedServers compares the choices before and after a
// server is removed.
func TestRemovalMovesOnlyChatsOfRemovedServers(t *testing.T) {
	for _, size := range []int{2, 10, 100, 1250} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			all := servers(size)
			before := New(all)
			after := New(all[1:])
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

func TestChoicesAreBalanced(t *testing.T) {
	for _, size := range []int{10, 100, 1000} {
		ring := New(servers(size))
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
	ring := New(servers(100))
	for i := range 100 {
		name := fmt.Sprintf("server-%d", i)
		at, ok := ring.Find(name)
		assert.True(t, ok)
		assert.Equal(t, name, ring.Server(at).Name)
	}
	_, ok := ring.Find("another")
	assert.False(t, ok)
	_, ok = New(nil).Find("another")
	assert.False(t, ok)
}

func TestChooseDoesNotAllocate(t *testing.T) {
	ring := New(servers(10_000))
	assert.Zero(t, testing.AllocsPerRun(100, func() { ring.Choose(42, 1) }))
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10_000} {
		ring := New(servers(size))
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
