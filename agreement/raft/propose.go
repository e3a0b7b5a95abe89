package raft

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// departureTimeouts is for how many election timeouts a leader goes on sending
// the log to a removed member, so that the member learns of its removal.
const departureTimeouts = 4

// Propose appends a command to the leader's log. The node keeps data, which must
// not be changed. That the entry is committed shows when it comes back in
// Ready.Committed with the same index and term; another term at that index means
// that the command was lost. The error is a *structs.Error of kind not_leader, or
// overloaded when MaxUncommittedEntries wait; the command was then not appended.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if n.log.last()-n.log.commit >= uint64(n.config.MaxUncommittedEntries) {
		return 0, 0, structs.NewError(structs.ErrorOverloaded,
			"too many entries wait for a quorum", "Retry once earlier proposals are committed; if it lasts, check that a majority of the members is reachable.")
	}
	index, term = n.propose(EntryCommand, data)
	return index, term, nil
}

func (n *Node) mayPropose() error {
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

// ProposeMembership replaces the membership, from the moment the entry is
// appended. One voter may differ; learners may differ freely. A new voter must be
// a learner that has caught up. The error is a *structs.Error of kind not_leader,
// invalid, or unavailable when it may succeed later.
func (n *Node) ProposeMembership(membership Membership) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if err := n.mayChangeTo(membership); err != nil {
		return 0, 0, err
	}
	index, term = n.propose(EntryMembership, EncodeMembership(membership.sorted()))
	return index, term, nil
}

func (n *Node) mayChangeTo(membership Membership) error {
	current := n.history.current()
	switch {
	case !membership.valid():
		return errInvalid("membership lists no voter or an ID twice", "List at least one voter, and each member once.")
	case membership.voterDifference(current.membership) > 1:
		return errInvalid("membership changes more than one voter", "Change one voter at a time.")
	case current.index > n.log.commit:
		return structs.NewError(structs.ErrorUnavailable, "the previous membership change is not committed",
			"Retry once it is committed; if it lasts, check that a majority of the voters is reachable.")
	case n.log.commit < n.leading.firstIndex:
		// A leader that has not committed in its term may not know the last
		// committed membership, and two changes could then have disjoint quorums.
		return structs.NewError(structs.ErrorUnavailable, "the leader has committed nothing in its term yet",
			"Retry in a moment; if it lasts, check that a majority of the voters is reachable.")
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

// caughtUp reports whether a learner answers, takes the log as it grows and knows
// that it is a learner. The leader counts as its own latest learner.
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
	return near && knows && member.state == ProgressReplicate && member.heardUntil > n.now
}

// MembershipAt returns the membership in force after the entry at index, for the
// snapshot at an applied index.
func (n *Node) MembershipAt(index uint64) Membership { return n.history.at(index).sorted() }

// refreshProgress follows a change of the membership.
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
		member.departsAt = 0
	}
	for id, member := range l.progress {
		if !record.membership.Has(id) && member.departsAt == 0 {
			member.departsAt = record.index
			member.departsUntil = n.now + uint64(departureTimeouts*n.config.ElectionTicks)
		}
	}
	n.listPeers()
	n.answerReads()
}
