package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestMassLossDetection tells a rack's loss from a request that crashes a
// server.
func TestMassLossDetection(t *testing.T) {
	now := time.Now()
	l := newLosses()
	l.add(now, "bronze-guides", "server-1")
	l.add(now, "bronze-guides", "server-1")
	l.add(now, "bronze-guides", "server-2")
	l.add(now, "stable-talk", "server-9")
	assert.False(t, l.isMassLoss(now, "bronze-guides"), "two servers may be one request's doing")
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
	assert.LessOrEqual(t, len(l.seen), maxLosses)
}
