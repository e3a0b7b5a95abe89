package raft

import (
	"encoding/binary"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// EncodeMembership returns the data of an EntryMembership.
func EncodeMembership(membership Membership) []byte {
	var data []byte
	for _, list := range [][]NodeID{membership.Voters, membership.Learners} {
		data = binary.AppendUvarint(data, uint64(len(list)))
		for _, id := range list {
			data = binary.AppendUvarint(data, uint64(id))
		}
	}
	return data
}

// DecodeMembership decodes the data of an EntryMembership. The error is a
// *structs.Error of kind corrupt if the data is not a valid membership.
func DecodeMembership(data []byte) (Membership, error) {
	var membership Membership
	var err error
	if membership.Voters, data, err = decodeNodeIDs(data); err != nil {
		return Membership{}, err
	}
	if membership.Learners, data, err = decodeNodeIDs(data); err != nil {
		return Membership{}, err
	}
	if len(data) != 0 || !membership.valid() {
		return Membership{}, errCorruptMembership()
	}
	return membership, nil
}

func decodeNodeIDs(data []byte) ([]NodeID, []byte, error) {
	count, size := binary.Uvarint(data)
	if size <= 0 || count > uint64(len(data)) {
		return nil, nil, errCorruptMembership()
	}
	data = data[size:]
	var ids []NodeID
	for range count {
		id, size := binary.Uvarint(data)
		if size <= 0 {
			return nil, nil, errCorruptMembership()
		}
		ids = append(ids, NodeID(id))
		data = data[size:]
	}
	return ids, data, nil
}

func errCorruptMembership() error {
	return structs.NewError(structs.ErrorCorrupt, "membership cannot be decoded",
		"Remove this member and add it again with an empty disk under a new node ID.")
}

// HasVoter reports whether id is a voter.
func (m Membership) HasVoter(id NodeID) bool { return slices.Contains(m.Voters, id) }

// HasLearner reports whether id is a learner.
func (m Membership) HasLearner(id NodeID) bool { return slices.Contains(m.Learners, id) }

// Has reports whether id is a voter or a learner.
func (m Membership) Has(id NodeID) bool { return m.HasVoter(id) || m.HasLearner(id) }

// Equal reports whether m and other have the same voters and learners, in any order.
func (m Membership) Equal(other Membership) bool {
	own, others := m.sorted(), other.sorted()
	return slices.Equal(own.Voters, others.Voters) && slices.Equal(own.Learners, others.Learners)
}

// sorted returns a copy with both lists sorted.
func (m Membership) sorted() Membership {
	return Membership{
		Voters:   slices.Sorted(slices.Values(m.Voters)),
		Learners: slices.Sorted(slices.Values(m.Learners)),
	}
}

// all returns the voters and learners, sorted together.
func (m Membership) all() []NodeID {
	return slices.Sorted(slices.Values(slices.Concat(m.Voters, m.Learners)))
}

// valid reports whether there is a voter, no zero ID and no duplicate ID.
func (m Membership) valid() bool {
	all := m.all()
	distinct := len(slices.Compact(slices.Clone(all))) == len(all)
	return len(m.Voters) > 0 && all[0] != None && distinct
}

// empty reports whether the membership lists no node.
func (m Membership) empty() bool { return len(m.Voters) == 0 && len(m.Learners) == 0 }

// voterDifference returns the size of the symmetric difference of the voters.
func (m Membership) voterDifference(other Membership) int {
	difference := 0
	for _, id := range m.Voters {
		if !other.HasVoter(id) {
			difference++
		}
	}
	for _, id := range other.Voters {
		if !m.HasVoter(id) {
			difference++
		}
	}
	return difference
}

// membershipRecord is a membership and the index from which it is in effect.
type membershipRecord struct {
	index      uint64
	membership Membership
}

// membershipHistory holds the memberships of the log in index order. The first is
// that of the last snapshot; the last is in effect.
type membershipHistory []membershipRecord

func (h membershipHistory) current() membershipRecord { return h[len(h)-1] }

// at returns the membership in effect after the entry at index.
func (h membershipHistory) at(index uint64) Membership {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].membership
		}
	}
	return h[0].membership
}

// anySince reports whether accepts holds for the membership in effect at commit or
// for a later one. Later memberships may still be truncated or committed.
func (h membershipHistory) anySince(commit uint64, accepts func(Membership) bool) bool {
	for i := len(h) - 1; i >= 0; i-- {
		if accepts(h[i].membership) {
			return true
		}
		if h[i].index <= commit {
			return false
		}
	}
	return false
}

// truncateFrom removes the records at and after index, and reports whether there were
// any.
func (h *membershipHistory) truncateFrom(index uint64) bool {
	records := *h
	kept := len(records)
	for kept > 1 && records[kept-1].index >= index {
		kept--
	}
	*h = records[:kept]
	return kept != len(records)
}

// compactTo merges the records up to index into the first one.
func (h *membershipHistory) compactTo(index uint64) {
	records := *h
	kept := 0
	for kept+1 < len(records) && records[kept+1].index <= index {
		kept++
	}
	*h = slices.Clone(records[kept:])
}
