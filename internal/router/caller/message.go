// Package caller answers callers: it finds the route, the customer and a server
// for each request and brings back the server's whole answer.
package caller

import (
	"net/http"
	"time"

	"bronzerill"
	"bronzerill/internal/router/placing"
)

// PromptPart is one part of a prompt that servers may keep.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RequestInfo is what a caller says of its request, beside method, path and body.
type RequestInfo struct {
	// ID is unique to one attempt of a caller.
	ID  string
	Key string
	// Timeout is how long the caller waits, 0 when it doesn't say.
	Timeout time.Duration
	// Prompt lists the parts of the prompt in order; the last one belongs to
	// this request or its session alone.
	Prompt []PromptPart
	// ResumeAfter is the last event that the caller has of a broken stream.
	ResumeAfter string
}

// Affinity returns the hash of the deepest part that other requests may share,
// or 0.
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

// ForwardOptions is what the router tells a server beside the caller's own words.
type ForwardOptions struct {
	// Server is the ID of the only server that may run the request.
	Server string
	// Customer is the customer's name, empty on public routes.
	Customer string
	// Remaining is how much longer an answer is of use.
	Remaining time.Duration
	// Priority is 0 for the most urgent requests; HasPriority is false for
	// services that don't rank requests.
	Priority    int
	HasPriority bool
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
	// FetchFrom is the address of a server whose memory holds the prompt.
	FetchFrom string
}

// ResponseInfo is what a server says beside status and body.
type ResponseInfo struct {
	ID string
	// NotRun is the server's word that it hasn't run the request.
	NotRun bool
	// Misdirected means that another server has this address now.
	Misdirected bool
	// Load is the server's load, if it tells it.
	Load *placing.ReportedLoad
	// Closing is set when the server closes the connection.
	Closing bool
	// Signed is set when the answer carries the server's signature.
	Signed bool
}

// Dialect translates between this package's messages and the headers that
// callers and servers use.
type Dialect interface {
	// ParseRequest reads a caller's headers.
	ParseRequest(h http.Header) RequestInfo
	// ForwardHeader returns the headers for a server: the caller's own ones that go
	// through, and the orders.
	ForwardHeader(h http.Header, o ForwardOptions) http.Header
	// ParseResponse reads a server's headers.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the headers of a server's answer that go on to the caller.
	ResponseHeader(h http.Header) http.Header
	// WriteError writes the answer of an error kind.
	WriteError(w http.ResponseWriter, kind bronzerill.Kind, retryAfter time.Duration)
}
