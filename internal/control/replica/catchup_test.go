package replica

import (
	"context"
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a new replica that gets the whole log although the state is small (review/7). On links that lose packets
// it wasn't a voter before the next disk was lost.
func TestNewReplicaCatchesUpBySnapshot(t *testing.T) {
	const commands = 40
	t.Run("without a snapshot", func(t *testing.T) { checkCatchUp(t, commands, 10*commands) })
	t.Run("after an old snapshot", func(t *testing.T) { checkCatchUp(t, commands, commands/2) })
}

// checkCatchUp adds a replica to a group after some commands.
func checkCatchUp(t *testing.T, commands int, snapshotEvery uint64) {
	synctest.Test(t, func(t *testing.T) {
		const commandBytes = 90 << 10
		g := newGroup(t, "a", "b", "c")
		defer g.close()
		g.snapshotEvery = snapshotEvery
		for _, name := range []string{"a", "b", "c"} {
			folder := g.processes[name].folder
			require.NoError(t, g.kill(name))
			g.start(name, folder, unwrapped)
		}
		_, lead := g.leader()
		for range commands {
			command := make([]byte, commandBytes)
			binary.BigEndian.PutUint64(command, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			_, err := lead.node.Propose(ctx, command)
			cancel()
			require.NoError(t, err)
		}
		folder := t.TempDir()
		require.NoError(t, InitStore(folder, "d", Members{}))
		g.mu.Lock()
		g.sent = make(map[string]int)
		g.mu.Unlock()
		d := g.start("d", folder, unwrapped)
		require.NoError(t, lead.node.ChangeMembers(t.Context(), func(m Members) (Members, error) { return m.With(Member{Name: "d", Addr: "d"}), nil }))
		g.requireTotal(uint64(commands))
		total, _ := d.machine.get()
		require.Equal(t, uint64(commands), total)
		g.mu.Lock()
		defer g.mu.Unlock()
		require.Less(t, g.sent["d"], 5*commandBytes, "of %d in the log", commands*commandBytes)
	})
}
