package raft

import (
	"fmt"
	"maps"
	"slices"
)

// The names of the checks.
const (
	electionSafety      = "election safety"
	oneVote             = "one vote a term"
	logMatching         = "log matching"
	stateMachineSafety  = "state machine safety"
	leaderCompleteness  = "leader completeness"
	leaseExclusive      = "lease exclusive"
	readLinearizable    = "read linearizable"
	snapshotFaithful    = "snapshot faithful"
	commitWithinLog     = "commit within log"
	committedNeverLost  = "committed never lost"
	progressAfterHealed = "progress after healing"
)

type position struct{ index, term uint64 }

type recordedEntry struct {
	previousTerm uint64
	kind         EntryKind
	data         string
}

type ballot struct {
	voter NodeID
	term  uint64
}

// electedLeader is one term's leader.
type electedLeader struct {
	id NodeID
	// elected is its log when it became the leader.
	elected memoryLog
}

// commitment is an entry that a leader committed.
type commitment struct {
	entry position
	// term is the lowest term of a member that knew it as committed, and so that of
	// the leader that committed it. Leaders of later terms must have the entry; one of
	// an earlier term, elected late, may lack it.
	term uint64
}

// history records what all members of a cluster did and names the first check broken.
type history struct {
	leaders map[uint64]*electedLeader
	// commits is by term the highest commit index seen.
	commits map[uint64]uint64
	ballots map[ballot]NodeID
	entries map[position]recordedEntry
	// commitments, committed and digests hold, at index i, the entry i+1 as a leader
	// committed it, as members applied it, and the state after it.
	commitments []commitment
	committed   []Entry
	digests     []uint64
	reads       int
	broken      string
	detail      string
}

func newHistory() *history {
	return &history{
		leaders: map[uint64]*electedLeader{},
		commits: map[uint64]uint64{},
		ballots: map[ballot]NodeID{},
		entries: map[position]recordedEntry{},
	}
}

func (h *history) check(holds bool, name, format string, values ...any) {
	if !holds && h.broken == "" {
		h.broken = name
		h.detail = fmt.Sprintf(format, values...)
	}
}

// lead records the leader of a term, with its log as it is now, when it is new.
func (h *history) lead(id NodeID, term uint64, log *memoryLog) {
	if earlier, known := h.leaders[term]; known {
		h.check(earlier.id == id, electionSafety, "term %d has leaders %d and %d", term, earlier.id, id)
		return
	}
	// The log never overwrites entries in place, so that this copy stays as it is.
	h.leaders[term] = &electedLeader{id: id, elected: *log}
	for _, committed := range h.commitments {
		h.complete(term, committed)
	}
}

// commit records what a member in a term knows as committed. It sees each member
// after each step, so that a leader comes before those that it tells, also one whose
// own removal ends its leadership in that step.
func (h *history) commit(term uint64, log *memoryLog) {
	for index := max(h.commits[term], log.base) + 1; index <= log.commit; index++ {
		entryTerm, _ := log.term(index)
		h.commitEntry(term, position{index, entryTerm})
	}
	h.commits[term] = max(h.commits[term], log.commit)
}

func (h *history) commitEntry(term uint64, entry position) {
	known := uint64(len(h.commitments))
	if entry.index > known {
		h.check(entry.index == known+1, stateMachineSafety, "a member in term %d skipped to %d", term, entry.index)
		h.commitments = append(h.commitments, commitment{entry, term})
		h.completeSince(term, h.commitments[known])
		return
	}
	earlier := &h.commitments[entry.index-1]
	h.check(earlier.entry == entry, stateMachineSafety, "a member in term %d has another entry committed at %d", term, entry.index)
	if term < earlier.term {
		// Acknowledgements that arrived late: the entry was committed before the
		// leaders of the terms in between were elected.
		earlier.term = term
		h.completeSince(term, *earlier)
	}
}

// completeSince checks the leaders after a term for an entry committed in it.
func (h *history) completeSince(term uint64, committed commitment) {
	for _, later := range slices.Sorted(maps.Keys(h.leaders)) {
		if later > term {
			h.complete(later, committed)
		}
	}
}

// complete checks that the leader of a term was elected with an entry committed in
// an earlier term. What its snapshot holds is checked by restore.
func (h *history) complete(term uint64, committed commitment) {
	leader := h.leaders[term]
	if committed.term >= term || committed.entry.index <= leader.elected.base {
		return
	}
	h.check(leader.elected.matches(committed.entry.index, committed.entry.term), leaderCompleteness,
		"leader %d of term %d misses entry %d, committed in term %d", leader.id, term, committed.entry.index, committed.term)
}

func (h *history) grant(voter, candidate NodeID, term uint64) {
	key := ballot{voter, term}
	if earlier, known := h.ballots[key]; known {
		h.check(earlier == candidate, oneVote, "node %d voted twice in term %d", voter, term)
	}
	h.ballots[key] = candidate
}

func (h *history) store(previousTerm uint64, entry Entry) {
	key := position{entry.Index, entry.Term}
	record := recordedEntry{previousTerm, entry.Kind, string(entry.Data)}
	if earlier, known := h.entries[key]; known {
		h.check(earlier == record, logMatching, "two entries at %+v", key)
	}
	h.entries[key] = record
}

func (h *history) apply(id NodeID, entry Entry, digest uint64) {
	h.check(entry.Index <= uint64(len(h.commitments)), stateMachineSafety, "node %d applied %d, which was not committed", id, entry.Index)
	if entry.Index > uint64(len(h.committed)) {
		h.check(entry.Index == uint64(len(h.committed))+1, stateMachineSafety, "node %d skipped to %d", id, entry.Index)
		h.committed = append(h.committed, entry)
		h.digests = append(h.digests, digest)
		return
	}
	earlier := h.committed[entry.Index-1]
	same := earlier.Term == entry.Term && string(earlier.Data) == string(entry.Data)
	h.check(same && h.digests[entry.Index-1] == digest, stateMachineSafety,
		"node %d applied another entry at %d", id, entry.Index)
}

func (h *history) restore(id NodeID, index, digest uint64) {
	h.check(index <= uint64(len(h.digests)) && h.digests[index-1] == digest, snapshotFaithful,
		"node %d restored another state at %d", id, index)
}

func (h *history) read(asked int, answer uint64) {
	h.reads++
	h.check(answer >= uint64(asked), readLinearizable, "read at %d answered %d", asked, answer)
}

func (h *history) leases(holders int) {
	h.check(holders <= 1, leaseExclusive, "%d nodes hold a lease", holders)
}

func (h *history) status(status Status) {
	ordered := status.Applied <= status.Commit && status.Commit <= status.LastIndex
	h.check(ordered, commitWithinLog, "%+v", status)
}

// converged checks a healed cluster: every member in the leader's membership has
// applied everything that anyone ever applied.
func (h *history) converged(id NodeID, applied uint64) {
	h.check(applied >= uint64(len(h.committed)), committedNeverLost,
		"node %d has applied %d of %d", id, applied, len(h.committed))
}
