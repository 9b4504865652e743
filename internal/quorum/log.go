package quorum

// entryLog holds the entries after the index base in memory.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())

	return t
}

// term returns the term of the entry i. It returns false if the log does not hold entry i.
func (l *entryLog) term(i uint64) (uint64, bool) {
	if i < l.base || i > l.last() {
		return 0, false
	}

	if i == l.base {
		return l.baseTerm, true
	}

	return l.entries[i-l.base-1].Term, true
}

// entriesFrom returns the entries from index on, up to the limits. It returns at least one
// entry if there is any.
func (l *entryLog) entriesFrom(index uint64, maxEntries, maxBytes int) []Entry {
	if index <= l.base || index > l.last() {
		return nil
	}

	rest := l.entries[index-l.base-1:]
	bytes := 0

	for n, e := range rest {
		bytes += len(e.Command)
		if n > 0 && (n >= maxEntries || bytes > maxBytes) {
			return rest[:n:n]
		}
	}

	return rest[:len(rest):len(rest)]
}

// truncate drops the entries from index on. Slices that entriesFrom returned stay valid.
func (l *entryLog) truncate(index uint64) {
	n := index - l.base - 1
	l.entries = l.entries[:n:n]
}

func (l *entryLog) add(es ...Entry) {
	l.entries = append(l.entries, es...)
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}

	t, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base = index
	l.baseTerm = t
}

// tailStart returns the lowest index for which the entries after it, up to last, hold at
// most maxBytes of commands.
func (l *entryLog) tailStart(last uint64, maxBytes int) uint64 {
	for i := last; i > l.base; i-- {
		if maxBytes -= len(l.entries[i-l.base-1].Command); maxBytes < 0 {
			return i
		}
	}

	return l.base
}

// reset drops all entries. The next entry has the index after the given one.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term}
}
