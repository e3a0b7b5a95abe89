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
	// replaceAfter is how long a voter must be unresponsive before a caught-up learner replaces it.
	replaceAfter = 1500 * time.Millisecond
	// replaceStoppedAfter is the same for a voter that announced its stop.
	replaceStoppedAfter = 1200 * time.Millisecond
	// removeLearnerAfter is how long a learner must be unresponsive before it is removed.
	removeLearnerAfter = 10 * time.Second
	// noLeaderTimeout is how long a member sees no leader before it asks the other members
	// whether it was removed.
	noLeaderTimeout = 2 * time.Second
)

// membershipLoop brings the member into the group, manages the membership while the member
// leads, and calls stop when the group has removed the member.
func (n *Node) membershipLoop(ctx context.Context, stop func(), m *member) {
	n.enterGroup(ctx, m)
	manager := newMembershipManager(n, m)
	leaderSeen := n.now()
	for pause.For(ctx, membershipInterval) {
		n.refreshAddresses()
		status := m.group.Status()
		switch {
		case n.isRemoved(m, status):
			m.removed = true
			stop()
			return
		case status.IsLeader:
			leaderSeen = n.now()
			n.setKnownAddresses(status)
			manager.reconcile(ctx, status)
		case status.LeaderNode != raft.None:
			leaderSeen = n.now()
			n.setKnownAddresses(status)
		case n.now().Sub(leaderSeen) > noLeaderTimeout:
			leaderSeen = n.now()
			if n.wasRemoved(ctx, status) {
				m.removed = true
				stop()
				return
			}
		}
	}
}

// isRemoved reports whether the member's own log contains its removal. A member that is
// catching up may see memberships from before it joined, so a membership without it counts
// only after one that listed it.
func (n *Node) isRemoved(m *member, status group.Status) bool {
	committed := status.CommittedMembership
	switch {
	case status.Held || len(committed.Voters) == 0:
		return false
	case committed.Has(status.Node):
		m.wasMember = true
		return false
	}
	// A member that was removed while it was down may have caught up before this first looked.
	isLaterOne := status.MembershipIndex > m.listedAt && status.AppliedIndex >= status.MembershipIndex
	return m.wasMember || m.wasListed && isLaterOne
}

// enterGroup retries until the member has entered the group. It logs the reason for waiting
// when that changes.
func (n *Node) enterGroup(ctx context.Context, m *member) {
	waits := ""
	for m.group.Status().Held && ctx.Err() == nil {
		err := n.tryEnterGroup(ctx, m)
		if err == nil {
			level.Info(n.logger).Log("msg", "The member takes part.", "node", m.self.Node)
			return
		}
		if err.Error() != waits {
			waits = err.Error()
			level.Warn(n.logger).Log("msg", "The member does not take part yet.", "node", m.self.Node, "reason", waits)
		}
		pause.For(ctx, membershipInterval)
		n.refreshAddresses()
	}
}

// tryEnterGroup joins the group of the known controllers. If there is none, it bootstraps one
// only if the settings allow it and every other seed has replied that it belongs to no group:
// an unreachable seed may be in a group in which this member voted before it lost its disk.
func (n *Node) tryEnterGroup(ctx context.Context, m *member) error {
	replies, silent := n.describeOthers(ctx)
	for _, reply := range replies {
		if len(reply.Voters) == 0 {
			continue
		}
		if slices.ContainsFunc(reply.Voters, func(voter group.Member) bool { return voter.Node == m.self.Node }) && reply.Applied == 0 {
			// The node has never participated, so it has no lost vote.
			return m.group.Found(ctx, reply.Voters)
		}
		return n.join(ctx, m)
	}
	seeds := slices.Sorted(slices.Values(n.options.Seeds()))
	switch {
	case !n.options.Bootstrap:
		return structs.NewError(structs.ErrorUnavailable, "no reachable controller belongs to a group",
			"Start the other controllers. Enable bootstrap only for the first start of the whole domain.")
	case len(seeds) == 0 || seeds[0] != n.options.Address:
		return structs.NewError(structs.ErrorUnavailable, "the group is not bootstrapped yet",
			"Start the seed whose address sorts first.")
	case len(silent) > 0:
		return structs.NewError(structs.ErrorUnavailable, "bootstrap waits for all seeds to respond",
			"Start all seeds.")
	}
	return n.bootstrap(ctx, m, seeds, replies)
}

