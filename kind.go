package bronzerill

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Kind is an error kind. The list of kinds is closed.
type Kind int

// The closed list of error kinds.
const (
	KindNone Kind = iota
	KindBadRequest
	KindUnauthorized
	KindUnknownPool
	KindKeyRequired
	KindBodyTooLarge
	KindKeyConflict
	KindKeyExpired
	KindInProgress
	KindOutcomeUnknown
	KindAnswerNotKept
	KindLeaseLapsed
	KindZoneOut
	KindLeaving
	KindOverloaded
	KindCold
	KindCustomerShare
	KindPriority
	KindSuspect
	KindQuarantined
	KindDeadline
	KindNoServer
	KindUnreachable
	KindRetryBudget
	KindAborted
	KindServerFailed
	KindAgentGone
	KindTruncated
	KindCrossed
	KindTicketConflict
	KindTicketInvalid
	KindNotLeader
	KindNoQuorum
	KindStaleOrder
	KindTableFull
	KindCanceled
	KindInternal
	KindNoState
	KindUnknownRoute
	KindTimeout
	KindExpired
	KindRateLimited
	KindVersionGone
	KindUnknownStream
	KindServerBackoff
	KindStopped
	// KindUnconfirmed means that a router can't tell whether a newer declared state allows the request.
	KindUnconfirmed
	kindCount
)

// RunState states whether a failed request may have run on a backend server.
type RunState int

// The run states of a failed request.
const (
	// RunNot means that the request provably didn't run: no byte reached a
	// backend server, or the ledger shows that none ever will.
	RunNot RunState = iota
	// RunUnknown means that the request may have run.
	RunUnknown
	// RunDone means that the request ran.
	RunDone
)

var runNames = [...]string{"not-run", "unknown", "ran"}

// String returns the name of the run state in responses and logs.
func (r RunState) String() string { return runNames[r] }

// RetryAdvice states whether and how the caller of a failed request may retry.
type RetryAdvice int

// The values of RetryAdvice.
const (
	// RetryNever means that the same request fails again.
	RetryNever RetryAdvice = iota
	// RetryElsewhere means that another server may accept the request
	// immediately.
	RetryElsewhere
	// RetryLater means that the same request may succeed after a pause.
	RetryLater
	// RetrySameKey means that only a retry with the same idempotency key is
	// safe.
	RetrySameKey
)

var retryNames = [...]string{"never", "elsewhere", "later", "same-key"}

// String returns the name of the advice in responses and logs.
func (r RetryAdvice) String() string { return retryNames[r] }

// ErrorResponse describes what a caller receives for an error kind.
type ErrorResponse struct {
	Name   string
	Status int
	Run    RunState
	Retry  RetryAdvice
}

