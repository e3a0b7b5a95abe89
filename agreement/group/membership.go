package group

import (
	"context"
	"fmt"
	"slices"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// AddLearner adds a node that receives the log and does not vote, and makes its
// address known to all members. The node must have been started with an empty
// Bootstrap. Adding it again only changes its address. Learners that it replaces
// leave the group in the same change; a replaced voter stays. The errors are those
// of Propose.
func (g *Group) AddLearner(ctx context.Context, member Member, replaced ...raft.NodeID) error {
	if member.Node == raft.None || member.Address == "" {
		return structs.NewError(structs.ErrorInvalid, "a member needs a node ID and an address", "Give both.")
	}
	// The log from its beginning does not hold the addresses of the founding
	// members, which the learner needs as well.
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

// Promote makes a learner a voter. Promote it once it has caught up: until then it
// counts for the quorum and cannot help to reach it.
func (g *Group) Promote(ctx context.Context, member Member) error {
	return g.changeMembership(ctx, func(current raft.Membership) (raft.Membership, error) {
		if !current.Has(member.Node) {
			return current, structs.NewError(structs.ErrorNotFound,
				fmt.Sprintf("node %d is no member of group %s", member.Node, g.options.Name), "Add it as a learner first.")
		}
		if !current.HasVoter(member.Node) {
			current.Learners = without(current.Learners, member.Node)
			current.Voters = append(current.Voters, member.Node)
		}
		return current, nil
	})
}

// Remove takes a voter or learner out of the group. Removing a node that is no
// member changes nothing. A leader that removes itself steps down afterwards.
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

// changeMembership proposes what change makes of the membership in force. change
// may modify its argument.
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

// transfer asks the loop to hand leadership over.
type transfer struct{ answer chan outcome }

// TransferLeadership hands leadership to the voter that has most of the log and returns
// once this node no longer leads. ErrorNotLeader: it did not lead. ErrorUnavailable:
// no other voter answers. ErrorDeadline: ctx ended first.
func (g *Group) TransferLeadership(ctx context.Context) error {
	asked := &transfer{answer: newAnswer()}
	if err := g.submit(ctx, asked); err != nil {
		return err
	}
	if _, err := g.await(ctx, asked.answer, g.lateTransferError); err != nil {
		return err
	}
	for {
		changed := g.Applied()
		if !g.Status().IsLeader {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return g.lateTransferError(ctx)
		}
	}
}

func (g *Group) lateTransferError(context.Context) error {
	typed := structs.NewError(structs.ErrorDeadline,
		"leadership of group "+g.options.Name+" was not handed over in time",
		"Ask again, or stop the daemon: the others elect a leader after the election timeout.")
	typed.RetryAfter = g.electionTimeout()
	return typed
}

// start implements request.
func (t *transfer) start(g *Group) {
	status := g.loop.node.Status()
	if status.Role != raft.Leader {
		t.answer <- outcome{err: g.notLeaderError()}
		return
	}
	target := g.successor(status)
	if target == raft.None {
		t.answer <- outcome{err: structs.NewError(structs.ErrorUnavailable,
			"no other voter of group "+g.options.Name+" answers", "Start another voter first.")}
		return
	}
	t.answer <- outcome{err: g.loop.node.TransferLeadership(target)}
}

// successor returns the other voter that answers and has most of the log, or
// raft.None. A standby succeeds only when no other voter is fit to lead.
func (g *Group) successor(status raft.Status) raft.NodeID {
	best, isBestPreferred := raft.None, false
	for _, voter := range status.Membership.Voters {
		progress := status.Progress[voter]
		if voter == g.options.Node || !progress.Active {
			continue
		}
		isPreferred := !g.isStandby(voter) && isFitToLead(status, voter)
		isBetter := progress.Match > status.Progress[best].Match
		if best == raft.None || isPreferred && !isBestPreferred || isPreferred == isBestPreferred && isBetter {
			best, isBestPreferred = voter, isPreferred
		}
	}
	return best
}
