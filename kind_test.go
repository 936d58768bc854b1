package bronzerill

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
)

func TestEveryKindHasAResponse(t *testing.T) {
	seen := make(map[string]bool)
	for _, k := range Kinds() {
		a := k.Response()
		assert.NotEmpty(t, a.Name, "kind %d", k)
		assert.GreaterOrEqual(t, a.Status, 400, a.Name)
		assert.False(t, seen[a.Name], "%s stands twice", a.Name)
		seen[a.Name] = true
		found, ok := ParseKind(a.Name)
		assert.True(t, ok)
		assert.Equal(t, k, found)
		if a.Retry == RetryElsewhere {
			assert.Equal(t, RunNot, a.Run, "%s: only what didn't run may be tried elsewhere", a.Name)
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