var responses = [kindCount]ErrorResponse{
	KindNone:           {"none", http.StatusOK, RunDone, RetryNever},
	KindBadRequest:     {"bad-request", http.StatusBadRequest, RunNot, RetryNever},
	KindUnauthorized:   {"unauthorized", http.StatusUnauthorized, RunNot, RetryNever},
	KindUnknownPool:    {"unknown-pool", http.StatusNotFound, RunNot, RetryNever},
	KindKeyRequired:    {"key-required", http.StatusBadRequest, RunNot, RetryNever},
	KindBodyTooLarge:   {"body-too-large", http.StatusRequestEntityTooLarge, RunNot, RetryNever},
	KindKeyConflict:    {"key-conflict", http.StatusConflict, RunNot, RetryNever},
	KindKeyExpired:     {"key-expired", http.StatusGone, RunUnknown, RetryNever},
	KindInProgress:     {"in-progress", http.StatusConflict, RunUnknown, RetrySameKey},
	KindOutcomeUnknown: {"outcome-unknown", http.StatusBadGateway, RunUnknown, RetrySameKey},
	KindAnswerNotKept:  {"answer-not-kept", http.StatusGone, RunDone, RetryNever},
	KindLeaseLapsed:    {"lease-lapsed", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindZoneOut:        {"zone-out", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindLeaving:        {"leaving", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindOverloaded:     {"overloaded", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindCold:           {"cold", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindCustomerShare:  {"customer-share", http.StatusTooManyRequests, RunNot, RetryElsewhere},
	KindPriority:       {"priority", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindSuspect:        {"suspect", http.StatusServiceUnavailable, RunNot, RetryLater},
	KindQuarantined:    {"quarantined", http.StatusUnprocessableEntity, RunNot, RetryNever},
	KindDeadline:       {"deadline", http.StatusGatewayTimeout, RunNot, RetryLater},
	KindNoServer:       {"no-server", http.StatusServiceUnavailable, RunNot, RetryLater},
	KindUnreachable:    {"unreachable", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindRetryBudget:    {"retry-budget", http.StatusServiceUnavailable, RunNot, RetryLater},
	KindAborted:        {"aborted", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindServerFailed:   {"server-failed", http.StatusBadGateway, RunUnknown, RetryLater},
	KindAgentGone:      {"agent-gone", http.StatusBadGateway, RunUnknown, RetryLater},
	KindTruncated:      {"truncated", http.StatusBadGateway, RunUnknown, RetryLater},
	KindCrossed:        {"crossed", http.StatusBadGateway, RunUnknown, RetryLater},
	KindTicketConflict: {"ticket-conflict", http.StatusConflict, RunNot, RetryNever},
	KindTicketInvalid:  {"ticket-invalid", http.StatusUnprocessableEntity, RunNot, RetryNever},
	KindNotLeader:      {"not-leader", http.StatusMisdirectedRequest, RunNot, RetryElsewhere},
	KindNoQuorum:       {"no-quorum", http.StatusServiceUnavailable, RunUnknown, RetrySameKey},
	KindStaleOrder:     {"stale-order", http.StatusConflict, RunNot, RetryNever},
	KindTableFull:      {"table-full", http.StatusServiceUnavailable, RunNot, RetryLater},
	KindCanceled:       {"canceled", 499, RunUnknown, RetryLater},
	KindInternal:       {"internal", http.StatusInternalServerError, RunUnknown, RetryNever},
	KindNoState:        {"no-state", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindUnknownRoute:   {"unknown-route", http.StatusNotFound, RunNot, RetryNever},
	KindTimeout:        {"timeout", http.StatusGatewayTimeout, RunUnknown, RetryLater},
	KindExpired:        {"expired", http.StatusServiceUnavailable, RunNot, RetryLater},
	KindRateLimited:    {"rate-limited", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindVersionGone:    {"version-gone", http.StatusServiceUnavailable, RunNot, RetryNever},
	KindUnknownStream:  {"unknown-stream", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindServerBackoff:  {"server-backoff", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
	KindStopped:        {"stopped", http.StatusBadGateway, RunUnknown, RetryLater},
	KindUnconfirmed:    {"unconfirmed", http.StatusServiceUnavailable, RunNot, RetryElsewhere},
}

// String returns the kebab-case name of the kind.
func (k Kind) String() string { return k.Response().Name }

// Response returns the response for the kind. A kind outside the list gets the
// response for KindInternal.
func (k Kind) Response() ErrorResponse {
	if k < 0 || k >= kindCount {
		return responses[KindInternal]
	}
	return responses[k]
}

// Kinds returns all kinds in order, except KindNone.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount-1)
	for k := KindNone + 1; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// ParseKind returns the kind of that name. It returns KindInternal and false for
// an unknown name.
func ParseKind(name string) (Kind, bool) {
	for k, response := range responses {
		if response.Name == name {
			return Kind(k), true
		}
	}
	return KindInternal, false
}

// Error is an error with a kind.
type Error struct {
	Kind   Kind
	Detail string
}

// Error returns the name of the kind and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.String()
	}
	return e.Kind.String() + ": " + e.Detail
}

// Errorf returns an error of the kind with a formatted detail.
func Errorf(kind Kind, format string, args ...any) error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// KindOf returns the kind of an error: KindNone for nil, and KindInternal for an
// error without a kind.
func KindOf(err error) Kind {
	if err == nil {
		return KindNone
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}
