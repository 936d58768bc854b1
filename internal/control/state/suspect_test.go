package state

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzerill"
)

func (h *harness) crash(agent, id string, fingerprints ...string) {
	h.apply(Command{Crash: &Crash{Pool: "bronze-guides", Agent: agent, ID: id, Fingerprints: fingerprints}})
}

func (h *harness) trial(fingerprint, agent string) bronzerill.Kind {
	return h.apply(Command{Trial: &Trial{Fingerprint: fingerprint, Agent: agent}}).Kind
}

func (h *harness) state(fingerprint string) bronzerill.SuspectState {
	s, _ := h.m.Config().Suspect(fingerprint)
	return s.State
}

func TestCrashMakesSuspects(t *testing.T) {
	h := newHarness(t)
	h.crash("server-1", "1/a", "guilty", "innocent")
	h.crash("server-1", "1/a", "guilty", "innocent")
	assert.Equal(t, bronzerill.SuspectHeld, h.state("guilty"), "a duplicate report must count once")
	assert.Equal(t, bronzerill.SuspectHeld, h.state("innocent"))

	require.Equal(t, bronzerill.KindNone, h.trial("innocent", "server-2"))
	assert.Equal(t, bronzerill.KindSuspect, h.trial("guilty", "server-3"), "a pool must have one trial at a time")
	h.apply(Command{Verdict: &Verdict{Fingerprint: "innocent", Agent: "server-2", Cleared: true}})
	assert.Empty(t, h.state("innocent"))

	require.Equal(t, bronzerill.KindNone, h.trial("guilty", "server-3"))
	h.restart()
	h.crash("server-3", "1/b", "guilty", "bystander")
	assert.Equal(t, bronzerill.SuspectQuarantined, h.state("guilty"))
	assert.Empty(t, h.state("bystander"), "only the request on trial must be blamed")
	assert.Equal(t, bronzerill.KindQuarantined, h.trial("guilty", "server-4"))
}

// TestSecondCrashQuarantinesWithoutTrial covers a request that crashes two
// servers before it can be held as a suspect.
func TestSecondCrashQuarantinesWithoutTrial(t *testing.T) {
	h := newHarness(t)
	h.crash("server-1", "1/a", "guilty", "innocent")
	h.crash("server-2", "1/b", "guilty")
	assert.Equal(t, bronzerill.SuspectQuarantined, h.state("guilty"))
	assert.Equal(t, bronzerill.SuspectHeld, h.state("innocent"))
}

// TestTrialGrantIsIdempotent covers an agent that repeats its request after a
// lost reply. The trial is granted to it again, but to no other agent.
func TestTrialGrantIsIdempotent(t *testing.T) {
	h := newHarness(t)
	h.crash("server-1", "1/a", "guilty")
	require.Equal(t, bronzerill.KindNone, h.trial("guilty", "server-2"))
	assert.Equal(t, bronzerill.KindNone, h.trial("guilty", "server-2"))
	assert.Equal(t, bronzerill.KindSuspect, h.trial("guilty", "server-3"))
}

func TestTrialOnALostAgentCountsAsCrash(t *testing.T) {
	h := newHarness(t)
	h.crash("server-1", "1/a", "guilty")
	require.Equal(t, bronzerill.KindNone, h.trial("guilty", "server-2"))
	h.apply(Command{Abandon: &Abandon{Agent: "server-2"}})
	assert.Equal(t, bronzerill.SuspectQuarantined, h.state("guilty"))
}

func TestInconclusiveTrialIsHeldAgain(t *testing.T) {
	h := newHarness(t)
	h.crash("server-1", "1/a", "guilty")
	require.Equal(t, bronzerill.KindNone, h.trial("guilty", "server-2"))
	h.apply(Command{Verdict: &Verdict{Fingerprint: "guilty", Agent: "server-9", Cleared: true}})
	assert.Equal(t, bronzerill.SuspectTrial, h.state("guilty"), "a verdict of another agent must be ignored")
	h.apply(Command{Verdict: &Verdict{Fingerprint: "guilty", Agent: "server-2"}})
	assert.Equal(t, bronzerill.SuspectHeld, h.state("guilty"))
}

func TestSuspectsAreReleased(t *testing.T) {
	h := newHarness(t)
	h.crash("server-1", "1/a", "first", "second")
	h.apply(Command{ClearSuspect: &ClearSuspect{Fingerprint: "first"}})
	assert.Empty(t, h.state("first"))
	h.now = h.now.Add(HoldTime + time.Second)
	h.apply(Command{Expire: &Expire{}})
	assert.Empty(t, h.state("second"))
}

func TestSuspectTableIsBounded(t *testing.T) {
	h := newHarness(t)
	for crash := range 2 * maxSuspects / maxCrashFingerprints {
		var fingerprints []string
		for n := range maxCrashFingerprints {
			fingerprints = append(fingerprints, fmt.Sprintf("%d-%d", crash, n))
		}
		h.crash("server-1", fmt.Sprint(crash), fingerprints...)
	}
	assert.LessOrEqual(t, h.m.Config().SuspectCount(), maxSuspects)
}

// TestAtMostTwoServersLost sends a crashing request to random agents many times,
// among harmless requests, with random restarts of the machine. Each agent checks
// the configuration before it runs a request, as package admission does.
func TestAtMostTwoServersLost(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t)
		lost := 0
		for attempt := range 200 {
			agent := fmt.Sprintf("server-%d", random.IntN(20))
			s, suspected := h.m.Config().Suspect("guilty")
			if suspected && (s.State != bronzerill.SuspectHeld || h.trial("guilty", agent) != bronzerill.KindNone) {
				continue
			}
			switch random.IntN(4) {
			case 0:
				h.apply(Command{Verdict: &Verdict{Fingerprint: "guilty", Agent: agent}})
			case 1:
				lost++
				h.apply(Command{Abandon: &Abandon{Agent: agent}})
				if !suspected {
					h.crash(agent, fmt.Sprint(attempt, "/gone"), "guilty")
				}
			default:
				lost++
				h.crash(agent, fmt.Sprint(attempt), "guilty", fmt.Sprint("innocent-", attempt))
			}
			if random.IntN(5) == 0 {
				h.restart()
			}
		}
		assert.LessOrEqual(t, lost, crashesToQuarantine, "seed %d", seed)
	}
}
