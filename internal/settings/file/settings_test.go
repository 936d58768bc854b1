package file

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validSettings = `
name = "agent-1"
zone = "gramado"
secret-file = "fleet.secret"
control-replicas = ["127.0.0.1:7100"]
[agent]
listen = "127.0.0.1:9000"
server = "server-1"
pool = "bronze-guides"
kind = "engine"
backend = "http://127.0.0.1:8000"
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	assert.Equal(t, 5*time.Minute, s.Agent.DrainTimeout.Duration)
	assert.Contains(t, s.String(), "5m0s", "the printed settings include the defaults")
	again, err := Parse([]byte(s.String()))
	require.NoError(t, err)
	assert.Equal(t, s, again, "the printed settings are a valid settings file")
}

func TestParseErrorsNameLineAndKey(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"unknown key", validSettings + "bakend = \"x\"\n", []string{"bakend", "12"}},
		{"wrong type", "name = 3", []string{"line 1", "name"}},
		{"duration without a unit", validSettings + "drain-timeout = \"5\"\n", []string{"line 12", "drain-timeout"}},
		{"several faults", "[agent]\nlisten = \"localhost:9\"", []string{"name:", "secret-file", "control-replicas", "agent.listen", "agent.server", "agent.pool", "agent.kind", "agent.backend", "zone"}},
		{"no role", "name = \"a\"\nsecret-file = \"s\"", []string{"no role"}},
		{"invalid range", "name = \"a\"\nsecret-file = \"s\"\n[entry]\nlisten = \"127.0.0.1:1\"\n[operator]\nlisten = \"127.0.0.1:2\"\nsecret-file=\"o\"\nallow = [\"10.0.0.1\"]", []string{"operator.allow", "control-replicas"}},
		{"invalid limits", validSettings + "[limits]\nmemory-mb = -1\nmax-descriptors = 63\nmax-connections = -1\nstall-timeout = \"-1s\"", []string{"limits.memory-mb", "limits.max-descriptors", "limits.max-connections", "limits.stall-timeout"}},
		{"more connections than descriptors", validSettings + "[limits]\nmax-descriptors = 512\nmax-connections = 512", []string{"limits.max-connections", "limits.max-descriptors"}},
		{"not TOML", "\x00\xff[[", []string{"line 1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			require.Error(t, err)
			for _, want := range c.want {
				assert.Contains(t, err.Error(), want)
			}
		})
	}
}

func TestReadSecret(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(path, []byte("short\n"), 0o600))
	_, err := ReadSecret(path)
	assert.ErrorContains(t, err, "shorter than 16 bytes")
	require.NoError(t, os.WriteFile(path, []byte("long enough a secret\n"), 0o600))
	secret, err := ReadSecret(path)
	require.NoError(t, err)
	assert.Equal(t, "long enough a secret", secret)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse(data) })
}
