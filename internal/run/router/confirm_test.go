package router

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/control/state"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
	"bronzerill/platform"
)

func TestConfirmation(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := start.Add
	read := confirmation{}.withBeat(start).withRead(at(100*time.Millisecond), at(50*time.Millisecond), true)
	require.False(t, confirmation{}.holds(start), "nothing was read")
	require.True(t, read.holds(at(50*time.Millisecond+confirmedFor-1)))
	require.False(t, read.holds(at(50*time.Millisecond+confirmedFor)), "counts from the start of the read")

	failed := read.withRead(at(time.Second), at(900*time.Millisecond), false)
	require.False(t, failed.mayRead(at(time.Second)))
	require.True(t, failed.mayRead(at(time.Second+confirmBackoff)))

	require.False(t, read.withBeat(at(pauseThreshold)).isDoubtful(at(pauseThreshold)))
	wokeAt := pauseThreshold + time.Second
	woken := read.withBeat(at(wokeAt))
	require.True(t, woken.isDoubtful(at(wokeAt)))
	require.True(t, woken.withRead(at(wokeAt+1), at(time.Second), true).isDoubtful(at(wokeAt+1)), "the read began before the pause")
	require.False(t, woken.withRead(at(wokeAt+2), at(wokeAt+1), true).isDoubtful(at(wokeAt+2)))
	require.False(t, woken.isDoubtful(at(wokeAt+pauseThreshold)), "callers don't wait for long")
}

// fakeGroup is a control group whose newest state is set by tests.
type fakeGroup struct {
	newest    atomic.Pointer[declared.State]
	reads     atomic.Int32
	recovered atomic.Bool
}

func (g *fakeGroup) hasLeader(time.Time) bool { return g.newest.Load() != nil }

func (g *fakeGroup) NewestVersions(context.Context) ([]state.NotedVersion, error) {
	return []state.NotedVersion{{ServiceVersion: state.ServiceVersion{Service: "chat", Version: "v1"}}}, nil
}

func (g *fakeGroup) recoverState(context.Context, time.Time) bool { return g.recovered.Load() }

