// Package measure runs the measurements of docs/MEASURES.md, each together with its
// baselines.
package measure

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/ring"
)

// routingSeed makes the runs reproducible.
const routingSeed = 11

var zoneNames = []string{"zone-1", "zone-2", "zone-3", "zone-4"}

// servers returns n servers, spread over the zones.
func servers(n int) []control.Server {
	list := make([]control.Server, n)
	for i := range list {
		list[i] = control.Server{
			Name: fmt.Sprintf("server-%d", i), Pool: "bronze-guides", Zone: zoneNames[i%len(zoneNames)],
			Addr: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), State: control.ServerReady,
		}
	}
	return list
}

// chooser picks a server for a chat among the live servers.
type chooser func(chat uint64, live []control.Server) string

// baselines returns the choosers that the ring is compared with.
func baselines() map[string]chooser {
	turn := 0
	loads := make(map[string]int)
	return map[string]chooser{
		"plain hash": func(chat uint64, live []control.Server) string {
			return live[chat%uint64(len(live))].Name
		},
		"round robin": func(_ uint64, live []control.Server) string {
			turn++
			return live[turn%len(live)].Name
		},
		"least load": func(_ uint64, live []control.Server) string {
			best := live[0].Name
			for _, s := range live[1:] {
				if loads[s.Name] < loads[best] {
					best = s.Name
				}
			}
			loads[best]++
			return best
		},
	}
}

// ringChooser returns a chooser that uses the ring and rebuilds it when the live
// servers change.
func ringChooser() chooser {
	var current *ring.Ring
	size := -1
	first := ""
	return func(chat uint64, live []control.Server) string {
		// Every membership change in these measurements changes the size or the first server.
		if size != len(live) || first != live[0].Name {
			current = ring.New(live)
			size, first = len(live), live[0].Name
		}
		return current.Server(current.Choose(chat, 0)).Name
	}
}

// churn is one change of the live servers.
type churn struct {
	name  string
	apply func(random *rand.Rand, all []control.Server) []control.Server
}

// churnShare is the share of servers that are removed or added, in percent.
const churnShare = 2

// churnCases returns the changes to measure. Servers that flapped are live again when
// the chats return.
func churnCases() []churn {
	remove := func(random *rand.Rand, all []control.Server) []control.Server {
		count := max(1, len(all)*churnShare/100)
		live := append([]control.Server(nil), all...)
		random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		return live[count:]
	}
	return []churn{
		{"2% lost", remove},
		{"2% added", func(_ *rand.Rand, all []control.Server) []control.Server {
			more := servers(len(all) + max(1, len(all)*churnShare/100))
			return more
		}},
		{"2% flapped", func(_ *rand.Rand, all []control.Server) []control.Server { return all }},
	}
}

// Routing prints cache reuse after churn, load skew, and the cost of a choice.
func Routing(w *tabwriter.Writer) error {
	printReuse(w)
	printSkew(w)
	printCost(w)
	return w.Flush()
}

func printReuse(w *tabwriter.Writer) {
	_, _ = fmt.Fprintln(w, "CACHE REUSE: chats that return to their server, percent of those whose server is live")
	_, _ = fmt.Fprintln(w, "servers\tchurn\tring\tplain hash\tround robin\tleast load")
	for _, size := range []int{10, 100, 1250} {
		for _, c := range churnCases() {
			_, _ = fmt.Fprintf(w, "%d\t%s", size, c.name)
			_, _ = fmt.Fprintf(w, "\t%.2f", cacheReuse(size, c, ringChooser()))
			for _, name := range []string{"plain hash", "round robin", "least load"} {
				_, _ = fmt.Fprintf(w, "\t%.2f", cacheReuse(size, c, baselines()[name]))
			}
			_, _ = fmt.Fprintln(w)
		}
	}
}

// cacheReuse returns the percentage of chats that return to their server after churn,
// among those whose server is live.
func cacheReuse(size int, c churn, choose chooser) float64 {
	random := rand.New(rand.NewPCG(routingSeed, 1))
	all := servers(size)
	const chats = 20_000
	before := make([]string, chats)
	for chat := range before {
		before[chat] = choose(chatKey(chat), all)
	}
	live := c.apply(random, all)
	alive := make(map[string]bool, len(live))
	for _, s := range live {
		alive[s.Name] = true
	}
	returned, total := 0, 0
	for chat, server := range before {
		if !alive[server] {
			continue
		}
		total++
		if choose(chatKey(chat), live) == server {
			returned++
		}
	}
	return 100 * float64(returned) / float64(total)
}

