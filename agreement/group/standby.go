package group

import (
	"slices"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// stableElectionTimeouts is the number of consecutive election timeouts for which a
// member must be able to lead before a standby transfers leadership to it. It prevents
// repeated transfers to a member that keeps failing.
const stableElectionTimeouts = 3

// standbyState decides when a leading standby transfers leadership, and to which member.
type standbyState struct {
	// stableTicks counts the consecutive ticks for which each member could lead.
	stableTicks map[raft.NodeID]int
}

// tick returns the member to which a leading standby transfers leadership now, or
// raft.None. isStandby is called for the leader as well.
func (s *standbyState) tick(status raft.Status, electionTicks int, isStandby func(raft.NodeID) bool) raft.NodeID {
	if status.Role != raft.Leader || !isStandby(status.ID) {
		s.stableTicks = nil
		return raft.None
	}
	if s.stableTicks == nil {
		s.stableTicks = make(map[raft.NodeID]int)
	}
	best := raft.None
	for _, voter := range status.Membership.Voters {
		if isStandby(voter) || !canLead(status, voter) {
			delete(s.stableTicks, voter)
			continue
		}
		s.stableTicks[voter]++
		if s.stableTicks[voter] < stableElectionTimeouts*electionTicks {
			continue
		}
		if best == raft.None || status.Progress[voter].Match > status.Progress[best].Match {
			best = voter
		}
	}
	if best != raft.None {
		// A failed transfer is retried after the same time.
		s.stableTicks = nil
	}
	return best
}

// canLead reports whether another voter is active and lags the commit index by at most
// one append.
func canLead(status raft.Status, voter raft.NodeID) bool {
	progress, isKnown := status.Progress[voter]
	return isKnown && progress.Active && progress.Match+maxMessageEntries >= status.Commit
}

// isStandby reports whether the node's process is listed in Options.Standbys.
func (g *Group) isStandby(node raft.NodeID) bool {
	if len(g.options.Standbys) == 0 {
		return false
	}
	g.stateMutex.RLock()
	defer g.stateMutex.RUnlock()
	return slices.Contains(g.options.Standbys, g.addresses.names[node])
}

// yieldLeadership transfers leadership if this member is a leading standby and a voter that
// is not a standby can lead.
func (g *Group) yieldLeadership() {
	if g.loop.node.Role() != raft.Leader || !g.isStandby(g.options.Node) {
		g.loop.standbys.stableTicks = nil
		return
	}
	target := g.loop.standbys.tick(g.loop.node.Status(), g.options.ElectionTicks, g.isStandby)
	if target == raft.None {
		return
	}
	err := g.loop.node.TransferLeadership(target)
	_ = g.logger.Log("msg", "A standby transfers leadership.", "to", target, "err", err)
}
