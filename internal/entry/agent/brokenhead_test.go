package agent

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/standin/raw"
)

// Guards against answers of agents whose heads are broken (issue 49).
func TestBrokenResponseOfAnAgentIsAnError(t *testing.T) {
	c := NewClient(ClientConfig{})
	t.Cleanup(c.Close)
	for name, client := range map[string]*http.Client{"shared": c.shared, "attach": {Transport: c.newTransport(true)}} {
		t.Run(name, func(t *testing.T) {
			accepted, err := raw.AcceptedBy(client)
			require.NoError(t, err)
			require.Empty(t, accepted)
		})
	}
}
