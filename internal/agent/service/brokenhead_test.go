package service

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill"
	"bronzerill/internal/standin/raw"
	"bronzerill/internal/wire/exchange"
)

// requireUnknownOutcomes requires that a call is of unknown outcome if its reply begins with any of the heads.
func requireUnknownOutcomes(t *testing.T, heads []string) {
	var current atomic.Pointer[cutReply]
	client := NewClient(ClientConfig{Base: "http://" + startCutService(t, &current), Clock: time.Now})
	for _, head := range heads {
		current.Store(&cutReply{sent: head + "Content-Length: 2\r\n\r\n{}"})
		reply, err := client.Do(t.Context(), exchange.Open{Method: "POST", Path: "/bookings", Key: "k"}, newBuffer())
		require.Equal(t, bronzerill.KindOutcomeUnknown, bronzerill.KindOf(err), "%q is a reply: %+v", head, reply)
	}
	current.Store(&cutReply{sent: "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}"})
	reply, err := client.Do(t.Context(), exchange.Open{Method: "POST", Path: "/bookings", Key: "k"}, newBuffer())
	require.NoError(t, err)
	require.Equal(t, 201, reply.Status)
}

// Guards against bytes that are no status, and that net/http reads as a number (issue 49).
func TestReplyWithInvalidStatusIsOfUnknownOutcome(t *testing.T) {
	var heads []string
	for _, status := range raw.InvalidStatuses() {
		heads = append(heads, "HTTP/1.1 "+status+" X\r\n")
	}
	requireUnknownOutcomes(t, heads)
}

// Guards against names of fields that net/http lets pass although they hold a byte that isn't allowed there
// (issue 49).
func TestReplyWithUnreadableFieldIsOfUnknownOutcome(t *testing.T) {
	var heads []string
	for _, field := range []string{"Transfer-Encoding: chunked", "X-Id: 1"} {
		for _, line := range raw.UnreadableFields(field) {
			heads = append(heads, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+line+"\r\n")
		}
	}
	requireUnknownOutcomes(t, heads)
}
