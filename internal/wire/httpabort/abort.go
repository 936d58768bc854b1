// Package httpabort ends responses to callers early, so that they don't look complete.
package httpabort

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext stores the connection of a server's requests in their context. It is meant for
// the field ConnContext of an http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Abort ends the handler of a request and closes its connection. A caller that doesn't know
// chunks takes the end of the connection for the end of the response, so its connection is
// reset instead. Abort never returns.
func Abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, ok := r.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error }); ok {
			// If this fails, the connection is broken already.
			_ = conn.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}
