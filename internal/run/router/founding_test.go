package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/control/replica"
	"bronzerill/internal/router/peer"
)

func candidate(addr string) peer.BootstrapRequest {
	return peer.BootstrapRequest{Name: "router-" + addr, Addr: addr, Folder: "folder-" + addr}
}

func founderAddrs(m replica.Members) []string {
	var addrs []string
	for _, founder := range m.List {
		addrs = append(addrs, founder.Addr)
	}
	return addrs
}

func TestChooseFounders(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	seeds := []string{"a", "b", "c"}
	none := []string{}
	tests := []struct {
		name      string
		after     time.Duration
		own       string
		asked     []string
		required  []string
		want      []string
		isWaiting bool
	}{
		{"all seeds have asked", 0, "a", []string{"b", "c"}, nil, []string{"a", "b", "c"}, false},
		{"others have asked too", 0, "a", []string{"d", "b", "c"}, nil, []string{"a", "b", "c"}, false},
		{"a seed is missing", 900 * time.Millisecond, "a", []string{"b", "d"}, nil, nil, true},
		{"a seed is missing for long", foundingWait, "a", []string{"c"}, nil, []string{"a", "c"}, false},
		{"alone", foundingWait, "a", nil, nil, []string{"a"}, false},
		{"after the lowest seed, a candidate is missing", time.Hour, "b", nil, []string{"c"}, nil, true},
		{"after the lowest seed, with a candidate", 0, "b", []string{"c"}, []string{"c"}, []string{"b", "c"}, false},
		{"after the lowest seed, without others", 0, "b", nil, none, []string{"b"}, false},
		{"without a disk", foundingWait, "", []string{"c"}, nil, []string{"c"}, false},
		{"without a disk, no candidates", time.Hour, "", nil, nil, nil, true},
		{"without a disk, no seed is a candidate", foundingWait, "", []string{"d"}, nil, []string{"d"}, false},
	}
	for _, test := range tests {
		f := newFounding(start, test.own != "", true)
		for _, addr := range test.asked {
			f.candidates[addr] = candidate(addr)
		}
		var own *peer.BootstrapRequest
		if test.own != "" {
			r := candidate(test.own)
			own = &r
		}
		founders, chosen := f.choose(start.Add(test.after), own, seeds, test.required)
		require.Equal(t, !test.isWaiting, chosen, test.name)
		require.Equal(t, test.want, founderAddrs(founders), test.name)
		require.True(t, founders.FoldersKnown(), test.name)
	}
}

func TestAnswerOfASeed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	seeds := []string{"a", "b", "c"}
	state := func(f founding, self string, now time.Time) peer.BootstrapState {
		return f.answer(now, self, seeds, candidate("b")).State
	}
	f := newFounding(now, true, true)
	require.Equal(t, peer.BootstrapUnknown, state(f, "a", now), "its folder isn't open yet")
	f.setEmpty(true)
	require.Equal(t, peer.BootstrapCandidate, state(f, "a", now))
	f.setEmpty(false)
	require.Equal(t, peer.BootstrapBlank, state(f, "a", now), "it has lost its disk")
	f.setOpened(replica.Members{})
	require.Equal(t, peer.BootstrapBlank, state(f, "a", now))
	f.setOpened(replica.Members{}.With(replica.Member{Name: "router-b"}))
	require.Equal(t, peer.BootstrapFounded, state(f, "a", now))
	require.Equal(t, peer.BootstrapBlank, state(newFounding(now, false, false), "a", now), "it has no disk, and has lost its memory")
	require.Equal(t, peer.BootstrapBlank, state(newFounding(now, false, true), "b", now), "it has no disk and isn't the lowest seed")
	require.Equal(t, peer.BootstrapUnknown, state(newFounding(now, false, true), "a", now))
	require.Equal(t, peer.BootstrapFounded, state(newFounding(now, false, true), "a", now.Add(foundingWait)))
}

func TestFounderWithAnotherFolderJoins(t *testing.T) {
	founders := replica.Members{}.With(replica.Member{Name: "router-a", Addr: "a", Folder: "folder-a"})
	require.Equal(t, founders, foundersFor(candidate("a"), founders))
	other := candidate("a")
	other.Folder = "lost"
	require.Empty(t, foundersFor(other, founders).List)
	require.Empty(t, foundersFor(candidate("b"), founders).List)
}

// Guards against a group that nobody may found, since the only founder lost its disk at the first start (review/9).
func TestSeedLosesItsDiskAtTheFirstStart(t *testing.T) {
	for _, loser := range []int{0, 1, 2} {
		for _, delay := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("router %d after %v", loser, delay), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 3, 3)
				time.Sleep(delay)
				c.stop[loser]()
				time.Sleep(time.Second)
				c.start(loser, t.TempDir(), false)
				c.awaitOperatorCall((loser+1)%3, "PUT", "/v1/config", document(5, "/a/"), 200)
				c.awaitVoters(loser, 3)
				for i := range 3 {
					c.awaitStatus(i, "/a/x", 200)
				}
			})
		}
	}
}

// Guards against two groups (review/9): a seed that is restarted with its disk finds the founders it was one of.
func TestSeedIsRestartedAtTheFirstStart(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 3)
			time.Sleep(delay)
			folder := c.routers[0].settings.Router.DataFolder
			c.stop[0]()
			c.start(0, folder, false)
			c.awaitOperatorCall(1, "PUT", "/v1/config", document(5, "/a/"), 200)
			c.awaitVoters(0, 3)
		})
	}
}
