package replica

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// slowStore is a store whose writes take a fixed time.
type slowStore struct {
	Store
	took time.Duration
}

func (s slowStore) Save(Ready) error {
	time.Sleep(s.took)
	return nil
}

func TestSlowWriteIsLogged(t *testing.T) {
	for took, want := range map[time.Duration]bool{slowSave / 2: false, slowSave * 2: true} {
		synctest.Test(t, func(t *testing.T) {
			var logged bytes.Buffer
			n := &Node{cfg: NodeConfig{Store: slowStore{took: took}, Clock: time.Now, Log: hclog.New(&hclog.LoggerOptions{Output: &logged})}}
			require.NoError(t, n.save(Ready{}))
			require.Equal(t, want, bytes.Contains(logged.Bytes(), []byte("slow write to the log")), "%v", took)
		})
	}
}
