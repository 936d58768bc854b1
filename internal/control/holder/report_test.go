package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/wire/control"
)

func poolConfig() *bronzerill.Config {
	changes := bronzerill.Changes{
		Zones: []bronzerill.Zone{{Name: "gramado"}, {Name: "canela"}},
		Pools: []bronzerill.Pool{{Name: "bronze-guides", Kind: bronzerill.PoolEngine, LoadMultiple: 1.5, Slots: 16, FloorSlots: 4, ColdSlots: 2, RampStep: 2}},
	}
	return (&bronzerill.Config{}).WithChanges(changes)
}

func renewAgent(t *Table, now time.Time, c *bronzerill.Config, name, zone string, state control.ServerState, load control.Load) control.RenewReply {
	return t.Renew(now, c, &control.RenewRequest{
		Holder: "agent/" + name, Generation: 1, Revision: c.Revision(), Load: load,
		Server: &control.Server{Name: name, Pool: "bronze-guides", Zone: zone, Addr: "127.0.0.1:1", State: state},
	})
}

func TestReportWaitsUntilSettled(t *testing.T) {
	now := time.Now()
	table := NewTable(now, 1)
	_, ok := table.Report(now.Add(settleTime/2), 1, poolConfig(), nil)
	assert.False(t, ok, "a new leader must not report before every agent could renew")
	_, ok = table.Report(now.Add(settleTime), 1, poolConfig(), nil)
	assert.True(t, ok)
}

func TestReportCountsWhatCanBePromised(t *testing.T) {
	c := poolConfig()
	out := c.WithChanges(bronzerill.Changes{Zones: []bronzerill.Zone{{Name: "canela", Out: true}}})
	cases := []struct {
		name   string
		config *bronzerill.Config
		// silent is the time since the last renewal of server-3.
		silent   time.Duration
		state    control.ServerState
		promised int
		want     bronzerill.PoolReport
	}{
		{"all servers ready", c, 0, control.ServerReady, 10, bronzerill.PoolReport{Servers: 3, Usable: 48, Dependable: 16, Promised: 10, Free: 6}},
		{"more promised than dependable", c, 0, control.ServerReady, 20, bronzerill.PoolReport{Servers: 3, Usable: 48, Dependable: 16, Promised: 20, AtRisk: 4}},
		{"silent agent", c, control.LeaseTerm, control.ServerReady, 10, bronzerill.PoolReport{Servers: 2, Usable: 32, Dependable: 16, Promised: 10, Free: 6}},
		{"leaving server", c, 0, control.ServerLeaving, 10, bronzerill.PoolReport{Servers: 2, Usable: 32, Dependable: 16, Promised: 10, Free: 6}},
		{"zone out", out, 0, control.ServerReady, 10, bronzerill.PoolReport{Servers: 2, Usable: 32, Dependable: 32, Promised: 10, Free: 22}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			start := time.Now()
			now := start.Add(settleTime)
			table := NewTable(start, 1)
			load := control.Load{Limit: 16}
			renewAgent(table, now.Add(-k.silent), k.config, "server-3", "gramado", k.state, load)
			renewAgent(table, now, k.config, "server-1", "gramado", control.ServerReady, load)
			renewAgent(table, now, k.config, "server-2", "canela", control.ServerReady, load)
			report, ok := table.Report(now, 1, k.config, map[string]int{"bronze-guides": k.promised})
			require.True(t, ok)
			k.want.Pool = "bronze-guides"
			assert.Equal(t, k.want, report.Pools[0])
		})
	}
}

// TestFreeAndAtRiskAreConsistent checks the free and at-risk capacity of random
// reports against each other.
func TestFreeAndAtRiskAreConsistent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		start := time.Now()
		now := start.Add(settleTime)
		table := NewTable(start, 1)
		c := poolConfig()
		for n := range random.IntN(20) {
			zone := []string{"gramado", "canela"}[random.IntN(2)]
			state := []control.ServerState{control.ServerReady, control.ServerCold, control.ServerLeaving, control.ServerDown}[random.IntN(4)]
			renewAgent(table, now, c, fmt.Sprintf("server-%d", n), zone, state, control.Load{Limit: random.IntN(20)})
		}
		report, ok := table.Report(now, 1, c, map[string]int{"bronze-guides": random.IntN(200)})
		require.True(t, ok)
		p := report.Pools[0]
		assert.Equal(t, p.Dependable-p.Promised, p.Free-p.AtRisk)
		assert.Zero(t, p.Free*p.AtRisk, "capacity is free while promises are at risk")
		assert.LessOrEqual(t, p.Dependable, p.Usable)
	}
}

