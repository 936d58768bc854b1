package httpheader

import (
	"net/http"
	"slices"
	"strings"
)

// IsFramed reports whether a response states where its body ends: it has a length, chunks or
// no body. Any other body ends when the connection closes, and looks the same if it is cut
// off.
func IsFramed(r *http.Response) bool {
	return r.ContentLength >= 0 || r.Body == http.NoBody ||
		slices.ContainsFunc(r.TransferEncoding, func(coding string) bool { return strings.EqualFold(coding, "chunked") })
}
