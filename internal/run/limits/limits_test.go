package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/settings/file"
)

func TestLimitsFitTheMachine(t *testing.T) {
	tests := []struct {
		name                string
		settings            file.Limits
		descriptors         int
		connections, others int
		bodyMB              int64
	}{
		{"front of a first site", file.Limits{MemoryMB: 284}, 4100, 820, 64, 56},
		{"front of a grown site", file.Limits{MemoryMB: 184}, 4100, 736, 64, 36},
		{"few descriptors", file.Limits{MemoryMB: 284}, 256, 51, 16, 56},
		{"nothing known of the machine", file.Limits{}, 1 << 30, 16_384, 256, 256},
		{"set by the operator", file.Limits{MemoryMB: 284, MaxConnections: 7}, 4100, 7, 64, 56},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.settings.StallTimeout.Duration = time.Second
			l := derive(file.Settings{Limits: test.settings}, test.descriptors)
			require.Equal(t, test.connections, l.Connections)
			require.Equal(t, test.others, l.OtherConnections)
			require.True(t, l.Memory.Fits(test.bodyMB<<20*3/4))
			require.False(t, l.Memory.Fits((test.bodyMB+1)<<20*3/4))
			if bytes := test.settings.MemoryMB << 20; bytes > 0 {
				require.Less(t, l.Connections*connectionMemory+int(test.bodyMB<<20), bytes/2, "half is left for all else")
			}
		})
	}
}

// Guards against a process whose connections leave no descriptors for calls to servers.
func TestDescriptorsAreLeftForServers(t *testing.T) {
	for _, descriptors := range []int{256, 512, 1024, 4100, 20_000} {
		l := derive(file.Settings{}, descriptors)
		require.LessOrEqual(t, 3*l.Connections+3*l.OtherConnections, descriptors*95/100, "%d descriptors", descriptors)
	}
}
