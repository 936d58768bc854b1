package service

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/memory"
)

// slowBackend is a service that takes a while and ends a call that is canceled.
type slowBackend struct {
	*process
	duration time.Duration
}

// Do runs the call at once and replies after the duration.
func (b *slowBackend) Do(ctx context.Context, o exchange.Open, _ *memory.Buffer) (state.Reply, error) {
	reply := b.execute(o)
	select {
	case <-time.After(b.duration):
		return reply, nil
	case <-ctx.Done():
		return state.Reply{}, bronzerill.Errorf(bronzerill.KindOutcomeUnknown, "service: %v", ctx.Err())
	}
}

func TestCallUnderAKeyIsNotCutOffWhenItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 0)
		p := w.startProcess("server-0")
		r := p.runner()
		r.cfg.Client = &slowBackend{p, 2 * time.Second}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		time.AfterFunc(time.Second, cancel)
		_ = r.Run(ctx, open("k", "r1", "1"), &sink{}) // nobody reads the result
		s := &sink{}
		require.NoError(t, r.Run(t.Context(), open("k", "r2", "1"), s))
		require.Equal(t, w.replies["k"], s.text())
		require.Equal(t, 1, w.executions["k"])
	})
}

func TestCallUnderAKeyEndsWithItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 0)
		p := w.startProcess("server-0")
		r := p.runner()
		r.cfg.Client = &slowBackend{p, time.Hour}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		begin := time.Now()
		err := r.Run(ctx, open("k", "r1", "1"), &sink{})
		require.Equal(t, bronzerill.KindOutcomeUnknown, bronzerill.KindOf(err), "%v", err)
		require.Less(t, time.Since(begin), time.Minute+time.Second)
	})
}
