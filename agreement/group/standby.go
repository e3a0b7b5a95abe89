package group

import (
	"slices"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// steadyElections is for how many election timeouts in a row a member must have
// answered and had the log before a standby hands leadership over to it, so that
// one which comes and goes does not take leadership with it each time.
const steadyElections = 3

// standbys decides when a standby that leads hands leadership over, and to whom.
type standbys struct {
	// steady counts the ticks for which each member has been fit to lead.
	steady map[raft.NodeID]int
}

// tick returns the member to which a standby that leads hands over now, or
// raft.None. isStandby tells it of every node, the leader itself among them.
func (s *standbys) tick(status raft.Status, electionTicks int, isStandby func(raft.NodeID) bool) raft.NodeID {
	if status.Role != raft.Leader || !isStandby(status.ID) {
		s.steady = nil
		return raft.None
	}
	if s.steady == nil {
		s.steady = make(map[raft.NodeID]int)
	}
	best := raft.None
	for _, voter := range status.Membership.Voters {
		if isStandby(voter) || !isFitToLead(status, voter) {
			delete(s.steady, voter)
			continue
		}
		s.steady[voter]++
		if s.steady[voter] < steadyElections*electionTicks {
			continue
		}
		if best == raft.None || status.Progress[voter].Match > status.Progress[best].Match {
			best = voter
		}
	}
	if best != raft.None {
		// A hand-over that fails is tried again after as long a time.
		s.steady = nil
	}
	return best
}

// isFitToLead reports whether another voter answers and lacks no more of the log
// than one message brings it.
func isFitToLead(status raft.Status, voter raft.NodeID) bool {
	progress, isKnown := status.Progress[voter]
	return isKnown && progress.Active && progress.Match+maxMessageEntries >= status.Commit
}

// isStandby reports whether the settings name the node's process as a standby.
func (g *Group) isStandby(node raft.NodeID) bool {
	if len(g.options.Standbys) == 0 {
		return false
	}
	g.stateMutex.RLock()
	defer g.stateMutex.RUnlock()
	return slices.Contains(g.options.Standbys, g.addresses.names[node])
}

// yield hands leadership over when this member is a standby and leads while another
// voter, which is none, is fit to.
func (g *Group) yield() {
	if g.loop.node.Role() != raft.Leader || !g.isStandby(g.options.Node) {
		g.loop.standbys.steady = nil
		return
	}
	target := g.loop.standbys.tick(g.loop.node.Status(), g.options.ElectionTicks, g.isStandby)
	if target == raft.None {
		return
	}
	err := g.loop.node.TransferLeadership(target)
	_ = g.logger.Log("msg", "A standby hands leadership over.", "to", target, "err", err)
}
