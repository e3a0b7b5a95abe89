package raft

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// TransferLeadership hands leadership to a voter: the leader takes no proposals,
// brings the voter up to date and tells it to start an election. If that has not
// ended within ElectionTicks, the leader goes on, or steps down when the voter may
// still start the election. The error is a *structs.Error of kind not_leader,
// invalid, or conflict while another transfer is under way.
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
		return structs.NewError(structs.ErrorConflict, "another transfer is under way", "Retry once it has ended.")
	}
	l.transferee = to
	l.transferElapsed = 0
	l.appendDue = true
	n.continueTransfer()
	return nil
}

// continueTransfer tells the transferee to start an election once it has the log.
func (n *Node) continueTransfer() {
	l := &n.leading
	member := l.progress[l.transferee]
	if l.transferSent || member == nil || member.match < n.log.last() {
		return
	}
	l.transferSent = true
	n.send(Message{Kind: MessageTimeoutNow, To: l.transferee})
}

// tickTransfer ends a transfer that takes too long. After the order to start an
// election was sent, it may arrive at any time, and the lease would be void for
// good: only a new term makes the order harmless.
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

// forgetDeparted drops the progress of removed members that know it or are given up.
func (n *Node) forgetDeparted() {
	forgotten := false
	for id, member := range n.leading.progress {
		if member.departed(n.now) {
			delete(n.leading.progress, id)
			forgotten = true
		}
	}
	if forgotten {
		n.listPeers()
	}
}

func (n *Node) listPeers() {
	n.leading.peers = slices.Sorted(maps.Keys(n.leading.progress))
}
