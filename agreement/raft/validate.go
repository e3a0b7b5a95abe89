package raft

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// validate refuses a message that no correct node sends to this one. The rest of
// the package relies on it: terms and indexes of a valid message can be added
// without overflow, its entries are contiguous and decodable, its snapshot is whole.
func (n *Node) validate(m *Message) error {
	switch {
	case m.Kind > MessageTimeoutNow:
		return errMessage(m, "unknown kind")
	case m.To != n.id:
		return errMessage(m, "addressed to another node")
	case m.From == None || m.From == n.id:
		return errMessage(m, "impossible sender")
	case m.Term == 0 || m.Term > maxPosition:
		return errMessage(m, "impossible term")
	case m.Index > maxPosition || m.Hint > maxPosition || m.Commit > maxPosition:
		return errMessage(m, "impossible index")
	}
	switch m.Kind {
	case MessageVote, MessagePreVote:
		if m.LogTerm >= m.Term {
			return errMessage(m, "log of a term that the candidate has not reached")
		}
	case MessageAppend:
		if m.LogTerm > m.Term {
			return errMessage(m, "log of a term that the leader has not reached")
		}
		if err := validateEntries(m.Entries, m.Index, m.LogTerm, m.Term); err != nil {
			return errMessage(m, err.Error())
		}
	case MessageSnapshot:
		if m.Snapshot == nil || !m.Snapshot.valid() || m.Snapshot.Term > m.Term {
			return errMessage(m, "snapshot is missing or not whole")
		}
	}
	return nil
}

// validateEntries checks that entries follow (index, term) and end by lastTerm.
func validateEntries(entries []Entry, index, term, lastTerm uint64) error {
	for _, entry := range entries {
		index++
		switch {
		case entry.Index != index || entry.Index > maxPosition:
			return fmt.Errorf("gap in the entries at index %d", index)
		case entry.Term == 0 || entry.Term < term || entry.Term > lastTerm:
			return fmt.Errorf("entry %d has an impossible term", index)
		case entry.Kind > EntryMembership:
			return fmt.Errorf("entry %d is of an unknown kind", index)
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

// valid reports whether the snapshot can replace a log.
func (s Snapshot) valid() bool {
	bounded := s.Index > 0 && s.Index <= maxPosition && s.Term > 0 && s.Term <= maxPosition
	return bounded && s.Membership.valid()
}

func errMessage(m *Message, problem string) error {
	return structs.NewError(structs.ErrorInvalid,
		fmt.Sprintf("raft message of kind %d from node %d refused: %s", m.Kind, m.From, problem),
		"Check that all members run the same version and that no two share an ID.")
}
