package domainnode

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
)

// Guards against a member that was removed while it was down, catches up before it first looks at the membership, and stays
// outside the group for ever.
func TestRemovalIsNoticedAfterCatchingUp(t *testing.T) {
	with, without := raft.Membership{Voters: []raft.NodeID{1, 2}, Learners: []raft.NodeID{7}}, raft.Membership{Voters: []raft.NodeID{1, 2}}
	for _, test := range []struct {
		name   string
		known  *member
		status group.Status
		want   bool
	}{
		{"listed now", &member{wasListed: true, listedAt: 4}, group.Status{CommittedMembership: with, MembershipIndex: 4, AppliedIndex: 9}, false},
		{"removed while it was down", &member{wasListed: true, listedAt: 4}, group.Status{CommittedMembership: without, MembershipIndex: 8, AppliedIndex: 9}, true},
		{"the removal is not committed", &member{wasListed: true, listedAt: 4}, group.Status{CommittedMembership: without, MembershipIndex: 8, AppliedIndex: 7}, false},
		{"its joining is not committed", &member{wasListed: true, listedAt: 4}, group.Status{CommittedMembership: without, MembershipIndex: 4, AppliedIndex: 3}, false},
		{"a new one that catches up", &member{}, group.Status{CommittedMembership: without, MembershipIndex: 8, AppliedIndex: 9}, false},
		{"seen listed, then removed", &member{wasMember: true}, group.Status{CommittedMembership: without, MembershipIndex: 8, AppliedIndex: 9}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.status.Node = 7
			qt.Assert(t, (&Node{}).isRemoved(test.known, test.status), qt.Equals, test.want)
		})
	}
}
