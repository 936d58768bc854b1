package replica

// entryLog is the part of the log after the last snapshot, held in memory.
type entryLog struct {
	// base and baseTerm are the index and term of the last entry that the
	// snapshot covers.
	base     uint64
	baseTerm uint64
	// entries are contiguous and start at base+1.
	entries []Entry
	// unsaved is the lowest index that the store doesn't hold yet, or 0.
	unsaved uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index. ok is false if the log doesn't
// hold the entry.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns a copy of at most limit entries, from index after+1 up to and
// including upTo.
func (l *entryLog) slice(after, upTo uint64, limit int) []Entry {
	if after < l.base || after >= upTo {
		return nil
	}
	upTo = min(upTo, l.last(), after+uint64(limit))
	if after >= upTo {
		return nil
	}
	return append([]Entry(nil), l.entries[after-l.base:upTo-l.base]...)
}

// sliceBytes returns a slice of at most limit entries and about maxBytes, but at least one entry if
// maxBytes is positive.
func (l *entryLog) sliceBytes(after, upTo uint64, limit, maxBytes int) []Entry {
	if maxBytes <= 0 {
		return nil
	}
	entries := l.slice(after, upTo, limit)
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size >= maxBytes {
			return entries[:i+1]
		}
	}
	return entries
}

// entryBytes returns the size of the data of entries.
func entryBytes(entries []Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
	}
	return size
}

// append adds entries and truncates a conflicting tail. It returns the index of
// the first entry that was new, or 0.
func (l *entryLog) append(entries []Entry) uint64 {
	for i, e := range entries {
		if e.Index <= l.base {
			continue
		}
		if term, ok := l.term(e.Index); ok && term == e.Term {
			continue
		}
		l.entries = append(l.entries[:e.Index-l.base-1:e.Index-l.base-1], entries[i:]...)
		if l.unsaved == 0 || e.Index < l.unsaved {
			l.unsaved = e.Index
		}
		return e.Index
	}
	return 0
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base = index
	l.baseTerm = term
}

// reset drops all entries when a snapshot is installed.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term}
}

// upToDate reports whether a candidate's log, which ends with the given index
// and term, is at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
