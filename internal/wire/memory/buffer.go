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
	// limit is the largest size that is useful, 0 for any.
	limit int
	// expected is the stated final size, 0 if it isn't known.
	expected int
}

// NewBuffer returns an empty buffer. The expected size may be wrong, and 0 if it isn't known. The transfer is that of
// the connection to which the body belongs, nil if it belongs to none.
func (b *Budget) NewBuffer(t *Transfer, expected int64) Buffer {
	buffer := Buffer{share: b.NewShare(t)}
	buffer.Expect(expected)
	return buffer
}

// Expect sets the expected final size of an empty buffer. It may be wrong, and 0 or less if it isn't known.
func (b *Buffer) Expect(size int64) { b.expected = int(max(0, min(size, b.share.budget.size))) }

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
		capacity = max(need, cap(b.data)+cap(b.data)/2)
	}
	// A client that states a large size has to send some of it first. From then on, its body is never copied.
	if need <= b.expected && (cap(b.data) >= smallBytes || capacity > b.expected || b.expected <= smallBytes) {
		capacity = b.expected
	}
	if b.limit > 0 {
		capacity = max(need, min(capacity, b.limit))
	}
	if !b.share.Grow(int64(capacity)) {
		// The stated size may be wrong.
		capacity = max(need, cap(b.data)+cap(b.data)/4)
		if !b.share.Grow(int64(capacity)) {
			return false
		}
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
	// The last byte shows that the body is too large.
	b.limit = limit + 1
	// A body of the expected size ends here, so that the buffer needn't grow for it.
	var probe [1]byte
	for {
		if len(b.data) > limit {
			return bronzerill.Errorf(bronzerill.KindBodyTooLarge, "over %d bytes", limit)
		}
		atEnd := len(b.data) > 0 && len(b.data) == b.expected && len(b.data) == cap(b.data)
		if !atEnd && !b.grow(1) {
			return errNoMemory(len(b.data))
		}
		free := b.data[len(b.data):cap(b.data)]
		if atEnd {
			free = probe[:]
		}
		n, err := r.Read(free)
		if !atEnd {
			b.data = b.data[:len(b.data)+n]
		} else if n > 0 && !b.Append(probe[:n]) {
			return errNoMemory(len(b.data))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func errNoMemory(read int) error {
	return bronzerill.Errorf(bronzerill.KindOverloaded, "no memory left after %d bytes", read)
}
