package daemon

import (
	"context"
	"fmt"
	"slices"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// admit adds a new identity of a daemon whose previous identity was lost. The lost one
// stays a voter, and counts for the quorum, until the new one has the whole log. A lost
// learner is replaced in the same change, so that the daemon is always a member: admit
// requests of non-members are refused.
func (m *memberNode) admit(ctx context.Context, joining group.Member) error {
	status, err := m.leaderStatus(ctx)
	if err != nil {
		return err
	}
	if status.CommittedMembership.Has(joining.Node) {
		return nil
	}
	replaced, err := checkRejoin(m.name, status, joining)
	if err != nil {
		return err
	}
	if err := m.group.AddLearner(ctx, joining, replaced...); err != nil {
		return err
	}
	level.Info(m.logger).Log("msg", "A replaced member joins as a learner.", "daemon", joining.Name, "node", joining.Node)
	return nil
}

// leaderStatus returns the status if this member leads. Otherwise its error names the
// leader, if known.
func (m *memberNode) leaderStatus(ctx context.Context) (group.Status, error) {
	status := m.group.Status()
	if status.IsLeader {
		return status, nil
	}
	if err := m.group.Read(ctx); err != nil {
		return status, err
	}
	// It has been elected in the meantime.
	status = m.group.Status()
	if status.IsLeader {
		return status, nil
	}
	typed := structs.NewError(structs.ErrorUnavailable,
		"the leadership of group "+m.name+" is changing", "Retry after the election; nothing was changed.")
	typed.RetryAfter = joinRetryInterval
	return status, typed
}

// checkRejoin returns the lost learners of the joining daemon. It refuses daemons that
// are not members, a second process of an active member, and a join while another
// daemon is being repaired. Removed identities need no check: a joining node has never
// been a member and so has never voted.
func checkRejoin(name string, status group.Status, joining group.Member) ([]raft.NodeID, error) {
	named := nodesNamed(status, status.Membership, joining.Name)
	if len(named) == 0 {
		return nil, structs.NewError(structs.ErrorDenied,
			"daemon "+joining.Name+" is no member of the group",
			"Add it with `lotusferryctl member add`.")
	}
	// The addition of the joining node may be in progress.
	former := slices.DeleteFunc(named, func(node raft.NodeID) bool { return node == joining.Node })
	for _, node := range former {
		if node == status.Node || status.Progress[node].Active {
			typed := structs.NewError(structs.ErrorUnavailable,
				fmt.Sprintf("daemon %s is still active as node %d", joining.Name, node),
				"Let only one process run under this daemon's name; the new one is accepted once the old one is inactive.")
			typed.RetryAfter = joinRetryInterval
			return nil, typed
		}
	}
	if err := checkNoRepair(name, status, joining.Name); err != nil {
		return nil, err
	}
	var learners []raft.NodeID
	for _, node := range former {
		if status.Membership.HasLearner(node) {
			learners = append(learners, node)
		}
	}
	return learners, nil
}

// checkNoRepair ensures that only one daemon is repaired at a time: a learner of
// another daemon must first be promoted or removed.
func checkNoRepair(name string, status group.Status, daemon string) error {
	for _, learner := range status.Membership.Learners {
		if status.Names[learner] != daemon {
			return repairInProgressError(name, status.Names[learner])
		}
	}
	return nil
}

func repairInProgressError(name, daemon string) error {
	typed := structs.NewError(structs.ErrorConflict,
		"daemon "+daemon+" is still receiving the log of group "+name,
		"Wait until `lotusferryctl member list` shows it as a voter, or remove it, before the next change.")
	typed.RetryAfter = describeTimeout
	return typed
}

// checkCommitted refuses a change until the previous one is committed, since an
// uncommitted change may be lost with its leader.
func checkCommitted(name string, status group.Status) error {
	if status.AppliedIndex >= status.MembershipIndex {
		return nil
	}
	typed := structs.NewError(structs.ErrorUnavailable,
		"the previous change of the members of group "+name+" is not committed yet",
		"Retry shortly; this change was not started. It remains impossible while no majority of the voters replies.")
	typed.RetryAfter = joinRetryInterval
	return typed
}

func nodesNamed(status group.Status, membership raft.Membership, name string) []raft.NodeID {
	all := slices.Concat(membership.Voters, membership.Learners)
	return slices.DeleteFunc(all, func(node raft.NodeID) bool { return status.Names[node] != name })
}

// repairLoop promotes caught-up learners while this member leads.
func (m *memberNode) repairLoop(ctx context.Context) {
	for pause.For(ctx, repairInterval) {
		status := m.group.Status()
		if !status.IsLeader {
			continue
		}
		for _, learner := range status.Membership.Learners {
			if !status.Progress[learner].CaughtUp {
				continue
			}
			if err := m.promote(ctx, status, learner); err != nil && ctx.Err() == nil {
				level.Warn(m.logger).Log("msg", "A learner could not be promoted.", "node", learner, "err", err)
			}
		}
	}
}

// promote makes a learner a voter. A lost identity of the same daemon is removed first,
// so that the group never has more voters than daemons.
func (m *memberNode) promote(ctx context.Context, status group.Status, learner raft.NodeID) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	name := status.Names[learner]
	for _, voter := range status.Membership.Voters {
		if name == "" || status.Names[voter] != name {
			continue
		}
		if err := m.group.Remove(ctx, group.Member{Node: voter}); err != nil {
			return err
		}
		level.Info(m.logger).Log("msg", "A lost identity was removed.", "daemon", name, "node", voter)
	}
	if err := m.group.Promote(ctx, group.Member{Node: learner}); err != nil {
		return err
	}
	level.Info(m.logger).Log("msg", "A learner became a voter.", "daemon", name, "node", learner)
	return nil
}

