package raft

import "sort"

// memoryLog holds the entries after the last snapshot.
type memoryLog struct {
	// base and baseTerm are the index and term of the last snapshot.
	base     uint64
	baseTerm uint64
	entries  []Entry
	// stable is the last index known to be durable.
	stable  uint64
	commit  uint64
	applied uint64
}

func (l *memoryLog) first() uint64 { return l.base + 1 }

func (l *memoryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index; false when the log does not have it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index < l.base || index > l.last() {
		return 0, false
	}
	if index == l.base {
		return l.baseTerm, true
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *memoryLog) matches(index, term uint64) bool {
	own, known := l.term(index)
	return known && own == term
}

// slice returns the entries from low to high, both included, without a copy. It
// is empty when the log does not have them all.
func (l *memoryLog) slice(low, high uint64) []Entry {
	if low <= l.base || high > l.last() || low > high {
		return nil
	}
	from, to := low-l.base-1, high-l.base
	return l.entries[from:to:to]
}

// upToDate reports whether a log that ends with (index, term) is at least as
// complete as this one.
func (l *memoryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// lastAtOrBelowTerm returns the highest index up to bound whose term is not above
// term, and the term there. It never goes below base.
func (l *memoryLog) lastAtOrBelowTerm(bound, term uint64) (index, found uint64) {
	bound = max(min(bound, l.last()), l.base)
	count := sort.Search(int(bound-l.base), func(i int) bool { return l.entries[i].Term > term })
	index = l.base + uint64(count)
	found, _ = l.term(index)
	return index, found
}

func (l *memoryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom drops the entries at and after index, which is above commit. The
// capacity is cut too, because slices of the dropped entries may still be in use.
func (l *memoryLog) truncateFrom(index uint64) {
	kept := index - l.base - 1
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, index-1)
}

func (l *memoryLog) commitTo(index uint64) bool {
	index = min(index, l.last())
	if index <= l.commit {
		return false
	}
	l.commit = index
	return true
}

// compactTo drops the entries up to index, which is applied.
func (l *memoryLog) compactTo(index, term uint64) {
	rest := l.entries[index-l.base:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.base = index
	l.baseTerm = term
}

// restore replaces the whole log by a snapshot.
func (l *memoryLog) restore(index, term uint64) {
	l.base = index
	l.baseTerm = term
	l.entries = nil
	l.stable = index
	l.commit = index
}
