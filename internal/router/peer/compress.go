package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	"bronzerill/internal/router/declared"
)

// PackedState is a declared state with its document compressed. When all routers start
// at once, each of them fetches the state from the few that have a disk, over links of
// 10 Mbit/s. Compression shrinks a document to about a tenth.
type PackedState struct {
	Revision, Number uint64
	// Packed is the compressed document.
	Packed []byte
	// Size is the uncompressed size of the document, in bytes.
	Size     int
	ZonesOut []string
}

// maxDocument is the maximum uncompressed size of a document, in bytes.
const maxDocument = 64 << 20

// Packer compresses states. It caches the last one, since many routers request it. It
// is safe for concurrent use.
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
			return PackedState{}, errors.Wrap(err, "compress declared state")
		}
		packed.Packed = buffer.Bytes()
	}
	p.last = packed
	return packed, nil
}

// Unpack returns the state with its document decompressed.
func (s PackedState) Unpack() (declared.State, error) {
	if s.Size < 0 || s.Size > maxDocument {
		return declared.State{}, errors.Errorf("invalid document size: %d bytes", s.Size)
	}
	source := make([]byte, s.Size)
	r := flate.NewReader(bytes.NewReader(s.Packed))
	if _, err := io.ReadFull(r, source); err != nil {
		return declared.State{}, errors.Wrap(err, "decompress declared state")
	}
	return declared.State{Revision: s.Revision, Number: s.Number, Source: source, ZonesOut: s.ZonesOut}, nil
}
