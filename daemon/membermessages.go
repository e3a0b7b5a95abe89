package daemon

import (
	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	methodMemberDescribe = "Member.Describe"
	methodMemberFound    = "Member.Found"
	methodMemberJoin     = "Member.Join"
	methodMemberList     = "Member.List"
	methodMemberChange   = "Member.Change"
	methodMemberBackup   = "Member.Backup"
)

type DescribeArguments struct {
	Group string
}

// DescribeReply describes a daemon's member and its group. Voters and Learners are
// those of the committed membership, and are empty if the member belongs to no group
// yet.
type DescribeReply struct {
	Daemon   structs.DaemonID
	Node     raft.NodeID
	Voters   []group.Member
	Learners []group.Member
	Error    *structs.Error
}

// FoundArguments lists the initial voters of a new group.
type FoundArguments struct {
	Group   string
	Members []group.Member
}

// JoinArguments asks the leader to replace the lost identity of a daemon by a new one.
type JoinArguments struct {
	Group  string
	Member group.Member
}

// MemberChangeArguments carries an operator's change to the leader.
type MemberChangeArguments struct {
	Change operatorapi.MemberChange
}

// MemberReply acknowledges a change.
type MemberReply struct {
	Error *structs.Error
}

// MemberListReply is the leader's view of its group.
type MemberListReply struct {
	Members operatorapi.GroupMembers
	Error   *structs.Error
}

func (r *MemberReply) Failure() *structs.Error     { return r.Error }
func (r *MemberListReply) Failure() *structs.Error { return r.Error }
