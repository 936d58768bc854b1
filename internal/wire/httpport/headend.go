package httpport

import "bytes"

// headEnd finds the end of the head of a request, the first empty line, in the parts in which it arrives.
type headEnd struct {
	// last are the last bytes before the next part.
	last  [2]byte
	found bool
}

// find reports whether the head ends in the next part or ended before it.
func (e *headEnd) find(part []byte) bool {
	if e.found {
		return true
	}
	border := append(e.last[:], part[:min(len(part), len(e.last))]...)
	e.found = hasEmptyLine(border) || hasEmptyLine(part)
	recent := part
	if len(part) < len(e.last) {
		recent = border
	}
	copy(e.last[:], recent[len(recent)-len(e.last):])
	return e.found
}

func hasEmptyLine(part []byte) bool {
	return bytes.Contains(part, []byte("\n\r\n")) || bytes.Contains(part, []byte("\n\n"))
}
