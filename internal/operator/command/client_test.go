package command

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/standin/raw"
)

func TestBrokenResponseIsAnError(t *testing.T) {
	secret := filepath.Join(t.TempDir(), "operator.secret")
	require.NoError(t, os.WriteFile(secret, []byte("a-secret-for-this-test"), 0o600))
	client, err := openClient([]string{"127.0.0.1:0"}, secret)
	require.NoError(t, err)
	accepted, err := raw.AcceptedBy(client.http)
	require.NoError(t, err)
	require.Empty(t, accepted)
}
