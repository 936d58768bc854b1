package holder

import (
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/wire/control"
)

// register calls the RPC of a process, as it arrives at the leader.
func register(t *testing.T, s *Service, process string) (generation uint64, kind bronzerill.Kind) {
	var reply control.RegisterReply
	require.NoError(t, NewRPC(s).Register(&control.RegisterRequest{Agent: "server-1", Process: process}, &reply))
	return reply.Generation, reply.Kind
}

// Guards against a registration that arrives once more after its sender gave up, and fences the
// process that runs (issue 34, as review/1).
func TestLateRegistrationDoesNotFenceTheRunningProcess(t *testing.T) {
	s, group := newTicketService()
	first, kind := register(t, s, "first")
	require.Equal(t, bronzerill.KindNone, kind)
	again, kind := register(t, s, "first")
	require.Equal(t, bronzerill.KindNone, kind)
	require.Equal(t, first, again, "the same process")

	second, kind := register(t, s, "second")
	require.Equal(t, bronzerill.KindNone, kind)
	require.Greater(t, second, first)
	_, kind = register(t, s, "first")
	require.Equal(t, bronzerill.KindAborted, kind, "a process that was replaced")
	require.Equal(t, second, group.machine.Generation("server-1"))

	// Agents of earlier builds don't identify their process.
	third, kind := register(t, s, "")
	require.Equal(t, bronzerill.KindNone, kind)
	require.Greater(t, third, second)
	fourth, kind := register(t, s, "")
	require.Equal(t, bronzerill.KindNone, kind)
	require.Greater(t, fourth, third)
}

func TestRegistrationsOfManyProcessesAreBounded(t *testing.T) {
	var r registrations
	for generation := range uint64(2 * maxReplacedProcesses) {
		r.record(1, "server-1", uuid.NewString(), generation)
	}
	require.Len(t, r.agents["server-1"].replaced, maxReplacedProcesses)
}

// Two processes register at the same time, and the answers come in the other order.
func TestNewestRegistrationIsRemembered(t *testing.T) {
	var r registrations
	r.record(1, "server-1", "second", 5)
	r.record(1, "server-1", "first", 4)
	generation, kind, ok := r.find(1, "server-1", "second")
	require.True(t, ok)
	require.Equal(t, bronzerill.KindNone, kind)
	require.EqualValues(t, 5, generation)
	_, kind, ok = r.find(1, "server-1", "first")
	require.True(t, ok)
	require.Equal(t, bronzerill.KindAborted, kind)
	_, _, ok = r.find(2, "server-1", "second")
	require.False(t, ok, "another term")
}