// Newest waits for a leader, as the group does.
func (g *fakeGroup) Newest(ctx context.Context) (declared.State, error) {
	g.reads.Add(1)
	for g.newest.Load() == nil {
		select {
		case <-ctx.Done():
			return declared.State{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return *g.newest.Load(), nil
}

func (g *fakeGroup) set(s declared.State) { g.newest.Store(&s) }

// confirmedHolder is a holder with a control group and a clock that tests advance.
type confirmedHolder struct {
	*stateHolder
	group   fakeGroup
	elapsed atomic.Int64
	// versions are the noted versions that were read.
	versions atomic.Pointer[[]state.ServiceVersion]
}

func newConfirmedHolder(t *testing.T) *confirmedHolder {
	c := &confirmedHolder{}
	start := time.Unix(1_000_000, 0)
	clock := func() time.Time { return start.Add(time.Duration(c.elapsed.Load())) }
	servers := placement.NewTable(placement.Config{Name: "a", Zone: "zone-a", Seed: 1})
	c.stateHolder = newHolder(platform.Adapter{}, servers, clock, hclog.NewNullLogger())
	c.newest = &c.group
	c.onFetched = func(versions []state.ServiceVersion) { c.versions.Store(&versions) }
	ctx, stop := context.WithCancel(context.Background())
	var tasks errgroup.Group
	tasks.Go(func() error { return c.runConfirm(ctx) })
	t.Cleanup(func() {
		stop()
		require.NoError(t, tasks.Wait())
	})
	return c
}

func (c *confirmedHolder) advance(d time.Duration) { c.elapsed.Add(int64(d)) }

// Guards against an older state in force after a restart (issue 55).
func TestStateFromTheLogWaitsForOneThatIsInForce(t *testing.T) {
	h := newConfirmedHolder(t)
	h.updateFromLog(newState(4, 8, "/a/"), "log")
	require.Zero(t, h.Revision(), "others may have a newer one in force")
	h.compile(time.Now())
	require.Nil(t, h.Table())

	h.update(newState(3, 7, "/c/"), "peer")
	require.EqualValues(t, 4, h.Revision(), "the log has a newer one than the peer")
	h.updateFromLog(newState(5, 9, "/b/"), "log")
	require.EqualValues(t, 5, h.Revision())
}

// Guards against routers that serve nobody until a leader is elected, although the disks of a quorum show that the log
// has all that was acknowledged.
func TestFirstStateIsThatOfARecoveredLog(t *testing.T) {
	h := newConfirmedHolder(t)
	h.updateFromLog(newState(4, 8, "/a/"), "log")
	h.group.recovered.Store(true)
	require.Eventually(t, func() bool { return h.Revision() == 4 }, 5*time.Second, time.Millisecond)
}

func TestFirstStateIsReadFromTheGroup(t *testing.T) {
	h := newConfirmedHolder(t)
	h.updateFromLog(newState(4, 8, "/a/"), "log")
	h.group.set(newState(5, 9, "/b/"))
	require.Eventually(t, func() bool { return h.Table() != nil }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 9, h.Table().Number)
	require.Eventually(t, func() bool { return h.versions.Load() != nil }, 5*time.Second, time.Millisecond)
	require.Equal(t, []state.ServiceVersion{{Service: "chat", Version: "v1"}}, *h.versions.Load(), "resumable streams need them")
}

// Guards against refusals by a state of which nobody knows whether it is the newest (issue 55).
func TestRefusalsRestOnAConfirmedState(t *testing.T) {
	h := newConfirmedHolder(t)
	h.update(newState(1, 5, "/a/"), "peer")
	h.compile(time.Now())
	ctx := context.Background()
	_, confirmed := h.Newest(ctx)
	require.False(t, confirmed, "no leader")

	h.group.set(newState(2, 6, "/b/"))
	h.advance(confirmBackoff)
	table, confirmed := h.Newest(ctx)
	require.True(t, confirmed)
	require.EqualValues(t, 6, table.Number)
	for range 10 {
		_, confirmed = h.Newest(ctx)
		require.True(t, confirmed)
	}
	require.EqualValues(t, 1, h.group.reads.Load(), "a confirmation serves many requests")
	h.advance(confirmedFor)
	_, confirmed = h.Newest(ctx)
	require.True(t, confirmed)
	require.EqualValues(t, 2, h.group.reads.Load())
}

// Guards against a router that goes on after a pause by what it knew before (issue 55).
func TestPausedRouterAsksForANewerStateFirst(t *testing.T) {
	h := newConfirmedHolder(t)
	h.group.set(newState(1, 5, "/a/"))
	ctx := context.Background()
	require.Eventually(t, func() bool { return h.Table() != nil }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 5, h.Current(ctx).Number)
	h.group.set(newState(2, 6, "/b/"))
	require.EqualValues(t, 5, h.Current(ctx).Number, "gossip brings it")
	h.advance(2 * pauseThreshold)
	require.EqualValues(t, 6, h.Current(ctx).Number)
}

// Guards against a router that goes on by what it knew before a pause, since it hasn't yet heard again who leads (issue 55).
func TestPausedRouterWaitsForALeader(t *testing.T) {
	h := newConfirmedHolder(t)
	h.update(newState(1, 5, "/a/"), "peer")
	h.compile(time.Now())
	ctx := context.Background()
	require.EqualValues(t, 5, h.Current(ctx).Number)
	h.advance(2 * pauseThreshold)
	var later errgroup.Group
	later.Go(func() error {
		time.Sleep(confirmTimeout / 4)
		h.group.set(newState(2, 6, "/b/"))
		return nil
	})
	require.EqualValues(t, 6, h.Current(ctx).Number)
	require.NoError(t, later.Wait())
}
