package bronzerill

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Kind is one entry of the closed list of error kinds.
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
	kindCount
)

// RunState states whether a failed request may have run on a backend server.
type RunState int

// The run states of a failed request.
const (
	// RunNot is proof that no byte of the request reached a backend server,
	// or that the ledger shows it never will.
	RunNot RunState = iota
	// RunUnknown means the request may have run.
	RunUnknown
	// RunDone means the request ran.
	RunDone
)

var runNames = [...]string{"not-run", "unknown", "ran"}

// String returns the name used in answers and logs.
func (r RunState) String() string { return runNames[r] }

// RetryAdvice is advice to the caller of a failed request.
type RetryAdvice int

// The retry advices.
const (
	// RetryNever means that the same request fails again.
	RetryNever RetryAdvice = iota
	// RetryElsewhere means that another server may take the request at once.
	RetryElsewhere
	// RetryLater means that the same request may succeed after a pause.
	RetryLater
	// RetrySameKey means that only a resend under the same key is safe.
	RetrySameKey
)

var retryNames = [...]string{"never", "elsewhere", "later", "same-key"}

// String returns the name used in answers and logs.
func (r RetryAdvice) String() string { return retryNames[r] }

// ErrorResponse is what a caller gets for an error kind.
type ErrorResponse struct {
	Name   string
	Status int
	Run    RunState
	Retry  RetryAdvice
}

var answers = [kindCount]ErrorResponse{
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
}

// String returns the kebab-case name of the kind.
func (k Kind) String() string { return k.Response().Name }

// Response returns the answer of the kind; a kind outside the list answers as
// internal.
func (k Kind) Response() ErrorResponse {
	if k < 0 || k >= kindCount {
		return answers[KindInternal]
	}
	return answers[k]
}

// Kinds returns the closed list in order, without KindNone.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount-1)
	for k := KindNone + 1; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// ParseKind returns the kind of that name.
func ParseKind(name string) (Kind, bool) {
	for k, a := range answers {
		if a.Name == name {
			return Kind(k), true
		}
	}
	return KindInternal, false
}

// Error is an error of the closed list.
type Error struct {
	Kind   Kind
	Detail string
}

// Error returns the kind's name and the detail.
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

// KindOf returns the kind of an error: KindNone for nil and KindInternal for
// an error outside the closed list.
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
