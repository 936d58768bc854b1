package bronzerill

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
)

func TestEveryKindHasAResponse(t *testing.T) {
	seen := make(map[string]bool)
	for _, k := range Kinds() {
		response := k.Response()
		assert.NotEmpty(t, response.Name, "kind %d", k)
		assert.GreaterOrEqual(t, response.Status, 400, response.Name)
		assert.False(t, seen[response.Name], "%s is listed twice", response.Name)
		seen[response.Name] = true
		found, ok := ParseKind(response.Name)
		assert.True(t, ok)
		assert.Equal(t, k, found)
		if response.Retry == RetryElsewhere {
			assert.Equal(t, RunNot, response.Run, "%s: retry elsewhere is safe only if the request didn't run", response.Name)
		}
	}
}

func TestKindOf(t *testing.T) {
	assert.Equal(t, KindNone, KindOf(nil))
	assert.Equal(t, KindZoneOut, KindOf(errors.Wrap(Errorf(KindZoneOut, "gramado"), "admit")))
	assert.Equal(t, KindInternal, KindOf(errors.New("other")))
	assert.Equal(t, KindInternal.Response(), Kind(9999).Response())
	_, ok := ParseKind("no-such-kind")
	assert.False(t, ok)
}
