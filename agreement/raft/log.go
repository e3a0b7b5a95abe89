package raft

import "sort"

// memoryLog is the in-memory part of the log: the entries after the last snapshot.
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

// term returns the term of the entry at index, and whether the log has it.
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

// slice returns the entries from low to high, inclusive, without copying. It returns
// nil if the log lacks one of them.
func (l *memoryLog) slice(low, high uint64) []Entry {
	if low <= l.base || high > l.last() || low > high {
		return nil
	}
	from, to := low-l.base-1, high-l.base
	return l.entries[from:to:to]
}

// upToDate reports whether a log whose last entry is (index, term) is at least as
// up-to-date as this one.
func (l *memoryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// lastAtOrBelowTerm returns the highest index in [base, bound] whose term is at most
// term, and the term of that entry; it returns base if there is none.
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

// truncateFrom removes the entries at and after index, which must be above commit. It
// limits the capacity too, because slices of the removed entries may be in use.
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

// compactTo removes the entries up to index, which must be applied.
func (l *memoryLog) compactTo(index, term uint64) {
	rest := l.entries[index-l.base:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.base = index
	l.baseTerm = term
}

// restore replaces the whole log with a snapshot.
func (l *memoryLog) restore(index, term uint64) {
	l.base = index
	l.baseTerm = term
	l.entries = nil
	l.stable = index
	l.commit = index
}
