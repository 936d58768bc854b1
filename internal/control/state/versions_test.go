package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill"
)

func noteVersions(t *testing.T, m *Machine, index uint64, versions ...ServiceVersion) Result {
	return apply(t, m, index, Command{NoteVersions: &NoteVersions{Versions: versions}})
}

func TestNotedVersions(t *testing.T) {
	m := NewMachine()
	v1, v2 := ServiceVersion{"chat", "v1"}, ServiceVersion{"chat", "v2"}
	require.NoError(t, noteVersions(t, m, 1, v2, v1).Err())
	require.Equal(t, []NotedVersion{{v1, 1}, {v2, 1}}, m.Versions())
	require.Zero(t, m.Declared().Revision, "the declared state isn't sent again")

	forget := func(index, noted uint64) {
		require.NoError(t, apply(t, m, index, Command{ForgetVersion: &ForgetVersion{Version: v1, Noted: noted}}).Err())
	}
	require.NoError(t, noteVersions(t, m, 2, v1).Err())
	forget(3, 1)
	require.Equal(t, []NotedVersion{{v1, 2}, {v2, 1}}, m.Versions(), "it was noted again meanwhile")

	encoded, err := m.Snapshot()()
	require.NoError(t, err)
	restored := NewMachine()
	require.NoError(t, restored.Restore(encoded))
	require.Equal(t, m.Versions(), restored.Versions())

	forget(4, 2)
	require.Equal(t, []NotedVersion{{v2, 1}}, m.Versions())
	forget(5, 2)
	require.Equal(t, []NotedVersion{{v2, 1}}, m.Versions())
}

func TestNotedVersionsAreBounded(t *testing.T) {
	m := NewMachine()
	for i := range maxVersions {
		require.NoError(t, noteVersions(t, m, uint64(i+1), ServiceVersion{"chat", fmt.Sprint(i)}).Err())
	}
	require.Equal(t, bronzerill.KindTableFull, noteVersions(t, m, maxVersions+1, ServiceVersion{"chat", "new"}).Kind)
	require.NoError(t, noteVersions(t, m, maxVersions+2, ServiceVersion{"chat", "0"}).Err())
	require.Len(t, m.Versions(), maxVersions)
}
