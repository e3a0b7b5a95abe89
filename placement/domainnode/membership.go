package domainnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	membershipInterval = 100 * time.Millisecond
	describeTimeout    = 500 * time.Millisecond
	changeTimeout      = 2 * time.Second
	// replaceAfter is how long a voter must be silent before a learner that has the
	// whole log takes its place.
	replaceAfter = 1500 * time.Millisecond
	// replaceStoppedAfter is the same for a voter that announced its stop.
	replaceStoppedAfter = 1200 * time.Millisecond
	// forgetAfter is how long a learner must be silent before it is removed.
	forgetAfter = 10 * time.Second
	// lostAfter is how long a member hears of no leader before it asks the others
	// whether it was removed.
	lostAfter = 2 * time.Second
)

// membershipLoop brings the member into its group, keeps the group whole while the
// member leads, and finds out when the group has removed it.
func (n *Node) membershipLoop(ctx context.Context, stop func(), joined *member) {
	n.enter(ctx, joined)
	keeper := newKeeper(n, joined)
	leaderSeen := n.now()
	for pause.For(ctx, membershipInterval) {
		n.refreshAddresses()
		status := joined.group.Status()
		switch {
		case n.isRemoved(joined, status):
			joined.removed = true
			stop()
			return
		case status.IsLeader:
			leaderSeen = n.now()
			n.learnMembers(status)
			keeper.keep(ctx, status)
		case status.LeaderNode != raft.None:
			leaderSeen = n.now()
			n.learnMembers(status)
		case n.now().Sub(leaderSeen) > lostAfter:
			leaderSeen = n.now()
			if n.wasRemoved(ctx, status) {
				joined.removed = true
				stop()
				return
			}
		}
	}
}

// isRemoved reports whether the member's own log holds its removal. A member that is
// still receiving the log may see memberships from before it joined, so that one that
// does not list it counts only after one that did.
func (n *Node) isRemoved(joined *member, status group.Status) bool {
	committed := status.CommittedMembership
	switch {
	case status.Held || len(committed.Voters) == 0:
		return false
	case committed.Has(status.Node):
		joined.wasMember = true
		return false
	}
	return joined.wasMember
}

// enter tries until the member takes part. What it waits for is logged on change.
func (n *Node) enter(ctx context.Context, joined *member) {
	waits := ""
	for joined.group.Status().Held && ctx.Err() == nil {
		err := n.enterOnce(ctx, joined)
		if err == nil {
			level.Info(n.logger).Log("msg", "The member takes part.", "node", joined.self.Node)
			return
		}
		if err.Error() != waits {
			waits = err.Error()
			level.Warn(n.logger).Log("msg", "The member does not take part yet.", "node", joined.self.Node, "reason", waits)
		}
		pause.For(ctx, membershipInterval)
		n.refreshAddresses()
	}
}

// enterOnce looks for the group among the known controllers. It enters one that
// exists, and founds one only if the settings allow it and every other seed has said
// that it belongs to none: behind silence may be a group that this member voted in
// before it lost its disk.
func (n *Node) enterOnce(ctx context.Context, joined *member) error {
	replies, silent := n.describeOthers(ctx)
	for _, reply := range replies {
		if len(reply.Voters) == 0 {
			continue
		}
		if slices.ContainsFunc(reply.Voters, func(voter group.Member) bool { return voter.Node == joined.self.Node }) && reply.Applied == 0 {
			// The node never took part, so it has no vote to forget.
			return joined.group.Found(ctx, reply.Voters)
		}
		return n.join(ctx, joined)
	}
	seeds := slices.Sorted(slices.Values(n.options.Seeds()))
	switch {
	case !n.options.Bootstrap:
		return structs.NewError(structs.ErrorUnavailable, "no controller that answers belongs to the group",
			"Start the others. Only at the first start of the whole domain may the settings allow to found it.")
	case len(seeds) == 0 || seeds[0] != n.options.Address:
		return structs.NewError(structs.ErrorUnavailable, "the group is not founded yet",
			"Start the controller that the seeds list first in order.")
	case len(silent) > 0:
		return structs.NewError(structs.ErrorUnavailable, "the group is founded once all seeds answer",
			"Start all seeds.")
	}
	return n.found(ctx, joined, seeds, replies)
}

// found gives every other seed the founding members before this one takes them.
func (n *Node) found(ctx context.Context, joined *member, seeds []string, replies []domainapi.DescribeReply) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	members := []group.Member{joined.self}
	for _, reply := range replies {
		if slices.Contains(seeds, reply.Member.Address) {
			members = append(members, reply.Member)
		}
	}
	for _, other := range members[1:] {
		reply := newReply()
		err := n.client.Call(ctx, other.Address, domainapi.MethodFound, domainapi.FoundArguments{Members: members}, reply)
		if err == nil {
			err = structs.AsError(reply.Error)
		}
		if err != nil {
			return err
		}
	}
	if err := joined.group.Found(ctx, members); err != nil {
		return err
	}
	level.Info(n.logger).Log("msg", "The group is founded.", "members", len(members))
	return nil
}

