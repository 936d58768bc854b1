// Package caller answers callers: it finds the route, the customer and a server
// for each request and brings back the server's whole answer.
package caller

import (
	"net/http"
	"time"

	"bronzerill"
	"bronzerill/internal/router/placing"
)

// Part is one part of a prompt that servers may keep.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what a caller says of its request, beside method, path and body.
type Request struct {
	// ID is unique to one attempt of a caller.
	ID  string
	Key string
	// Patience is how long the caller waits, 0 when it doesn't say.
	Patience time.Duration
	// Prompt lists the parts of the prompt in order; the last one belongs to
	// this request or its session alone.
	Prompt []Part
	// ResumeAfter is the last event that the caller has of a broken stream.
	ResumeAfter string
}

// Affinity returns the hash of the deepest part that other requests may share,
// or 0.
func (r Request) Affinity() uint64 {
	switch n := len(r.Prompt); n {
	case 0:
		return 0
	case 1:
		return r.Prompt[0].ID
	default:
		return r.Prompt[n-2].ID
	}
}

// Orders is what the router tells a server beside the caller's own words.
type Orders struct {
	// Server is the ID of the only server that may run the request.
	Server string
	// Customer is the customer's name, empty on public routes.
	Customer string
	// Patience is how much longer an answer is of use.
	Patience time.Duration
	// Priority is 0 for the most urgent requests; HasPriority is false for
	// services that don't rank requests.
	Priority    int
	HasPriority bool
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
	// FetchFrom is the address of a server whose memory holds the prompt.
	FetchFrom string
}

// Reply is what a server says beside status and body.
type Reply struct {
	ID string
	// NotRun is the server's word that it hasn't run the request.
	NotRun bool
	// Misdirected means that another server has this address now.
	Misdirected bool
	// Load is the server's load, if it tells it.
	Load *placing.Load
	// Closing is set when the server closes the connection.
	Closing bool
	// Signed is set when the answer carries the server's signature.
	Signed bool
}

// Dialect translates between this package's messages and the headers that
// callers and servers use.
type Dialect interface {
	// Request reads a caller's headers.
	Request(h http.Header) Request
	// Orders returns the headers for a server: the caller's own ones that go
	// through, and the orders.
	Orders(h http.Header, o Orders) http.Header
	// Reply reads a server's headers.
	Reply(status int, h http.Header) Reply
	// Answer returns the headers of a server's answer that go on to the caller.
	Answer(h http.Header) http.Header
	// Refusal writes the answer of an error kind.
	Refusal(w http.ResponseWriter, kind bronzerill.Kind, retryAfter time.Duration)
}
