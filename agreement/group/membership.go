package group

import (
	"context"
	"fmt"
	"slices"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// AddLearner adds a node as a learner and replicates its address to all members. The
// node must have been started with an empty Bootstrap. Adding it again only updates its
// address. Learners in replaced are removed in the same change; voters in replaced
// remain. The errors are those of Propose.
func (g *Group) AddLearner(ctx context.Context, member Member, replaced ...raft.NodeID) error {
	if member.Node == raft.None || member.Address == "" {
		return structs.NewError(structs.ErrorInvalid, "a member needs a node ID and an address", "Set both.")
	}
	// The log does not contain the addresses of the initial members, which the learner
	// needs as well.
	status := g.Status()
	known := status.Members(slices.Concat(status.Membership.Voters, status.Membership.Learners))
	for _, each := range append(known, member) {
		if each.Address == "" {
			continue
		}
		if err := g.proposeAddress(ctx, each); err != nil {
			return err
		}
	}
	return g.changeMembership(ctx, func(current raft.Membership) (raft.Membership, error) {
		for _, node := range replaced {
			current.Learners = without(current.Learners, node)
		}
		if !current.Has(member.Node) {
			current.Learners = append(current.Learners, member.Node)
		}
		return current, nil
	})
}

func (g *Group) proposeAddress(ctx context.Context, member Member) error {
	data, err := encodeAddress(member)
	if err != nil {
		return err
	}
	_, err = g.propose(ctx, func(node *raft.Node) (uint64, uint64, error) { return node.Propose(data) })
	return err
}

// Promote makes a learner a voter. The learner must have caught up, because a lagging
// voter raises the quorum without contributing to it.
func (g *Group) Promote(ctx context.Context, member Member) error {
	return g.changeMembership(ctx, func(current raft.Membership) (raft.Membership, error) {
		if !current.Has(member.Node) {
			return current, structs.NewError(structs.ErrorNotFound,
				fmt.Sprintf("node %d is not a member of group %s", member.Node, g.options.Name), "Add it as a learner first.")
		}
		if !current.HasVoter(member.Node) {
			current.Learners = without(current.Learners, member.Node)
			current.Voters = append(current.Voters, member.Node)
		}
		return current, nil
	})
}

// Remove removes a voter or learner from the group. It is a no-op for a node that is not
// a member. A leader that removes itself steps down afterwards.
func (g *Group) Remove(ctx context.Context, member Member) error {
	return g.changeMembership(ctx, func(current raft.Membership) (raft.Membership, error) {
		current.Voters = without(current.Voters, member.Node)
		current.Learners = without(current.Learners, member.Node)
		if len(current.Voters) == 0 {
			return current, structs.NewError(structs.ErrorInvalid,
				"the last voter of group "+g.options.Name+" cannot be removed", "Add and promote another member first.")
		}
		return current, nil
	})
}

func without(nodes []raft.NodeID, node raft.NodeID) []raft.NodeID {
	return slices.DeleteFunc(nodes, func(other raft.NodeID) bool { return other == node })
}

// changeMembership proposes the result of change, applied to a copy of the current
// membership.
func (g *Group) changeMembership(ctx context.Context, change func(raft.Membership) (raft.Membership, error)) error {
	_, err := g.propose(ctx, func(node *raft.Node) (uint64, uint64, error) {
		current := node.Status().Membership
		next, err := change(raft.Membership{
			Voters:   slices.Clone(current.Voters),
			Learners: slices.Clone(current.Learners),
		})
		if err != nil {
			return 0, 0, err
		}
		return node.ProposeMembership(next)
	})
	return err
}

// transferRequest asks the loop to transfer leadership.
type transferRequest struct{ answer chan outcome }

// TransferLeadership transfers leadership to the active voter with the longest log and
// returns once this node no longer leads. It returns ErrorNotLeader if this node does
// not lead, ErrorUnavailable if no other voter is active, and ErrorDeadline if ctx ends
// first.
func (g *Group) TransferLeadership(ctx context.Context) error {
	asked := &transferRequest{answer: newAnswer()}
	if err := g.submit(ctx, asked); err != nil {
		return err
	}
	if _, err := g.await(ctx, asked.answer, g.transferTimeoutError); err != nil {
		return err
	}
	for {
		changed := g.Changed()
		if !g.Status().IsLeader {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return g.transferTimeoutError(ctx)
		}
	}
}

func (g *Group) transferTimeoutError(context.Context) error {
	typed := structs.NewError(structs.ErrorDeadline,
		"leadership of group "+g.options.Name+" was not transferred in time",
		"Retry, or stop the daemon: the other members elect a leader after the election timeout.")
	typed.RetryAfter = g.electionTimeout()
	return typed
}

// start implements request.
func (t *transferRequest) start(g *Group) {
	status := g.loop.node.Status()
	if status.Role != raft.Leader {
		t.answer <- outcome{err: g.notLeaderError()}
		return
	}
	target := g.transferTarget(status)
	if target == raft.None {
		t.answer <- outcome{err: structs.NewError(structs.ErrorUnavailable,
			"no other voter of group "+g.options.Name+" responds", "Start another voter first.")}
		return
	}
	t.answer <- outcome{err: g.loop.node.TransferLeadership(target)}
}

// transferTarget returns the other active voter with the longest log, or raft.None. A
// standby is chosen only if no other voter can lead.
func (g *Group) transferTarget(status raft.Status) raft.NodeID {
	best, isBestPreferred := raft.None, false
	for _, voter := range status.Membership.Voters {
		progress := status.Progress[voter]
		if voter == g.options.Node || !progress.Active {
			continue
		}
		isPreferred := !g.isStandby(voter) && canLead(status, voter)
		isBetter := progress.Match > status.Progress[best].Match
		if best == raft.None || isPreferred && !isBestPreferred || isPreferred == isBestPreferred && isBetter {
			best, isBestPreferred = voter, isPreferred
		}
	}
	return best
}
