// Package caller handles callers' requests: it finds the route, the customer and a
// server for each request, and forwards the server's response.
package caller

import (
	"net/http"
	"time"

	"bronzerill"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/router/server"
)

// PromptPart is one part of a prompt that servers may cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	// ID is unique for each attempt of a caller.
	ID  string
	Key string
	// Timeout is how long the caller waits, or 0 if the headers don't state it.
	Timeout time.Duration
	// Prompt lists the parts of the prompt in order. The last part belongs only to
	// this request or its session.
	Prompt []PromptPart
	// ResumeAfter is the ID of the last event that the caller received of a broken
	// stream.
	ResumeAfter string
	// Resumes is the ID of the caller's attempt that received the first event of the
	// stream to be resumed, empty for new requests.
	Resumes string
}

// Affinity returns the ID of the last part that other requests may share. If the
// prompt has one part, it returns the ID of that part; without a prompt, 0.
func (r RequestInfo) Affinity() uint64 {
	switch n := len(r.Prompt); n {
	case 0:
		return 0
	case 1:
		return r.Prompt[0].ID
	default:
		return r.Prompt[n-2].ID
	}
}

// SharedParts returns the IDs of the parts that other requests may share. The last part
// belongs only to this request.
func (r RequestInfo) SharedParts() []uint64 {
	if len(r.Prompt) == 0 {
		return nil
	}
	ids := make([]uint64, 0, len(r.Prompt)-1)
	for _, part := range r.Prompt[:len(r.Prompt)-1] {
		ids = append(ids, part.ID)
	}
	return ids
}

// ForwardOptions is what the router adds to a request that it forwards to a server.
type ForwardOptions struct {
	// Server is the ID of the only server that may run the request.
	Server string
	// Customer is the name of the customer, empty on public routes.
	Customer string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Priority is 0 for the most urgent requests. HasPriority is false for
	// services that don't support priorities.
	Priority    int
	HasPriority bool
	// ResumeAfter is the ID of the last event that the caller received.
	ResumeAfter string
	// FetchFrom is the address of a server from which the prompt can be fetched,
	// because it is cached there.
	FetchFrom string
}

// ResponseInfo is the information in the status and headers of a server's response.
type ResponseInfo struct {
	ID string
	// NotRun is set if the server reports that it hasn't run the request.
	NotRun bool
	// Misdirected is set if the address belongs to another server now.
	Misdirected bool
	// Load is the server's load, nil if it isn't reported.
	Load *placement.ReportedLoad
	// Limit is the server's limit on its requests. If LimitInvalid is set, the response
	// states a limit that can't be parsed.
	Limit        placement.RateLimit
	LimitInvalid bool
	// Backoff is how long the server wants no requests from this router, 0 if it doesn't
	// say. If BackoffInvalid is set, the response states a pause that can't be parsed.
	Backoff        time.Duration
	BackoffInvalid bool
	// Leaving is set if the server states that it is about to stop.
	Leaving bool
	// Signed is set if the response has the server's signature.
	Signed bool
}

// ServerStatus is what a server states about itself, apart from requests.
type ServerStatus struct {
	// Misdirected is set if the address belongs to another server.
	Misdirected bool
	// ID is empty, and Born 0, if the server doesn't state them. Born is the start time of its
	// process in Unix milliseconds.
	ID   string
	Born int64
}

// Dialect translates between the types of this package and the headers that callers
// and servers use.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// ForwardHeader returns the headers of the request to a server: the caller's
	// headers that may be forwarded, and the options.
	ForwardHeader(h http.Header, o ForwardOptions) http.Header
	// ParseResponse parses the status and headers of a server's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// StatusCall returns the call, without an address, that asks a server of a service for its
	// status.
	StatusCall(service declared.Service, serverID string) server.Call
	// ParseStatus parses the response to that call.
	ParseStatus(status int, h http.Header, body []byte) ServerStatus
	// ResponseHeader returns the headers of a server's response that are forwarded to
	// the caller.
	ResponseHeader(h http.Header) http.Header
	// WriteError writes the error response for a kind.
	WriteError(w http.ResponseWriter, kind bronzerill.Kind, retryAfter time.Duration)
}