func chatKey(chat int) uint64 { return xxhash.Sum64String(fmt.Sprintf("chat-%d", chat)) }

// Parameters of the skew measurement. skewMean and skewFloor are in chats per server.
const (
	skewMultiple = 1.25
	skewMean     = 12
	skewFloor    = 4
	skewHops     = 16
)

// printSkew loads a pool to a mean load and prints the load of the busiest server over
// the mean, with and without the agents' load bound.
func printSkew(w *tabwriter.Writer) {
	_, _ = fmt.Fprintf(w, "\nLOAD SKEW: load of the busiest server over the mean, at a mean of %d; load bound %.2f\n", skewMean, skewMultiple)
	_, _ = fmt.Fprintln(w, "servers\tring with bound\tring without bound\trandom choice\tservers tried per request")
	for _, size := range []int{10, 100, 1250} {
		bounded, probes := fill(size, true)
		unbounded, _ := fill(size, false)
		_, _ = fmt.Fprintf(w, "%d\t%.2f\t%.2f\t%.2f\t%.2f\n", size, bounded, unbounded, fillRandomly(size), probes)
	}
}

// fill assigns chats by the ring until the mean load is reached. It returns the skew
// and the number of servers tried per request.
func fill(size int, bound bool) (skew, probesPerRequest float64) {
	choices := ring.New(servers(size))
	loads := make([]int, size)
	total := size * skewMean
	limit := int(skewMultiple * skewMean)
	probes := 0
	for chat := range total {
		for nth := range skewHops * 8 {
			server := choices.Choose(chatKey(chat), nth)
			probes++
			if !bound || loads[server] < max(skewFloor, limit) {
				loads[server]++
				break
			}
		}
	}
	return skewOf(loads), float64(probes) / float64(total)
}

// fillRandomly assigns the same number of chats to random servers and returns the skew.
func fillRandomly(size int) float64 {
	random := rand.New(rand.NewPCG(routingSeed, 2))
	loads := make([]int, size)
	for range size * skewMean {
		loads[random.IntN(size)]++
	}
	return skewOf(loads)
}

// skewOf returns the highest load over the mean.
func skewOf(loads []int) float64 {
	highest, sum := 0, 0
	for _, load := range loads {
		highest = max(highest, load)
		sum += load
	}
	return float64(highest) * float64(len(loads)) / float64(sum)
}

func printCost(w *tabwriter.Writer) {
	_, _ = fmt.Fprintln(w, "\nCOST OF A CHOICE and of the server table in an entry")
	_, _ = fmt.Fprintln(w, "servers\tns per choice\tbytes per server\tms to rebuild")
	for _, size := range []int{10, 100, 1250, 10_000} {
		list := servers(size)
		started := time.Now()
		built := ring.New(list)
		rebuilt := time.Since(started)
		_, _ = fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.2f\n", size, choiceCost(built), memoryPerServer(size), float64(rebuilt.Microseconds())/1000)
	}
}

// choiceCost returns the time of one choice, in nanoseconds.
func choiceCost(r *ring.Ring) float64 {
	const rounds = 1_000_000
	started := time.Now()
	sum := 0
	for n := range rounds {
		sum += r.Choose(uint64(n)*0x9e3779b97f4a7c15, 0)
	}
	elapsed := time.Since(started)
	runtime.KeepAlive(sum)
	return float64(elapsed.Nanoseconds()) / rounds
}

// memoryPerServer returns the heap bytes per server of an entry's server table and its
// ring.
func memoryPerServer(size int) float64 {
	copies := max(20, 100_000/size)
	before := heapBytes()
	var retained []any
	for range copies {
		list := servers(size)
		retained = append(retained, list, ring.New(list))
	}
	used := heapBytes() - before
	runtime.KeepAlive(retained)
	return float64(used) / float64(size*copies)
}

// heapBytes returns the heap size after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
