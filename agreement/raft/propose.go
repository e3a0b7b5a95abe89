package raft

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// removalTimeouts is the number of election timeouts for which a leader keeps
// replicating to a removed member, so that the member learns of its removal.
const removalTimeouts = 4

// Propose appends a command to the leader's log. The node retains data, which must
// not be modified. The command is committed once Ready.Committed contains the returned
// index with the same term; another term at that index means that it was lost. The
// error is a *structs.Error of kind not_leader, or overloaded when
// MaxUncommittedEntries are uncommitted; the command is then not appended.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.checkProposal(); err != nil {
		return 0, 0, err
	}
	if n.log.last()-n.log.commit >= uint64(n.config.MaxUncommittedEntries) {
		return 0, 0, structs.NewError(structs.ErrorOverloaded,
			"too many entries are uncommitted", "Retry once earlier proposals are committed; if the error persists, check that a majority of the members is reachable.")
	}
	index, term = n.propose(EntryCommand, data)
	return index, term, nil
}

func (n *Node) checkProposal() error {
	if n.role != Leader {
		return n.errNotLeader()
	}
	if n.leading.transferee != None {
		return structs.NewError(structs.ErrorNotLeader, "leadership is being transferred",
			fmt.Sprintf("Ask node %d.", n.leading.transferee))
	}
	return nil
}

func (n *Node) propose(kind EntryKind, data []byte) (index, term uint64) {
	entry := Entry{Term: n.term, Index: n.log.last() + 1, Kind: kind, Data: data}
	if kind == EntryCommand {
		n.log.append(entry)
	} else {
		n.appendEntries([]Entry{entry})
	}
	n.leading.appendDue = true
	return entry.Index, entry.Term
}

// ProposeMembership replaces the membership, in effect once its entry is appended. At
// most one voter may differ, and any number of learners. A new voter must be a learner
// that has caught up. The error is a *structs.Error of kind not_leader, invalid, or
// unavailable when a retry may succeed.
func (n *Node) ProposeMembership(membership Membership) (index, term uint64, err error) {
	if err := n.checkProposal(); err != nil {
		return 0, 0, err
	}
	if err := n.checkMembershipChange(membership); err != nil {
		return 0, 0, err
	}
	index, term = n.propose(EntryMembership, EncodeMembership(membership.sorted()))
	return index, term, nil
}

func (n *Node) checkMembershipChange(membership Membership) error {
	current := n.history.current()
	switch {
	case !membership.valid():
		return errInvalid("membership has no voter or a duplicate ID", "List at least one voter, and each member once.")
	case membership.voterDifference(current.membership) > 1:
		return errInvalid("membership changes more than one voter", "Change one voter at a time.")
	case current.index > n.log.commit:
		return structs.NewError(structs.ErrorUnavailable, "the previous membership change is not committed",
			"Retry once it is committed; if the error persists, check that a majority of the voters is reachable.")
	case n.log.commit < n.leading.firstIndex:
		// Before its first commit the leader may not know the last committed
		// membership, and two changes could have disjoint quorums.
		return structs.NewError(structs.ErrorUnavailable, "the leader has not committed an entry in its term yet",
			"Retry later; if the error persists, check that a majority of the voters is reachable.")
	}
	for _, id := range membership.Voters {
		if !current.membership.HasVoter(id) && !n.caughtUp(id) {
			return structs.NewError(structs.ErrorUnavailable,
				fmt.Sprintf("node %d is not a learner that has caught up", id),
				"Add it as a learner, and retry once it has the log.")
		}
	}
	return nil
}

// caughtUp reports whether a learner is active, replicates within one message of the
// end of the log, and has the entry of the current membership. The leader itself, if a
// learner, always has.
func (n *Node) caughtUp(id NodeID) bool {
	if !n.membership().HasLearner(id) {
		return false
	}
	if id == n.id {
		return true
	}
	member := n.leading.progress[id]
	near := member.match+uint64(n.config.MaxMessageEntries) >= n.log.last()
	knows := member.match >= n.history.current().index
	return near && knows && member.state == ProgressReplicate && member.activeUntil > n.now
}

// MembershipAt returns the membership in effect after the entry at index, for a
// snapshot at an applied index.
func (n *Node) MembershipAt(index uint64) Membership { return n.history.at(index).sorted() }

// refreshProgress updates the tracked members to the current membership.
func (n *Node) refreshProgress() {
	l := &n.leading
	record := n.history.current()
	for _, id := range record.membership.all() {
		if id == n.id {
			continue
		}
		member := l.progress[id]
		if member == nil {
			member = newProgress(n.log.last(), n.config.MaxInflightMessages)
			l.progress[id] = member
		}
		member.removalIndex = 0
	}
	for id, member := range l.progress {
		if !record.membership.Has(id) && member.removalIndex == 0 {
			member.removalIndex = record.index
			member.removalDeadline = n.now + uint64(removalTimeouts*n.config.ElectionTicks)
		}
	}
	n.updatePeers()
	n.releaseReads()
}
