// Package jsonlist reads JSON documents with a list whose entries come from several writers. An
// entry that isn't valid JSON, or is nested too deeply for a decoder, doesn't affect the others.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Document is a document that was split into the entries of its list and the rest.
type Document struct {
	// Entries holds the entries of the list in order. Not all need be valid JSON.
	Entries []json.RawMessage
	// Rest is the document with an empty list.
	Rest json.RawMessage
	// Damaged is the number of places where an entry had no recognizable end. Reading went on
	// at the next valid one.
	Damaged int
	// OpenEnd is set if no valid entry follows the last damaged one. The document may then have been cut off
	// inside that entry: the brackets after the list may be its own.
	OpenEnd bool
}

// errNoList means that the document has no list in the field.
var errNoList = errors.New("list not found")

// Split splits a document, a JSON object with a list in one of its fields. Only the entries of the
// list may be invalid.
func Split(document []byte, field string) (Document, error) {
	begin, err := findList(document, field)
	if err != nil {
		return Document{}, errors.Wrapf(err, "field %q", field)
	}
	s := splitter{data: document, position: begin, budget: max(minRecoveryBytes, recoveryFactor*len(document))}
	if err := s.run(); err != nil {
		return Document{}, errors.Wrapf(err, "field %q", field)
	}
	rest := append(bytes.Clone(document[:begin]), document[s.position:]...)
	if !json.Valid(rest) {
		return Document{}, errors.Errorf("field %q: document has no valid end", field)
	}
	return Document{Entries: s.entries, Rest: rest, Damaged: s.damaged, OpenEnd: s.openEnd}, nil
}

// findList returns the position after the opening bracket of the list.
func findList(document []byte, field string) (int, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return 0, errors.Errorf("document is no JSON object (%v)", err)
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return 0, errors.Wrap(err, "read name of a field")
		}
		if name == field {
			token, err := decoder.Token()
			if err != nil || token != json.Delim('[') {
				return 0, errNoList
			}
			return int(decoder.InputOffset()), nil
		}
		var skipped json.RawMessage
		if err := decoder.Decode(&skipped); err != nil {
			return 0, errors.Wrapf(err, "read field %v", name)
		}
	}
	return 0, errNoList
}

// Limits of the work of looking for the next entry after damaged ones.
const (
	// minRecoveryBytes and recoveryFactor limit the bytes that are scanned, in total and as a
	// multiple of the size of the document.
	minRecoveryBytes = 1 << 20
	recoveryFactor   = 8
	// maxRecoveredBytes is the maximum size of that entry.
	maxRecoveredBytes = 64 << 10
)

// splitter reads the entries of a list.
type splitter struct {
	data []byte
	// position is where the next entry begins, and at last that of the closing bracket.
	position int
	entries  []json.RawMessage
	damaged  int
	openEnd  bool
	// budget is the number of bytes that may still be scanned to recover from damaged entries.
	budget int
}

var (
	errNoEnd      = errors.New("list has no end")
	errTooDamaged = errors.New("list has too many damaged entries")
)

func (s *splitter) run() error {
	s.position = s.skipSpace(s.position)
	if s.byteAt(s.position) == ']' {
		return nil
	}
	for {
		end, ok := s.entryEnd(s.position, len(s.data))
		if ok {
			s.entries = append(s.entries, bytes.TrimRight(s.data[s.position:end], space))
			s.position = s.skipSpace(end)
		} else if err := s.skipDamaged(end); err != nil {
			return err
		}
		if s.byteAt(s.position) == ']' {
			return nil
		}
		s.position = s.skipSpace(s.position + 1)
	}
}

// entryEnd returns the end of the entry at a position, which must be before limit. ok is false if no
// comma or closing bracket follows there.
func (s *splitter) entryEnd(position, limit int) (end int, ok bool) {
	end, ok = valueEnd(s.data[:limit], position)
	if !ok {
		return end, false
	}
	next := s.byteAt(s.skipSpace(end))
	return end, next == ',' || next == ']'
}

// skipDamaged moves the position from a damaged entry, which was scanned up to an end, to the comma
// before the next one that is valid JSON. Without one, it moves to the last closing bracket.
func (s *splitter) skipDamaged(scanned int) error {
	s.damaged++
	s.budget -= scanned - s.position
	for at := s.position; ; at++ {
		comma := bytes.IndexByte(s.data[at:], ',')
		if comma < 0 {
			break
		}
		at += comma
		begin := s.skipSpace(at + 1)
		if s.byteAt(begin) != '{' {
			continue
		}
		end, ok := s.entryEnd(begin, min(len(s.data), begin+maxRecoveredBytes))
		if s.budget -= end - begin; s.budget < 0 {
			return errTooDamaged
		}
		if ok && json.Valid(s.data[begin:end]) {
			s.position = at
			return nil
		}
	}
	last := bytes.LastIndexByte(s.data, ']')
	if last < s.position {
		return errNoEnd
	}
	s.position, s.openEnd = last, true
	return nil
}

// space holds the white space of JSON.
const space = " \t\r\n"

func (s *splitter) skipSpace(position int) int {
	for position < len(s.data) && strings.IndexByte(space, s.data[position]) >= 0 {
		position++
	}
	return position
}

// byteAt returns the byte at a position, or 0 after the end.
func (s *splitter) byteAt(position int) byte {
	if position >= len(s.data) {
		return 0
	}
	return s.data[position]
}

// valueEnd returns the end of the value that begins at a position, by its brackets and quotes
// only. ok is false if they don't match; end is where that shows.
func valueEnd(data []byte, position int) (end int, ok bool) {
	var open []byte
	for i := position; i < len(data); i++ {
		switch c := data[i]; c {
		case '"':
			if i = stringEnd(data, i); i >= len(data) {
				return len(data), false
			}
		case '{':
			open = append(open, '}')
		case '[':
			open = append(open, ']')
		case '}', ']':
			if len(open) == 0 {
				return i, c == ']' && i > position
			}
			if c != open[len(open)-1] {
				return i, false
			}
			open = open[:len(open)-1]
		case ',':
			if len(open) == 0 {
				return i, i > position
			}
			continue
		default:
			continue
		}
		if len(open) == 0 {
			return i + 1, true
		}
	}
	return len(data), false
}

// stringEnd returns the position of the closing quote of the string that begins at a position, or
// one after the end of the data.
func stringEnd(data []byte, position int) int {
	for i := position + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}
