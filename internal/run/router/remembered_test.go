package router

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSavedPeersRoundTrip(t *testing.T) {
	folder := t.TempDir()
	got, err := readRemembered(folder)
	require.NoError(t, err)
	require.Empty(t, got)
	require.NoError(t, writeRemembered(folder, []string{"10.0.0.1:7", "10.0.0.2:7"}))
	require.NoError(t, writeRemembered(folder, []string{"10.0.0.3:7"}))
	got, err = readRemembered(folder)
	require.NoError(t, err)
	require.Equal(t, []string{"10.0.0.3:7"}, got)

	for name, torn := range map[string]string{"cut short": `["10.0`, "empty": "", "other": `{"a":1}`} {
		require.NoError(t, os.WriteFile(filepath.Join(folder, rememberedFile), []byte(torn), 0o600))
		_, err = readRemembered(folder)
		require.Error(t, err, name)
	}
	require.Error(t, writeRemembered(filepath.Join(folder, "gone"), nil))
	got, err = readRemembered("")
	require.NoError(t, err)
	require.Empty(t, got)
}
