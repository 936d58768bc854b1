package httpport

import (
	"io"
	"net/http"

	"bronzerill"
	"bronzerill/internal/wire/memory"
)

// CountBodies returns a handler that counts the bodies of its requests in a budget, each a number of times. Reading
// a body fails with an error of kind table-full if the budget has no room for it.
func CountBodies(budget *memory.Budget, factor int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &countedBody{ReadCloser: r.Body, share: budget.NewShare(Transfer(r)), factor: factor}
		defer body.share.Free()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// countedBody counts what is read of a body.
type countedBody struct {
	io.ReadCloser
	share  memory.Share
	factor int64
	read   int64
}

// Read reads a part of the body.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if !b.share.Grow(b.read * b.factor) {
		return 0, bronzerill.Errorf(bronzerill.KindTableFull, "no memory left after %d bytes", b.read)
	}
	return n, err
}