// change carries out an operator's membership change and returns once it is committed.
// It is idempotent.
func (m *memberNode) change(ctx context.Context, change operatorapi.MemberChange) error {
	status, err := m.leaderStatus(ctx)
	if err != nil {
		return err
	}
	if err := checkCommitted(m.name, status); err != nil {
		return err
	}
	nodes := nodesNamed(status, status.Membership, string(change.Daemon))
	switch change.Action {
	case operatorapi.MemberAdd:
		return m.addDaemon(ctx, status, change)
	case operatorapi.MemberRemove:
		return m.removeDaemon(ctx, status, nodes)
	case operatorapi.MemberPromote:
		return m.promoteDaemon(ctx, status, change.Daemon, nodes)
	}
	return structs.NewError(structs.ErrorInvalid, "the action "+string(change.Action)+" is not known", "Ask for add, promote or remove.")
}

func (m *memberNode) addDaemon(ctx context.Context, status group.Status, change operatorapi.MemberChange) error {
	described, err := describeMember(ctx, m.client, change.Address, m.name)
	if err != nil {
		return err
	}
	if described.Daemon != change.Daemon {
		return wrongDaemonError(change.Address, described.Daemon, change.Daemon)
	}
	if status.CommittedMembership.Has(described.Node) {
		return nil
	}
	if err := checkAddition(m.name, status, change.Daemon, described); err != nil {
		return err
	}
	return m.group.AddLearner(ctx, group.Member{Node: described.Node, Address: change.Address, Name: string(change.Daemon)})
}

// checkAddition refuses a daemon that is a member as another node, a daemon that has
// another membership, and an addition while another daemon is being repaired. An
// uncommitted addition of the same node is not refused but repeated, because it may be
// lost with its leader.
func checkAddition(name string, status group.Status, daemon structs.DaemonID, described DescribeReply) error {
	nodes := nodesNamed(status, status.Membership, string(daemon))
	if len(nodes) > 0 && !slices.Contains(nodes, described.Node) {
		return structs.NewError(structs.ErrorConflict,
			fmt.Sprintf("daemon %s is already a member, as node %v", daemon, nodes),
			"Nothing needs to be added: a daemon with an empty data folder replaces its lost identity by itself.")
	}
	if len(described.Voters) > 0 {
		return structs.NewError(structs.ErrorConflict,
			fmt.Sprintf("daemon %s holds node %d of a membership that this group has not", daemon, described.Node),
			"Stop it, move its store of the group away, and start it again.")
	}
	return checkNoRepair(name, status, string(daemon))
}

// removeDaemon removes every identity of a daemon. It refuses a removal that would
// leave the other voters without an active majority, and one during a repair.
func (m *memberNode) removeDaemon(ctx context.Context, status group.Status, nodes []raft.NodeID) error {
	if len(nodes) == 0 {
		return m.confirmLeadership(ctx)
	}
	for _, learner := range status.Membership.Learners {
		if !slices.Contains(nodes, learner) {
			return repairInProgressError(m.name, status.Names[learner])
		}
	}
	for _, node := range nodes {
		if status.Membership.HasVoter(node) {
			if err := checkRemaining(status, node); err != nil {
				return err
			}
		}
		if err := m.group.Remove(ctx, group.Member{Node: node}); err != nil {
			return err
		}
	}
	return nil
}

func checkRemaining(status group.Status, removed raft.NodeID) error {
	active, remaining := 0, 0
	for _, voter := range status.Membership.Voters {
		if voter == removed {
			continue
		}
		remaining++
		if voter == status.Node || status.Progress[voter].Active {
			active++
		}
	}
	if active > remaining/2 {
		return nil
	}
	return structs.NewError(structs.ErrorConflict,
		fmt.Sprintf("after the removal only %d of %d voters would answer", active, remaining),
		"Start or replace the inactive voters first.")
}

func (m *memberNode) promoteDaemon(ctx context.Context, status group.Status, daemon structs.DaemonID, nodes []raft.NodeID) error {
	if len(nodes) == 0 {
		return structs.NewError(structs.ErrorNotFound, "daemon "+string(daemon)+" is no member of group "+m.name,
			"Add it with `lotusferryctl member add`.")
	}
	for _, node := range nodes {
		if !status.Membership.HasLearner(node) {
			continue
		}
		if !status.Progress[node].CaughtUp {
			return repairInProgressError(m.name, string(daemon))
		}
		return m.promote(ctx, status, node)
	}
	return m.confirmLeadership(ctx)
}

// confirmLeadership returns nil if a read confirms that this member still leads. A
// deposed leader cannot know whether a change has already been made.
func (m *memberNode) confirmLeadership(ctx context.Context) error { return m.group.Read(ctx) }

// list returns the membership as seen by this leader.
func (m *memberNode) list() operatorapi.GroupMembers {
	status := m.group.Status()
	listed := operatorapi.GroupMembers{Group: m.name, Term: status.Term, Applied: status.AppliedIndex}
	for _, member := range status.Members(slices.Concat(status.Membership.Voters, status.Membership.Learners)) {
		progress := status.Progress[member.Node]
		own := member.Node == status.Node
		if own {
			progress.Match = status.AppliedIndex
		}
		listed.Members = append(listed.Members, operatorapi.MemberStatus{
			Daemon:  structs.DaemonID(member.Name),
			Node:    uint64(member.Node),
			Address: member.Address,
			Voter:   status.Membership.HasVoter(member.Node),
			Leader:  member.Node == status.LeaderNode,
			Active:  own || progress.Active,
			Match:   progress.Match,
		})
	}
	return listed
}
