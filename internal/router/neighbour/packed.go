package neighbour

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	"bronzerill/internal/router/declared"
)

// PackedState is a declared state with its document compressed. After a start of all
// routers each of them fetches the state from the few that have a disk, over links of
// 10 Mbit/s; documents shrink to about a tenth.
type PackedState struct {
	Revision, Number uint64
	// Packed is the compressed document.
	Packed []byte
	// Size is the document's size, in bytes.
	Size     int
	ZonesOut []string
}

// maxDocument bounds an unpacked document, in bytes.
const maxDocument = 64 << 20

// Packer packs states and keeps the last one, which many routers ask for.
type Packer struct {
	mu   sync.Mutex
	last PackedState
}

// Pack returns the state with its document compressed.
func (p *Packer) Pack(s declared.State) (PackedState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.Revision == s.Revision && s.Revision > 0 {
		return p.last, nil
	}
	packed := PackedState{Revision: s.Revision, Number: s.Number, Size: len(s.Source), ZonesOut: s.ZonesOut}
	if p.last.Number == s.Number && len(p.last.Packed) > 0 {
		packed.Packed = p.last.Packed
	} else {
		var buffer bytes.Buffer
		w, err := flate.NewWriter(&buffer, flate.BestSpeed)
		if err == nil {
			_, err = w.Write(s.Source)
		}
		if err == nil {
			err = w.Close()
		}
		if err != nil {
			return PackedState{}, errors.Wrap(err, "pack desired state")
		}
		packed.Packed = buffer.Bytes()
	}
	p.last = packed
	return packed, nil
}

// Unpack returns the state.
func (s PackedState) Unpack() (declared.State, error) {
	if s.Size < 0 || s.Size > maxDocument {
		return declared.State{}, errors.Errorf("a document of %d bytes", s.Size)
	}
	source := make([]byte, s.Size)
	r := flate.NewReader(bytes.NewReader(s.Packed))
	if _, err := io.ReadFull(r, source); err != nil {
		return declared.State{}, errors.Wrap(err, "unpack desired state")
	}
	return declared.State{Revision: s.Revision, Number: s.Number, Source: source, ZonesOut: s.ZonesOut}, nil
}
