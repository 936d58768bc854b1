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

// Guards against a process with several roles whose ports together take more than the process has (issue 52).
func TestRolesOfOneProcessShareItsLimits(t *testing.T) {
	tests := map[string]struct {
		settings file.Settings
		ports    int
	}{
		"router":             {file.Settings{Router: new(file.Router)}, 1},
		"entry":              {file.Settings{Entry: new(file.Entry)}, 1},
		"agent and control":  {file.Settings{Agent: new(file.Agent), Replica: new(file.Replica)}, 1},
		"entry and agent":    {file.Settings{Entry: new(file.Entry), Agent: new(file.Agent)}, 2},
		"all roles of a set": {file.Settings{Entry: new(file.Entry), Agent: new(file.Agent), Replica: new(file.Replica)}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, descriptors := range []int{512, 4100, 1 << 20} {
				test.settings.Limits.MemoryMB = 284
				l := derive(test.settings, descriptors)
				require.LessOrEqual(t, 3*test.ports*l.Connections+3*l.OtherConnections, descriptors*95/100, "%d descriptors", descriptors)
				require.LessOrEqual(t, test.ports*l.Connections*connectionMemory, 284<<20*connectionPercent/100, "%d descriptors", descriptors)
			}
		})
	}
}
