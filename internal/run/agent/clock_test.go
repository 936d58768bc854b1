package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/run/boot"
	wire "bronzerill/internal/wire/control"
)

func TestLeaseLapsesWhileMachineIsSuspended(t *testing.T) {
	running, suspended := time.Hour, time.Duration(0)
	clock := boot.NewClock(time.Now(), func() time.Duration { return running + suspended })
	view := (&wire.View{}).WithReply(clock.Now(), &wire.RenewReply{})
	running += wire.LeaseTerm / 2
	require.True(t, view.HasLease(clock.Now()))
	suspended = wire.LeaseTerm
	require.False(t, view.HasLease(clock.Now()))
}

func TestSystemClockAdvances(t *testing.T) {
	startedAt := time.Now()
	clock, err := boot.SystemClock(startedAt)
	require.NoError(t, err)
	first := clock.Now()
	time.Sleep(5 * time.Millisecond)
	require.GreaterOrEqual(t, clock.Now().Sub(first), 5*time.Millisecond)
	require.WithinDuration(t, time.Now(), clock.Now(), time.Second)
}
