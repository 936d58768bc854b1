package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestMassLossDetection checks that the loss of a rack is distinguished from a
// request that crashes servers.
func TestMassLossDetection(t *testing.T) {
	now := time.Now()
	l := newLosses()
	l.add(now, "bronze-guides", "server-1")
	l.add(now, "bronze-guides", "server-1")
	l.add(now, "bronze-guides", "server-2")
	l.add(now, "stable-talk", "server-9")
	assert.False(t, l.isMassLoss(now, "bronze-guides"), "one request may have crashed two servers")
	l.add(now, "bronze-guides", "server-3")
	assert.True(t, l.isMassLoss(now, "bronze-guides"))
	assert.False(t, l.isMassLoss(now, "stable-talk"))
	assert.False(t, l.isMassLoss(now.Add(lossWindow+time.Second), "bronze-guides"))
}

func TestLossesAreBounded(t *testing.T) {
	now := time.Now()
	l := newLosses()
	for n := range 3 * maxLosses {
		l.add(now, "bronze-guides", fmt.Sprint(n))
	}
	assert.LessOrEqual(t, len(l.reportedAt), maxLosses)
}
