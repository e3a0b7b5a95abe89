package raft

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// validate rejects messages that no correct node sends to this one. In a valid message
// terms and indexes can be added without overflow, entries are contiguous and can be
// decoded, and the snapshot is complete.
func (n *Node) validate(m *Message) error {
	switch {
	case m.Kind > MessageTimeoutNow:
		return errMessage(m, "unknown kind")
	case m.To != n.id:
		return errMessage(m, "addressed to another node")
	case m.From == None || m.From == n.id:
		return errMessage(m, "invalid sender")
	case m.Term == 0 || m.Term > maxPosition:
		return errMessage(m, "term out of range")
	case m.Index > maxPosition || m.Hint > maxPosition || m.Commit > maxPosition:
		return errMessage(m, "index out of range")
	}
	switch m.Kind {
	case MessageVote, MessagePreVote:
		if m.LogTerm >= m.Term {
			return errMessage(m, "last log term is not below the candidate's term")
		}
	case MessageAppend:
		if m.LogTerm > m.Term {
			return errMessage(m, "log term is above the leader's term")
		}
		if err := validateEntries(m.Entries, m.Index, m.LogTerm, m.Term); err != nil {
			return errMessage(m, err.Error())
		}
	case MessageSnapshot:
		if m.Snapshot == nil || !m.Snapshot.valid() || m.Snapshot.Term > m.Term {
			return errMessage(m, "snapshot is missing or invalid")
		}
	}
	return nil
}

// validateEntries checks that entries directly follow (index, term) and that their
// terms do not decrease or exceed lastTerm.
func validateEntries(entries []Entry, index, term, lastTerm uint64) error {
	for _, entry := range entries {
		index++
		switch {
		case entry.Index != index || entry.Index > maxPosition:
			return fmt.Errorf("entries are not contiguous at index %d", index)
		case entry.Term == 0 || entry.Term < term || entry.Term > lastTerm:
			return fmt.Errorf("entry %d has a term out of range", index)
		case entry.Kind > EntryMembership:
			return fmt.Errorf("entry %d has an unknown kind", index)
		}
		if entry.Kind == EntryMembership {
			if _, err := DecodeMembership(entry.Data); err != nil {
				return fmt.Errorf("entry %d: %w", index, err)
			}
		}
		term = entry.Term
	}
	return nil
}

// valid reports whether the snapshot can replace the log.
func (s Snapshot) valid() bool {
	bounded := s.Index > 0 && s.Index <= maxPosition && s.Term > 0 && s.Term <= maxPosition
	return bounded && s.Membership.valid()
}

func errMessage(m *Message, problem string) error {
	return structs.NewError(structs.ErrorInvalid,
		fmt.Sprintf("rejected raft message of kind %d from node %d: %s", m.Kind, m.From, problem),
		"Check that all members run the same version and that no two have the same ID.")
}