func TestReportNumbersGrowOverTerms(t *testing.T) {
	assert.Greater(t, ReportNumber(2, 1), ReportNumber(1, 1<<31))
	assert.Greater(t, ReportNumber(2, 2), ReportNumber(2, 1))
}

func TestServersAreSentInPages(t *testing.T) {
	start := time.Now()
	c := poolConfig()
	table := NewTable(start, 3)
	now := start.Add(settleTime)
	for n := range 3 * serversPerPage {
		renewAgent(table, now, c, fmt.Sprintf("server-%d", n), "gramado", control.ServerReady, control.Load{})
	}
	req := &control.RenewRequest{Holder: "entry-1", WantServers: true, Revision: c.Revision()}
	seen := make(map[string]bool)
	for page := 0; ; page++ {
		require.Less(t, page, 4)
		d := table.Renew(now, c, req).Servers
		require.NotNil(t, d)
		assert.Equal(t, page == 0, d.Full)
		for _, s := range d.Servers {
			seen[s.Name] = true
		}
		req.ServersTerm, req.ServersSeq = d.Term, d.Seq
		if !d.More {
			break
		}
	}
	assert.Len(t, seen, 3*serversPerPage)
	assert.Nil(t, table.Renew(now, c, req).Servers, "a page without changes must be nil")
}

func TestSilentAgentGoesDownAndAReplacedProcessIsIgnored(t *testing.T) {
	start := time.Now()
	c := poolConfig()
	table := NewTable(start, 1)
	renewAgent(table, start, c, "server-1", "gramado", control.ServerReady, control.Load{})
	assert.True(t, table.IsLive(start, "server-1"))
	table.Tick(start.Add(control.LeaseTerm), c)
	assert.False(t, table.IsLive(start.Add(control.LeaseTerm), "server-1"))
	assert.Equal(t, control.ServerDown, table.Servers()[0].State)

	newer := &control.RenewRequest{Holder: "agent/server-1", Generation: 9, Server: &control.Server{Name: "server-1", State: control.ServerCold}}
	table.Renew(start, c, newer)
	renewAgent(table, start, c, "server-1", "gramado", control.ServerReady, control.Load{})
	assert.Equal(t, uint64(9), table.Servers()[0].Generation)
}

func TestPlatformListOverridesServerState(t *testing.T) {
	start := time.Now()
	c := poolConfig()
	table := NewTable(start, 1)
	renewAgent(table, start, c, "server-1", "gramado", control.ServerReady, control.Load{})
	table.SetLeaving(map[string]bool{"server-1": true})
	assert.Equal(t, control.ServerLeaving, table.Servers()[0].State)
	assert.True(t, renewAgent(table, start, c, "server-1", "gramado", control.ServerReady, control.Load{}).Leaving)
	table.SetLeaving(nil)
	assert.False(t, renewAgent(table, start, c, "server-1", "gramado", control.ServerReady, control.Load{}).Leaving, "the list must be able to withdraw leaving")
	assert.Equal(t, control.ServerReady, table.Servers()[0].State)
}

// TestLateReleaseKeepsSuccessorLease covers a release of a stopped agent that
// arrives after its successor has renewed. The lease of the successor must still
// count.
func TestLateReleaseKeepsSuccessorLease(t *testing.T) {
	start := time.Now()
	c := poolConfig()
	table := NewTable(start, 1)
	now := start.Add(settleTime)
	renew := func(generation, revision uint64, released bool) {
		table.Renew(now, c, &control.RenewRequest{
			Holder: "agent/server-1", Generation: generation, Revision: revision, Released: released,
			Server: &control.Server{Name: "server-1", Pool: "bronze-guides", State: control.ServerReady},
		})
	}
	renew(1, 0, false)
	renew(2, 0, false)
	renew(1, 0, true)
	assert.False(t, table.IsInForce(now, c.Revision()), "the successor may act on the older revision")
	renew(2, 0, true)
	assert.True(t, table.IsInForce(now, c.Revision()))
}
