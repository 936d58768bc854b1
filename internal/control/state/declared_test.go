package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
)

func apply(t *testing.T, m *Machine, index uint64, c Command) Result {
	data, err := c.Encode()
	require.NoError(t, err)
	result, ok := m.Apply(index, data).(Result)
	require.True(t, ok)
	return result
}

func declare(t *testing.T, m *Machine, index, number uint64, source string) {
	result := apply(t, m, index, Command{At: time.Unix(1, 0), Declare: &Declare{Number: number, Source: []byte(source)}})
	require.NoError(t, result.Err())
}

func setZone(t *testing.T, m *Machine, index uint64, zone string, out bool) Result {
	return apply(t, m, index, Command{SetZone: &SetZone{Zone: zone, Out: out}})
}

func TestDeclareKeepsHighestNumber(t *testing.T) {
	m := NewMachine()
	declare(t, m, 1, 5, "five")
	declare(t, m, 2, 9, "nine")
	for index, number := range map[uint64]uint64{3: 9, 4: 7, 5: 5} {
		declare(t, m, index, number, "other")
		require.Equal(t, "nine", string(m.Declared().Source))
		require.EqualValues(t, 2, m.Declared().Revision, "a resend must not change the revision")
	}
}

func TestZonesOutAndBack(t *testing.T) {
	m := NewMachine()
	setZone(t, m, 1, "b", true)
	before := m.Declared()
	setZone(t, m, 2, "a", true)
	require.Equal(t, []string{"a", "b"}, m.Declared().ZonesOut)
	require.Equal(t, []string{"b"}, before.ZonesOut, "a returned state must not change later")
	setZone(t, m, 3, "a", true)
	require.EqualValues(t, 2, m.Declared().Revision)
	setZone(t, m, 4, "b", false)
	setZone(t, m, 5, "b", false)
	require.Equal(t, []string{"a"}, m.Declared().ZonesOut)
	require.EqualValues(t, 4, m.Declared().Revision)
}

func TestZonesOutAreBounded(t *testing.T) {
	m := NewMachine()
	for i := range maxZonesOut + 1 {
		result := setZone(t, m, uint64(i+1), string(rune('a'+i%26))+string(rune('a'+i/26)), true)
		require.Equal(t, i == maxZonesOut, result.Kind == bronzerill.KindTableFull)
	}
}

func TestDeclaredStateSurvivesASnapshot(t *testing.T) {
	m := NewMachine()
	declare(t, m, 1, 5, "five")
	setZone(t, m, 2, "b", true)
	data, err := m.Snapshot()()
	require.NoError(t, err)
	restored := NewMachine()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, m.Declared(), restored.Declared())
}
