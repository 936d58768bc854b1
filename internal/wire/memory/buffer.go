package memory

import (
	"io"

	"bronzerill"
)

// Capacities of a Buffer.
const (
	// firstBytes is the capacity of a buffer of which the final size isn't known.
	firstBytes = 1 << 10
	// keptBytes is the largest capacity that an empty buffer keeps.
	keptBytes = smallBytes
)

// Buffer holds a body, or a part of it, within a budget. It isn't safe for concurrent use.
type Buffer struct {
	share Share
	data  []byte
	// expected is the stated final size, 0 if it isn't known.
	expected int
}

// NewBuffer returns an empty buffer. The expected size may be wrong, and 0 if it isn't known.
func (b *Budget) NewBuffer(expected int64) Buffer {
	return Buffer{share: b.NewShare(), expected: int(max(0, min(expected, b.size)))}
}

// Bytes returns the content. It is valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Len returns the size of the content.
func (b *Buffer) Len() int { return len(b.data) }

// Append adds data. It returns false, and adds nothing, if the budget has no room for it.
func (b *Buffer) Append(data []byte) bool {
	if !b.grow(len(data)) {
		return false
	}
	b.data = append(b.data, data...)
	return true
}

// grow makes room for more bytes.
func (b *Buffer) grow(more int) bool {
	need := len(b.data) + more
	if need <= cap(b.data) {
		return true
	}
	capacity := max(need, firstBytes, 2*cap(b.data))
	if cap(b.data) >= smallBytes {
		capacity = max(need, cap(b.data)+cap(b.data)/4)
	}
	if need <= b.expected && (capacity > b.expected || b.expected <= smallBytes) {
		capacity = b.expected
	}
	if !b.share.Resize(int64(capacity)) {
		return false
	}
	b.data = append(make([]byte, 0, capacity), b.data...)
	return true
}

// Discard removes the first n bytes.
func (b *Buffer) Discard(n int) {
	b.data = append(b.data[:0], b.data[n:]...)
	if len(b.data) == 0 && cap(b.data) > keptBytes {
		b.Free()
	}
}

// Free removes the content and gives its memory back.
func (b *Buffer) Free() {
	b.data = nil
	b.share.Free()
}

// ReadAll appends all that a reader returns, up to a limit. The error is of kind overloaded if the budget has no
// room for it, and of kind body-too-large beyond the limit.
func (b *Buffer) ReadAll(r io.Reader, limit int) error {
	for {
		if len(b.data) > limit {
			return bronzerill.Errorf(bronzerill.KindBodyTooLarge, "over %d bytes", limit)
		}
		if !b.grow(1) {
			return bronzerill.Errorf(bronzerill.KindOverloaded, "no memory left after %d bytes", len(b.data))
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
