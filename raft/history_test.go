package raft

import "fmt"

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

// history records what all members of a cluster did and names the first check broken.
type history struct {
	leaders map[uint64]NodeID
	ballots map[ballot]NodeID
	entries map[position]recordedEntry
	// committed and digests hold, at index i, the entry i+1 and the state after it.
	committed []Entry
	digests   []uint64
	reads     int
	broken    string
	detail    string
}

func newHistory() *history {
	return &history{
		leaders: map[uint64]NodeID{},
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

func (h *history) lead(id NodeID, term uint64, log *memoryLog) {
	if earlier, known := h.leaders[term]; known {
		h.check(earlier == id, electionSafety, "term %d has leaders %d and %d", term, earlier, id)
		return
	}
	h.leaders[term] = id
	for _, entry := range h.committed[min(log.base, uint64(len(h.committed))):] {
		h.check(log.matches(entry.Index, entry.Term), leaderCompleteness,
			"leader %d of term %d misses committed entry %d", id, term, entry.Index)
	}
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
