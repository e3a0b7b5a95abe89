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
	heartbeatTermStored = "heartbeat term stored"
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

// electedLeader is the leader of a term.
type electedLeader struct {
	id NodeID
	// elected is the leader's log at its election.
	elected memoryLog
}

// commitment is an entry that a leader committed.
type commitment struct {
	entry position
	// term is the lowest term of a member that knew the entry as committed, which is
	// the term of the leader that committed it. Leaders of later terms must have the
	// entry; a leader of an earlier term that is elected late may lack it.
	term uint64
}

// history records the actions of all members of a cluster and the first violated check.
type history struct {
	leaders map[uint64]*electedLeader
	// commits is the highest observed commit index by term.
	commits map[uint64]uint64
	ballots map[ballot]NodeID
	entries map[position]recordedEntry
	// commitments, committed and digests hold, at position i, entry i+1 as a leader
	// committed it, as members applied it, and the digest of the state after it.
	commitments []commitment
	committed   []Entry
	digests     []uint64
	reads       int
	violated    string
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
	if !holds && h.violated == "" {
		h.violated = name
		h.detail = fmt.Sprintf(format, values...)
	}
}

// checkHeartbeat checks a heartbeat, or a reply to one, that is sent while a Ready is written.
func (h *history) checkHeartbeat(message Message, stored uint64) {
	isHeartbeat := message.Kind == MessageHeartbeat || message.Kind == MessageHeartbeatReply
	h.check(isHeartbeat && message.Term == stored, heartbeatTermStored, "%v of term %d, stored is %d", message.Kind, message.Term, stored)
}

// recordLeader records the leader of a term with its current log, unless it is known.
func (h *history) recordLeader(id NodeID, term uint64, log *memoryLog) {
	if earlier, known := h.leaders[term]; known {
		h.check(earlier.id == id, electionSafety, "term %d has leaders %d and %d", term, earlier.id, id)
		return
	}
	// The log never overwrites entries in place, so this shallow copy does not change.
	h.leaders[term] = &electedLeader{id: id, elected: *log}
	for _, committed := range h.commitments {
		h.checkCompleteness(term, committed)
	}
}

// recordCommits records the entries that a member in a term knows as committed. It is
// called for each member after each step, so that a leader precedes the members it
// informs, even if its own removal ends its leadership in that step.
func (h *history) recordCommits(term uint64, log *memoryLog) {
	for index := max(h.commits[term], log.base) + 1; index <= log.commit; index++ {
		entryTerm, _ := log.term(index)
		h.recordCommit(term, position{index, entryTerm})
	}
	h.commits[term] = max(h.commits[term], log.commit)
}

func (h *history) recordCommit(term uint64, entry position) {
	known := uint64(len(h.commitments))
	if entry.index > known {
		h.check(entry.index == known+1, stateMachineSafety, "a member in term %d skipped to %d", term, entry.index)
		h.commitments = append(h.commitments, commitment{entry, term})
		h.checkCompletenessSince(term, h.commitments[known])
		return
	}
	earlier := &h.commitments[entry.index-1]
	h.check(earlier.entry == entry, stateMachineSafety, "a member in term %d has another entry committed at %d", term, entry.index)
	if term < earlier.term {
		// Acknowledgements arrived late: the entry was committed before the leaders of
		// the terms in between were elected.
		earlier.term = term
		h.checkCompletenessSince(term, *earlier)
	}
}

// checkCompletenessSince checks the leaders after a term for an entry committed in it.
func (h *history) checkCompletenessSince(term uint64, committed commitment) {
	for _, later := range slices.Sorted(maps.Keys(h.leaders)) {
		if later > term {
			h.checkCompleteness(later, committed)
		}
	}
}

// checkCompleteness checks that the leader of a term had, at its election, an entry that
// was committed in an earlier term. Entries in its snapshot are checked by
// recordRestore.
func (h *history) checkCompleteness(term uint64, committed commitment) {
	leader := h.leaders[term]
	if committed.term >= term || committed.entry.index <= leader.elected.base {
		return
	}
	h.check(leader.elected.matches(committed.entry.index, committed.entry.term), leaderCompleteness,
		"leader %d of term %d lacks entry %d, committed in term %d", leader.id, term, committed.entry.index, committed.term)
}

func (h *history) recordVote(voter, candidate NodeID, term uint64) {
	key := ballot{voter, term}
	if earlier, known := h.ballots[key]; known {
		h.check(earlier == candidate, oneVote, "node %d voted twice in term %d", voter, term)
	}
	h.ballots[key] = candidate
}

func (h *history) recordEntry(previousTerm uint64, entry Entry) {
	key := position{entry.Index, entry.Term}
	record := recordedEntry{previousTerm, entry.Kind, string(entry.Data)}
	if earlier, known := h.entries[key]; known {
		h.check(earlier == record, logMatching, "two entries at %+v", key)
	}
	h.entries[key] = record
}

func (h *history) recordApply(id NodeID, entry Entry, digest uint64) {
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

func (h *history) recordRestore(id NodeID, index, digest uint64) {
	h.check(index <= uint64(len(h.digests)) && h.digests[index-1] == digest, snapshotFaithful,
		"node %d restored another state at %d", id, index)
}

func (h *history) checkRead(asked int, answer uint64) {
	h.reads++
	h.check(answer >= uint64(asked), readLinearizable, "read requested at commit index %d returned index %d", asked, answer)
}

func (h *history) checkLeases(holders int) {
	h.check(holders <= 1, leaseExclusive, "%d nodes hold a lease", holders)
}

func (h *history) checkStatus(status Status) {
	ordered := status.Applied <= status.Commit && status.Commit <= status.LastIndex
	h.check(ordered, commitWithinLog, "%+v", status)
}

// checkConverged checks that a member of a healed cluster has applied every entry that
// any member ever applied.
func (h *history) checkConverged(id NodeID, applied uint64) {
	h.check(applied >= uint64(len(h.committed)), committedNeverLost,
		"node %d has applied %d of %d", id, applied, len(h.committed))
}