// join asks the leader to add the member as a learner.
func (n *Node) join(ctx context.Context, joined *member) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	arguments := domainapi.JoinArguments{Member: joined.self}
	if _, err := leadercall.Call(ctx, n.caller, domainapi.MethodJoin, arguments, newReply); err != nil {
		return err
	}
	return joined.group.Admit(ctx)
}

// describeOthers asks the other known controllers about the group, all at once.
// silent lists those that did not answer.
func (n *Node) describeOthers(ctx context.Context) (replies []domainapi.DescribeReply, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	var mutex sync.Mutex
	var asking sync.WaitGroup
	for _, address := range n.caller.Addresses() {
		if address == n.options.Address {
			continue
		}
		asking.Go(func() {
			reply := domainapi.DescribeReply{}
			err := n.client.Call(ctx, address, domainapi.MethodDescribe, domainapi.DescribeArguments{}, &reply)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil || reply.Error != nil {
				silent = append(silent, address)
				return
			}
			replies = append(replies, reply)
		})
	}
	asking.Wait()
	return replies, silent
}

// wasRemoved reports whether another member that has a leader, and has applied all
// that this one knows of the membership, lists this node no more.
func (n *Node) wasRemoved(ctx context.Context, own group.Status) bool {
	replies, _ := n.describeOthers(ctx)
	for _, reply := range replies {
		isNewer := reply.Applied >= max(own.MembershipIndex, own.AppliedIndex)
		if reply.HasLeader && isNewer && len(reply.Committed.Voters) > 0 && !reply.Committed.Has(own.Node) {
			return true
		}
	}
	return false
}

// keeper changes the membership while its member leads.
type keeper struct {
	node   *Node
	joined *member
	// silentSince is since when each member has not answered.
	silentSince map[raft.NodeID]time.Time
	term        uint64
}

func newKeeper(node *Node, joined *member) *keeper {
	return &keeper{node: node, joined: joined, silentSince: make(map[raft.NodeID]time.Time)}
}

// keep makes the one change, if any, that brings the group closest to being whole.
func (k *keeper) keep(ctx context.Context, status group.Status) {
	k.observe(status)
	if status.AppliedIndex < status.MembershipIndex || !status.LeaseValid {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	change, err := k.change(ctx, status)
	if change != "" {
		k.node.metrics.membership.WithLabelValues(change).Inc()
		level.Info(k.node.logger).Log("msg", "The membership was changed.", "change", change,
			"voters", len(status.Membership.Voters), "learners", len(status.Membership.Learners), "err", err)
	}
}

func (k *keeper) observe(status group.Status) {
	if k.term != status.Term {
		k.term = status.Term
		clear(k.silentSince)
	}
	at := k.node.now()
	for _, id := range slices.Concat(status.Membership.Voters, status.Membership.Learners) {
		if id == status.Node || status.Progress[id].Active {
			delete(k.silentSince, id)
		} else if _, known := k.silentSince[id]; !known {
			k.silentSince[id] = at
		}
	}
}

func (k *keeper) silentFor(id raft.NodeID) time.Duration {
	since, isSilent := k.silentSince[id]
	if !isSilent {
		return 0
	}
	return k.node.now().Sub(since)
}

func (k *keeper) change(ctx context.Context, status group.Status) (string, error) {
	for _, learner := range status.Membership.Learners {
		if !status.Progress[learner].CaughtUp || k.silentFor(learner) > 0 {
			continue
		}
		if change, err := k.useLearner(ctx, status, learner); change != "" {
			return change, err
		}
	}
	for _, learner := range status.Membership.Learners {
		if k.silentFor(learner) > forgetAfter {
			return "forget learner", k.joined.group.Remove(ctx, group.Member{Node: learner})
		}
	}
	return "", nil
}

// useLearner puts a learner in the place of a voter that is lost, or adds it as a
// voter when there are too few.
func (k *keeper) useLearner(ctx context.Context, status group.Status, learner raft.NodeID) (string, error) {
	if len(status.Membership.Voters) < k.node.options.Voters {
		return "promote", k.joined.group.Promote(ctx, group.Member{Node: learner})
	}
	for _, voter := range status.Membership.Voters {
		if voter == status.Node || k.silentFor(voter) == 0 {
			continue
		}
		isSame := status.Names[voter] == status.Names[learner]
		limit := replaceAfter
		if k.joined.isStopping(voter) {
			limit = replaceStoppedAfter
		}
		if !isSame && k.silentFor(voter) < limit || !k.hasMajorityWithout(status, voter) {
			continue
		}
		if err := k.joined.group.Remove(ctx, group.Member{Node: voter}); err != nil {
			return "remove voter", err
		}
		return "replace voter", k.joined.group.Promote(ctx, group.Member{Node: learner})
	}
	return "", nil
}

// hasMajorityWithout reports whether the other voters reach a majority among
// themselves without the one removed.
func (k *keeper) hasMajorityWithout(status group.Status, removed raft.NodeID) bool {
	remaining, active := 0, 0
	for _, voter := range status.Membership.Voters {
		if voter == removed {
			continue
		}
		remaining++
		if voter == status.Node || k.silentFor(voter) == 0 {
			active++
		}
	}
	return active > remaining/2
}

// isStopping reports whether a member announced its planned stop lately.
func (m *member) isStopping(node raft.NodeID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.leadership != nil && m.leadership.isStopping(node)
}