// bootstrap distributes the initial members to every other seed before applying them locally.
func (n *Node) bootstrap(ctx context.Context, m *member, seeds []string, replies []domainapi.DescribeReply) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	members := []group.Member{m.self}
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
	if err := m.group.Found(ctx, members); err != nil {
		return err
	}
	level.Info(n.logger).Log("msg", "The group is founded.", "members", len(members))
	return nil
}

// join asks the leader to add the member as a learner.
func (n *Node) join(ctx context.Context, m *member) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	arguments := domainapi.JoinArguments{Member: m.self}
	if _, err := leadercall.Call(ctx, n.caller, domainapi.MethodJoin, arguments, newReply); err != nil {
		return err
	}
	return m.group.Admit(ctx)
}

// describeOthers queries the other known controllers concurrently. silent lists the
// addresses that failed to reply.
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

// wasRemoved reports whether another member that has a leader and is at least as up to date
// no longer lists this node.
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

// membershipManager changes the group's membership while its member leads.
type membershipManager struct {
	node   *Node
	member *member
	// silentSince holds when each unresponsive member stopped responding.
	silentSince map[raft.NodeID]time.Time
	term        uint64
}

func newMembershipManager(node *Node, m *member) *membershipManager {
	return &membershipManager{node: node, member: m, silentSince: make(map[raft.NodeID]time.Time)}
}

// reconcile makes at most one membership change towards the configured number of
// responsive voters.
func (k *membershipManager) reconcile(ctx context.Context, status group.Status) {
	k.observe(status)
	if status.AppliedIndex < status.MembershipIndex || !status.LeaseValid {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	change, err := k.changeMembership(ctx, status)
	if change != "" {
		k.node.metrics.membership.WithLabelValues(change).Inc()
		level.Info(k.node.logger).Log("msg", "A membership change was attempted.", "change", change,
			"voters", len(status.Membership.Voters), "learners", len(status.Membership.Learners), "err", err)
	}
}

func (k *membershipManager) observe(status group.Status) {
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

func (k *membershipManager) silentFor(id raft.NodeID) time.Duration {
	since, isSilent := k.silentSince[id]
	if !isSilent {
		return 0
	}
	return k.node.now().Sub(since)
}

func (k *membershipManager) changeMembership(ctx context.Context, status group.Status) (string, error) {
	for _, learner := range status.Membership.Learners {
		if !status.Progress[learner].CaughtUp || k.silentFor(learner) > 0 {
			continue
		}
		if change, err := k.promoteLearner(ctx, status, learner); change != "" {
			return change, err
		}
	}
	for _, learner := range status.Membership.Learners {
		if k.silentFor(learner) > removeLearnerAfter {
			return "forget learner", k.member.group.Remove(ctx, group.Member{Node: learner})
		}
	}
	return "", nil
}

// promoteLearner replaces an unresponsive voter by a learner, or promotes the learner if
// there are too few voters.
func (k *membershipManager) promoteLearner(ctx context.Context, status group.Status, learner raft.NodeID) (string, error) {
	if len(status.Membership.Voters) < k.node.options.Voters {
		return "promote", k.member.group.Promote(ctx, group.Member{Node: learner})
	}
	for _, voter := range status.Membership.Voters {
		if voter == status.Node || k.silentFor(voter) == 0 {
			continue
		}
		isSame := status.Names[voter] == status.Names[learner]
		limit := replaceAfter
		if k.member.isStopping(voter) {
			limit = replaceStoppedAfter
		}
		if !isSame && k.silentFor(voter) < limit || !k.hasMajorityWithout(status, voter) {
			continue
		}
		if err := k.member.group.Remove(ctx, group.Member{Node: voter}); err != nil {
			return "remove voter", err
		}
		return "replace voter", k.member.group.Promote(ctx, group.Member{Node: learner})
	}
	return "", nil
}

// hasMajorityWithout reports whether a majority of the voters other than removed is responsive.
func (k *membershipManager) hasMajorityWithout(status group.Status, removed raft.NodeID) bool {
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

// isStopping reports whether a member recently announced a planned stop.
func (m *member) isStopping(node raft.NodeID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.leadership != nil && m.leadership.isStopping(node)
}
