package raft

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	conformanceRuns  = 24
	conformanceSteps = 2500
	// maxPathLength bounds the transitions between two observations of a node.
	maxPathLength = 6
)

// conformance checks the steps of a cluster against the transitions of the
// specification. It tracks the sent messages as the specification does, and the state
// of each node.
type conformance struct {
	cluster   *cluster
	terms     map[uint64]*specTerm
	highest   uint64
	states    map[NodeID]specNode
	nodes     map[NodeID]*Node
	taken     map[string]int
	violation string
}

func newConformance(c *cluster) *conformance {
	checker := &conformance{
		cluster: c, terms: map[uint64]*specTerm{}, states: map[NodeID]specNode{},
		nodes: map[NodeID]*Node{}, taken: map[string]int{},
	}
	c.filter = checker.send
	return checker
}

func (c *conformance) at(term uint64) *specTerm {
	if c.terms[term] == nil {
		c.terms[term] = &specTerm{
			requests: map[NodeID]position{}, granted: map[NodeID]map[NodeID]bool{}, matched: map[NodeID]uint64{},
		}
	}
	return c.terms[term]
}

// abstract maps a node to its state in the specification. Compacted entries are taken
// from the committed history.
func (c *conformance) abstract(n *Node) specNode {
	state := specNode{role: n.role, term: n.term, vote: n.vote, commit: n.log.commit}
	if n.role == PreCandidate {
		state.role = Follower
	}
	for _, entry := range c.cluster.history.committed[:n.log.base] {
		state.log = append(state.log, entry.Term)
	}
	for _, entry := range n.log.entries {
		state.log = append(state.log, entry.Term)
	}
	return state
}

// observe checks that transitions of the specification lead from the last observed
// state of the node to its current one.
func (c *conformance) observe(n *Node) {
	from, to := c.states[n.id], c.abstract(n)
	if c.violation == "" && (c.nodes[n.id] != n || !from.equal(to)) {
		path, explained := c.findPath(n, from, to, maxPathLength)
		if from.term == to.term && slices.Contains(path, "AdvanceCommit") {
			c.at(from.term).commit = to.commit // the leader may have stepped down on this commit
		}
		if !explained {
			c.violation = fmt.Sprintf("no transitions lead node %d from %+v to %+v", n.id, from, to)
		}
		for _, name := range path {
			c.taken[name]++
		}
	}
	c.nodes[n.id], c.states[n.id] = n, to
	c.publish(n, to)
}

func (c *conformance) findPath(n *Node, from, to specNode, depth int) ([]string, bool) {
	isSameNode := c.nodes[n.id] == n || c.nodes[n.id] == nil
	if isSameNode && from.equal(to) {
		return nil, true
	}
	for _, transition := range transitions {
		if depth == 0 || !isSameNode && transition.name != "Restart" {
			continue
		}
		next, allowed := transition.next(c, n, from, to)
		if !allowed {
			continue
		}
		if transition.name == "Restart" {
			return []string{transition.name}, next.equal(to)
		}
		if path, explained := c.findPath(n, next, to, depth-1); explained {
			return append([]string{transition.name}, path...), true
		}
	}
	return nil, false
}

// publish records the request of a candidate and the log that a leader may have sent.
func (c *conformance) publish(n *Node, state specNode) {
	c.highest = max(c.highest, state.term)
	term := c.at(state.term)
	switch state.role {
	case Candidate:
		term.requests[n.id] = position{uint64(len(state.log)), state.lastTerm()}
	case Leader:
		term.leader, term.log = n.id, state.log
		term.commit = state.commit
		term.matched[n.id] = n.log.stable
	}
}

// send records a vote or an acknowledgement, which must be durable when it is sent.
func (c *conformance) send(m Message) bool {
	durable := c.cluster.member(m.From).disk
	term := c.at(m.Term)
	switch {
	case c.violation != "" || m.Reject || durable.hardState.Term > m.Term:
	case m.Kind == MessageVoteReply && durable.hardState.Vote != m.To:
		c.violation = fmt.Sprintf("node %d sent a vote that is not durable", m.From)
	case m.Kind == MessageAppendReply && m.Index > durable.last():
		c.violation = fmt.Sprintf("node %d acknowledged entries that are not durable", m.From)
	}
	switch {
	case m.Kind == MessageVoteReply && !m.Reject:
		if term.granted[m.To] == nil {
			term.granted[m.To] = map[NodeID]bool{}
		}
		term.granted[m.To][m.From] = true
	case (m.Kind == MessageAppendReply || m.Kind == MessageSnapshotReply) && !m.Reject:
		term.matched[m.From] = max(term.matched[m.From], m.Index)
	}
	return true
}

