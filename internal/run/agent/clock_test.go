package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	wire "bronzerill/internal/wire/control"
)

func TestLeaseLapsesWhileMachineIsSuspended(t *testing.T) {
	running, suspended := time.Hour, time.Duration(0)
	clock := newBootClock(time.Now(), func() time.Duration { return running + suspended })
	view := (&wire.View{}).WithReply(clock.now(), &wire.RenewReply{})
	running += wire.LeaseTerm / 2
	require.True(t, view.HasLease(clock.now()))
	suspended = wire.LeaseTerm
	require.False(t, view.HasLease(clock.now()))
}

func TestSystemClockAdvances(t *testing.T) {
	startedAt := time.Now()
	clock, err := systemClock(startedAt)
	require.NoError(t, err)
	first := clock.now()
	time.Sleep(5 * time.Millisecond)
	require.GreaterOrEqual(t, clock.now().Sub(first), 5*time.Millisecond)
	require.WithinDuration(t, time.Now(), clock.now(), time.Second)
}
