package raft

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// TransferLeadership transfers leadership to a voter: the leader rejects proposals,
// brings the voter up to date and tells it to start an election. If the transfer does
// not finish within ElectionTicks, the leader resumes, or steps down if the voter may
// still start the election. The error is a *structs.Error of kind not_leader, invalid,
// or conflict while another transfer is in progress.
func (n *Node) TransferLeadership(to NodeID) error {
	l := &n.leading
	switch {
	case n.role != Leader:
		return n.errNotLeader()
	case to == n.id || !n.membership().HasVoter(to):
		return errInvalid(fmt.Sprintf("node %d cannot become leader", to), "Name another voter.")
	case l.transferee == to:
		return nil
	case l.transferee != None:
		return structs.NewError(structs.ErrorConflict, "another leadership transfer is in progress", "Retry once it has finished.")
	}
	l.transferee = to
	l.transferElapsed = 0
	l.appendDue = true
	n.continueTransfer()
	return nil
}

// continueTransfer sends MessageTimeoutNow once the transferee has the whole log.
func (n *Node) continueTransfer() {
	l := &n.leading
	member := l.progress[l.transferee]
	if l.transferSent || member == nil || member.match < n.log.last() {
		return
	}
	l.transferSent = true
	n.send(Message{Kind: MessageTimeoutNow, To: l.transferee})
}

// tickTransfer aborts a transfer after ElectionTicks. Once MessageTimeoutNow has been
// sent it may arrive at any time, so the lease stays invalid until a new term makes the
// message stale: the leader steps down.
func (n *Node) tickTransfer() {
	l := &n.leading
	if l.transferee == None {
		return
	}
	l.transferElapsed++
	if l.transferElapsed < n.config.ElectionTicks {
		return
	}
	if l.transferSent {
		n.becomeFollower(n.term, None)
		return
	}
	l.transferee = None
}

// dropRemovedMembers stops tracking removed members that know of their removal or whose
// deadline has passed.
func (n *Node) dropRemovedMembers() {
	dropped := false
	for id, member := range n.leading.progress {
		if member.removalDone(n.now) {
			delete(n.leading.progress, id)
			dropped = true
		}
	}
	if dropped {
		n.updatePeers()
	}
}

func (n *Node) updatePeers() {
	n.leading.peers = slices.Sorted(maps.Keys(n.leading.progress))
}
