package router

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSavedPeersRoundTrip(t *testing.T) {
	folder := t.TempDir()
	got, err := readSavedPeers(folder)
	require.NoError(t, err)
	require.Empty(t, got)
	require.NoError(t, writeSavedPeers(folder, []string{"10.0.0.1:7", "10.0.0.2:7"}))
	require.NoError(t, writeSavedPeers(folder, []string{"10.0.0.3:7"}))
	got, err = readSavedPeers(folder)
	require.NoError(t, err)
	require.Equal(t, []string{"10.0.0.3:7"}, got)

	for name, content := range map[string]string{"truncated": `["10.0`, "empty": "", "no list": `{"a":1}`} {
		require.NoError(t, os.WriteFile(filepath.Join(folder, savedPeersFile), []byte(content), 0o600))
		_, err = readSavedPeers(folder)
		require.Error(t, err, name)
	}
	require.Error(t, writeSavedPeers(filepath.Join(folder, "gone"), nil))
	got, err = readSavedPeers("")
	require.NoError(t, err)
	require.Empty(t, got)
}