func (d *disk) last() uint64 {
	if len(d.entries) == 0 {
		return d.snapshot.Index
	}
	return d.entries[len(d.entries)-1].Index
}

// checkConformance runs a cluster with seeded faults until a step violates the specification.
func checkConformance(seed uint64, mutate func(*Node), losesVotes bool) *conformance {
	c := newCluster(seed, 3+2*int(seed%2), 2)
	checker := newConformance(c)
	c.losesVotes = losesVotes
	c.mutate = func(n *Node) {
		if mutate != nil {
			mutate(n)
		}
		checker.observe(n)
	}
	c.loss, c.duplicate, c.crash = 0.05, 0.05, 0.001
	c.delay, c.diskDelay = 1+int(seed%12), 1+int(seed%5)*2
	for range conformanceSteps {
		c.step()
		if c.chance(0.3) {
			c.injectFault()
		}
		for _, m := range c.members {
			if m.node != nil {
				checker.observe(m.node)
			}
		}
		if checker.violation != "" {
			break
		}
	}
	return checker
}

func TestEveryStepIsOneOfTheSpecification(t *testing.T) {
	taken := map[string]int{}
	for seed := range uint64(conformanceRuns) {
		checker := checkConformance(seed, nil, false)
		qt.Assert(t, checker.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
		for name, count := range checker.taken {
			taken[name] += count
		}
	}
	t.Logf("transitions taken: %v", taken)
	for _, transition := range transitions {
		qt.Check(t, taken[transition.name] > 0, qt.IsTrue, qt.Commentf("transition %s was never taken", transition.name))
	}
}

func TestSpecificationRefusesBrokenSteps(t *testing.T) {
	cases := []struct {
		name       string
		mutate     func(*Node)
		losesVotes bool
	}{
		{name: "votes twice", mutate: func(n *Node) { n.vote = None }},
		{name: "disk loses the vote", losesVotes: true},
		{name: "leads without a quorum", mutate: func(n *Node) {
			if n.role == Candidate {
				n.becomeLeader()
			}
		}},
		{name: "leader commits alone", mutate: func(n *Node) {
			if n.role == Leader {
				n.log.commit = n.log.stable
			}
		}},
		{name: "drops an entry", mutate: func(n *Node) {
			if n.role == Follower && n.log.last() > n.log.commit {
				n.truncateFrom(n.log.last())
			}
		}},
		{name: "changes two voters at once", mutate: func(n *Node) {
			if voters := n.membership().Voters; n.role == Leader && n.log.stable == n.log.last() && len(voters) > 2 {
				n.propose(EntryMembership, EncodeMembership(Membership{Voters: voters[2:]}))
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(conformanceRuns) {
				if checker := checkConformance(seed, test.mutate, test.losesVotes); checker.violation != "" {
					t.Logf("seed %d: %.200s", seed, checker.violation)
					return
				}
			}
			t.Fatal("no run violated the specification")
		})
	}
}

// TestTransitionNamesMatchSpecification checks that the transition table lists each
// transition of consensus.pml and the ChangeMembership of membership.pml.
func TestTransitionNamesMatchSpecification(t *testing.T) {
	inline := regexp.MustCompile(`(?m)^inline ([A-Z]\w*)\(`)
	named := map[string]bool{}
	for _, match := range inline.FindAllStringSubmatch(readSpecification(t, "consensus.pml"), -1) {
		named[match[1]] = true
	}
	for _, match := range inline.FindAllStringSubmatch(readSpecification(t, "membership.pml"), -1) {
		if match[1] == "ChangeMembership" {
			named[match[1]] = true
		}
	}
	var inTable []string
	for _, transition := range transitions {
		inTable = append(inTable, transition.name)
	}
	slices.Sort(inTable)
	qt.Assert(t, inTable, qt.DeepEquals, slices.Sorted(maps.Keys(named)))
}

func readSpecification(t *testing.T, file string) string {
	text, err := os.ReadFile("../../spec/" + file)
	qt.Assert(t, err, qt.IsNil)
	return string(text)
}
