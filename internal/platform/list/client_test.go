package list

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/standin/raw"
)

func TestBrokenResponseIsAnError(t *testing.T) {
	accepted, err := raw.AcceptedBy(NewSource("http://127.0.0.1/").(httpSource).client)
	require.NoError(t, err)
	require.Empty(t, accepted)
}
