package raft

import "slices"

// specNode is the state of a node in spec/consensus.pml, where pre-candidates and
// learners are followers and the log is the list of entry terms.
type specNode struct {
	role   Role
	term   uint64
	vote   NodeID
	log    []uint64
	commit uint64
}

func (s specNode) equal(other specNode) bool {
	return s.role == other.role && s.term == other.term && s.vote == other.vote &&
		s.commit == other.commit && slices.Equal(s.log, other.log)
}

func (s specNode) lastTerm() uint64 {
	if len(s.log) == 0 {
		return 0
	}
	return s.log[len(s.log)-1]
}

// specTerm is TermState of spec/consensus.pml: the messages sent in a term.
type specTerm struct {
	requests map[NodeID]position
	granted  map[NodeID]map[NodeID]bool // by candidate, then voter
	leader   NodeID
	log      []uint64
	commit   uint64
	matched  map[NodeID]uint64
}

// transition is a transition of the specification, named after its inline in
// spec/*.pml. next returns the state after a step from one observed state towards the
// next, and whether the specification allows the step.
type transition struct {
	name string
	next func(c *conformance, n *Node, from, to specNode) (specNode, bool)
}

var transitions = []transition{
	{"UpdateTerm", updateTerm},
	{"Campaign", campaign},
	{"GrantVote", grantVote},
	{"BecomeLeader", becomeLeader},
	{"AppendEntry", appendEntry},
	{"ChangeMembership", changeMembership},
	{"AdvanceCommit", advanceCommit},
	{"AcceptAppend", acceptAppend},
	{"StepDown", stepDown},
	{"Restart", restart},
}

func updateTerm(c *conformance, _ *Node, from, to specNode) (specNode, bool) {
	target := to.term
	if target > c.highest || to.vote != None && to.role != Follower {
		target-- // a campaign follows
	}
	if target <= from.term || target > c.highest {
		return from, false
	}
	from.role, from.term, from.vote = Follower, target, None
	return from, true
}

func campaign(_ *conformance, n *Node, from, to specNode) (specNode, bool) {
	if from.role == Leader || from.term+1 != to.term || to.vote != n.id {
		return from, false
	}
	from.role, from.term, from.vote = Candidate, from.term+1, n.id
	return from, true
}

func grantVote(c *conformance, n *Node, from, to specNode) (specNode, bool) {
	request, requested := c.at(from.term).requests[to.vote]
	complete := request.term > from.lastTerm() ||
		request.term == from.lastTerm() && request.index >= uint64(len(from.log))
	if !requested || !complete || from.vote != None || to.vote == n.id || to.term != from.term {
		return from, false
	}
	from.vote = to.vote
	return from, true
}

func becomeLeader(c *conformance, n *Node, from, _ specNode) (specNode, bool) {
	term := c.at(from.term)
	granted := func(id NodeID) bool { return term.granted[n.id][id] || id == n.id }
	if from.role != Candidate || !quorum(n, granted) || term.leader != None && term.leader != n.id {
		return from, false
	}
	from.role = Leader
	return from, true
}

// quorum reports whether a majority of the current voters is in the set.
func quorum(n *Node, has func(NodeID) bool) bool {
	return n.quorumValue(func(id NodeID) uint64 {
		if has(id) {
			return 1
		}
		return 0
	}) == 1
}

// changesVoters reports whether the node's entry at index changes the voters.
func changesVoters(n *Node, index uint64) bool {
	return n.history.at(index).voterDifference(n.history.at(index-1)) > 0
}

func mayAppend(from, to specNode) bool {
	size := len(from.log)
	return from.role == Leader && from.term <= to.term && len(to.log) > size &&
		slices.Equal(from.log, to.log[:size]) && to.log[size] == from.term
}

func appendEntry(_ *conformance, n *Node, from, to specNode) (specNode, bool) {
	size := len(from.log)
	for mayAppend(from, to) && !changesVoters(n, uint64(len(from.log)+1)) {
		from.log = to.log[:len(from.log)+1]
	}
	return from, len(from.log) > size
}

func changeMembership(_ *conformance, n *Node, from, to specNode) (specNode, bool) {
	index := uint64(len(from.log) + 1)
	if !mayAppend(from, to) || !changesVoters(n, index) {
		return from, false
	}
	var last uint64
	for _, record := range n.history {
		if record.index < index {
			last = record.index
		}
	}
	inTerm := from.commit > 0 && from.log[from.commit-1] == from.term
	one := n.history.at(index).voterDifference(n.history.at(index-1)) == 1
	from.log = to.log[:index]
	return from, one && inTerm && last <= from.commit
}

func advanceCommit(c *conformance, n *Node, from, to specNode) (specNode, bool) {
	index := to.commit
	if from.role != Leader || index <= from.commit || index > uint64(len(from.log)) {
		return from, false
	}
	matched := c.at(from.term).matched
	durable := func(id NodeID) bool { return matched[id] >= index || id == n.id && n.log.stable >= index }
	if !quorum(n, durable) || from.log[index-1] != from.term {
		return from, false
	}
	from.commit = index
	return from, true
}

func acceptAppend(c *conformance, n *Node, from, to specNode) (specNode, bool) {
	term := c.at(from.term)
	if term.leader == None || term.leader == n.id || from.term != to.term || from.role == Leader {
		return from, false
	}
	if !slices.Equal(from.log, to.log) {
		kept := commonPrefix(from.log, to.log)
		truncatesOnly := kept == len(to.log)
		if truncatesOnly || kept < int(from.commit) || commonPrefix(to.log, term.log) < len(to.log) {
			return from, false
		}
	}
	if to.commit < from.commit {
		return from, false
	}
	if to.commit > from.commit && to.commit > min(term.commit, uint64(commonPrefix(to.log, term.log))) {
		return from, false
	}
	from.role, from.log, from.commit = Follower, to.log, to.commit
	return from, true
}

func stepDown(_ *conformance, _ *Node, from, _ specNode) (specNode, bool) {
	if from.role == Follower {
		return from, false
	}
	from.role = Follower
	return from, true
}

// restart allows a node to lose state that was not durable, unless it had sent a vote
// or an acknowledgement of it.
func restart(c *conformance, n *Node, _, to specNode) (specNode, bool) {
	if c.nodes[n.id] == n || to.role != Follower {
		return to, false
	}
	var latest uint64
	for t, term := range c.terms {
		for candidate, voters := range term.granted {
			if voters[n.id] && (to.term < t || to.term == t && to.vote != candidate) {
				return to, false
			}
		}
		if term.matched[n.id] > 0 {
			latest = max(latest, t)
		}
	}
	promised := c.at(latest)
	kept := commonPrefix(to.log, promised.log) >= int(promised.matched[n.id])
	return to, kept || to.term > latest
}

func commonPrefix(a, b []uint64) int {
	size := 0
	for size < min(len(a), len(b)) && a[size] == b[size] {
		size++
	}
	return size
}
