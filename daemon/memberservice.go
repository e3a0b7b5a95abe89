package daemon

import (
	"context"

	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/structs"
)

// MemberService is the net/rpc service for the membership of this daemon's groups.
type MemberService struct {
	daemon structs.DaemonID
	// nodes is not modified once the server serves.
	nodes map[string]*memberNode
}

func (s *MemberService) node(name string) (*memberNode, *structs.Error) {
	found := s.nodes[name]
	if found == nil {
		return nil, structs.NewError(structs.ErrorNotFound,
			"daemon "+string(s.daemon)+" has no member of group "+name,
			"List the daemon as a controller of the zone, or as a global voter, in its own settings.")
	}
	return found, nil
}

// Describe returns the state of this daemon's member of a group.
func (s *MemberService) Describe(arguments DescribeArguments, reply *DescribeReply) error {
	node, refusal := s.node(arguments.Group)
	if refusal != nil {
		reply.Error = refusal
		return nil
	}
	status := node.group.Status()
	reply.Daemon = s.daemon
	reply.Node = status.Node
	reply.Voters = status.Members(status.CommittedMembership.Voters)
	reply.Learners = status.Members(status.CommittedMembership.Learners)
	return nil
}

// Found makes this daemon's member an initial voter of a new group. It fails if the
// member has ever belonged to a group.
func (s *MemberService) Found(arguments FoundArguments, reply *MemberReply) error {
	reply.Error = s.run(arguments.Group, func(ctx context.Context, node *memberNode) error {
		return node.group.Found(ctx, arguments.Members)
	})
	return nil
}

// Join replaces the lost identity of a daemon. Only the leader accepts it.
func (s *MemberService) Join(arguments JoinArguments, reply *MemberReply) error {
	reply.Error = s.run(arguments.Group, func(ctx context.Context, node *memberNode) error {
		return node.admit(ctx, arguments.Member)
	})
	return nil
}

// List returns the membership as seen by the leader.
func (s *MemberService) List(arguments DescribeArguments, reply *MemberListReply) error {
	reply.Error = s.run(arguments.Group, func(ctx context.Context, node *memberNode) error {
		if err := node.group.Read(ctx); err != nil {
			return err
		}
		reply.Members = node.list()
		return nil
	})
	return nil
}

// Backup returns a snapshot of the group. Only the leader accepts it.
func (s *MemberService) Backup(arguments DescribeArguments, reply *SaveReply) error {
	reply.Error = s.run(arguments.Group, func(ctx context.Context, node *memberNode) error {
		snapshot, err := node.group.Backup(ctx)
		reply.Snapshot = snapshot
		reply.Identity = logstore.Identity{Group: arguments.Group, Daemon: s.daemon, Node: node.own.Node}
		return err
	})
	return nil
}

// Change carries out an operator's change. Only the leader accepts it.
func (s *MemberService) Change(arguments MemberChangeArguments, reply *MemberReply) error {
	reply.Error = s.run(arguments.Change.Group, func(ctx context.Context, node *memberNode) error {
		return node.change(ctx, arguments.Change)
	})
	return nil
}

// run calls act with this daemon's member of the named group, and a timeout of
// proposeTimeout.
func (s *MemberService) run(name string, act func(context.Context, *memberNode) error) *structs.Error {
	node, refusal := s.node(name)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return structs.AsTyped(act(ctx, node))
}
