package caller

import (
	"net/http"

	"bronzerill"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/httpport"
	"bronzerill/internal/wire/memory"
)

// defaultMemory is what the bodies of requests may take in bytes unless the configuration says otherwise.
const defaultMemory = 256 << 20

// requestBody is the body of a request, and the memory of the message to an agent that holds it once more.
type requestBody struct {
	memory.Buffer
	message memory.Share
	budget  *memory.Budget
}

// newRequestBody returns an empty body. It must be freed.
func (s *Server) newRequestBody(r *http.Request) *requestBody {
	transfer := httpport.Transfer(r)
	return &requestBody{
		Buffer: s.cfg.Memory.NewBuffer(transfer, min(r.ContentLength, exchange.MaxBodyBytes)), message: s.cfg.Memory.NewShare(transfer), budget: s.cfg.Memory,
	}
}

// read reads the body of a request. It refuses one that is too large, or for which there is no memory, as soon as
// that is known.
func (b *requestBody) read(r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > exchange.MaxBodyBytes {
		return bronzerill.Errorf(bronzerill.KindBodyTooLarge, "body is larger than %d bytes", exchange.MaxBodyBytes)
	}
	if !b.budget.Fits(2 * r.ContentLength) {
		return bronzerill.Errorf(bronzerill.KindOverloaded, "no memory left for the body")
	}
	err := b.ReadAll(r.Body, exchange.MaxBodyBytes)
	switch {
	case bronzerill.KindOf(err) == bronzerill.KindInternal:
		return bronzerill.Errorf(bronzerill.KindBadRequest, "read body: %v", err)
	case err != nil:
		return err
	case !b.message.Grow(int64(b.Len())):
		return bronzerill.Errorf(bronzerill.KindOverloaded, "no memory left for the message to an agent")
	}
	return nil
}

// free gives the memory back.
func (b *requestBody) free() {
	b.Free()
	b.message.Free()
}
