package raft

// mayCampaign reports whether the node is a voter or may still be one. A node whose
// removal is not committed campaigns without counting its own vote: it may be the
// only node that can replicate the removal to a quorum.
func (n *Node) mayCampaign() bool {
	return n.history.anySince(n.log.commit, func(m Membership) bool { return m.HasVoter(n.id) })
}

// ignoresVoteRequest reports whether a vote request gets no reply: the node is not a
// member in any membership that may be in effect, or it hears from a leader that did
// not ask for the election.
func (n *Node) ignoresVoteRequest(m *Message) bool {
	if !n.history.anySince(n.log.commit, func(m Membership) bool { return m.Has(n.id) }) {
		return true
	}
	if m.Transfer {
		return false
	}
	return n.role == Leader || n.ticksSinceLeader < n.config.ElectionTicks
}

// startPreVote requests pre-votes without raising the term.
func (n *Node) startPreVote() {
	n.role = PreCandidate
	n.leader = None
	n.votes = map[NodeID]bool{n.id: true}
	if n.tallyVotes() {
		return
	}
	n.requestVotes(Message{Kind: MessagePreVote, Term: n.term + 1})
}

// startElection raises the term and votes for the node itself. The vote is durable
// before the requests are sent, because both are in the same Ready.
func (n *Node) startElection(transfer bool) {
	n.role = Candidate
	n.leader = None
	n.term++
	n.vote = n.id
	n.votes = map[NodeID]bool{n.id: true}
	n.awaitVotes()
	if n.tallyVotes() {
		return
	}
	n.requestVotes(Message{Kind: MessageVote, Term: n.term, Transfer: transfer})
}

func (n *Node) requestVotes(request Message) {
	request.Index = n.log.last()
	request.LogTerm = n.log.lastTerm()
	for _, id := range n.membership().Voters {
		if id != n.id {
			request.To = id
			n.send(request)
		}
	}
}

func (n *Node) handleVoteRequest(m *Message) {
	canVote := n.vote == m.From || (n.vote == None && n.leader == None)
	if m.Kind == MessagePreVote && m.Term > n.term {
		canVote = true
	}
	granted := canVote && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MessageVoteReply, To: m.From, Reject: !granted}
	if m.Kind == MessagePreVote {
		reply.Kind = MessagePreVoteReply
		if granted {
			reply.Term = m.Term
		}
	} else if granted {
		n.vote = m.From
		n.electionElapsed = 0
		if n.writeTicks > 0 {
			// The candidate needs the time until the vote is stored here, too.
			n.awaitVotes()
		}
	}
	n.send(reply)
	if m.Kind == MessagePreVote && granted && n.yieldsTo(m) {
		n.becomeFollower(n.term, None)
		n.setPreVoteTimeout()
	}
}

// yieldsTo reports whether the node gives up its own pre-vote for that of another node. Two nodes
// whose pre-votes are granted at the same time, such as when the voter that completes the quorum
// comes up, would otherwise split the votes, and then wait for an election timeout. The node asks
// again soon, in case the other cannot win.
func (n *Node) yieldsTo(m *Message) bool {
	return n.role == PreCandidate && m.From < n.id && m.Term >= n.term+1
}

func (n *Node) handleVoteReply(m *Message) {
	switch {
	case m.Kind == MessagePreVoteReply && n.role != PreCandidate:
		return
	case m.Kind == MessageVoteReply && n.role != Candidate:
		return
	case m.Kind == MessagePreVoteReply && !m.Reject && m.Term != n.term+1:
		return
	}
	if _, answered := n.votes[m.From]; !answered {
		n.votes[m.From] = !m.Reject
	}
	n.tallyVotes()
}

// tallyVotes advances or ends the election once a majority of the voters has
// granted or rejected it, and reports whether it did.
func (n *Node) tallyVotes() bool {
	granted := n.quorumValue(func(id NodeID) uint64 {
		if n.votes[id] {
			return 1
		}
		return 0
	})
	winnable := n.quorumValue(func(id NodeID) uint64 {
		if vote, answered := n.votes[id]; vote || !answered {
			return 1
		}
		return 0
	})
	switch {
	case granted == 1 && n.role == PreCandidate:
		n.startElection(false)
	case granted == 1:
		n.becomeLeader()
	case winnable == 0:
		n.becomeFollower(n.term, None)
	default:
		return false
	}
	return true
}

func (n *Node) handleTimeoutNow(m *Message) {
	if m.From != n.leader || n.role == Leader || !n.mayCampaign() {
		return
	}
	n.startElection(true)
}
