package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLargeSnapshotGetsLongerTimeout sends a snapshot of the ledger's maximum
// size. It must get more time than a heartbeat, and must not be resent
// meanwhile.
func TestLargeSnapshotGetsLongerTimeout(t *testing.T) {
	large := &Snapshot{Index: 10, Term: 1, Data: make([]byte, 84<<20)}
	small := &Batch{Messages: []Message{{Type: MessageAppend}}}
	assert.Equal(t, deliverTimeout, small.timeout())
	assert.Equal(t, deliverTimeout+21*time.Second, (&Batch{Messages: []Message{{Snapshot: large}}}).timeout())

	c := newCluster(t, 11, "a", "b", "c")
	c.mustCommit(1)
	lead := c.awaitLeader()
	lagging, _ := others(lead)
	core := c.nodes[lead].core
	c.isolate(lagging)
	c.mustCommit(2)
	at := core.Applied()
	term, _ := core.log.term(at)
	core.Compact(Snapshot{Index: at, Term: term, Members: core.MembersAt(at), Data: large.Data})
	core.peers[lagging].next = 1
	sent := 0
	for range 10 {
		c.now = c.now.Add(ElectionTimeout)
		core.sendAppend(c.now, lagging, true)
	}
	for _, m := range core.Ready().Messages {
		if m.Type == MessageSnapshot {
			sent++
		}
	}
	require.Equal(t, 1, sent)
}
