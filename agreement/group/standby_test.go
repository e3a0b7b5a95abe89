package group

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

func TestStandbyTransfersOnlyToStableUpToDateVoter(t *testing.T) {
	const electionTicks = 10
	const enough = stableElectionTimeouts * electionTicks
	upToDate := raft.Progress{Active: true, Match: 1000}
	behind := raft.Progress{Active: true, Match: 1000 - maxMessageEntries - 1}
	inactive := raft.Progress{Match: 1000}
	for _, test := range []struct {
		name string
		// Node 1 is the leader; nodes 2 and 3 are the other voters.
		standbys []raft.NodeID
		role     raft.Role
		progress map[raft.NodeID]raft.Progress
		ticks    int
		target   raft.NodeID
	}{
		{"long enough", []raft.NodeID{1}, raft.Leader, map[raft.NodeID]raft.Progress{2: upToDate, 3: inactive}, enough, 2},
		{"not long enough", []raft.NodeID{1}, raft.Leader, map[raft.NodeID]raft.Progress{2: upToDate, 3: upToDate}, enough - 1, raft.None},
		{"behind", []raft.NodeID{1}, raft.Leader, map[raft.NodeID]raft.Progress{2: behind, 3: behind}, enough, raft.None},
		{"inactive", []raft.NodeID{1}, raft.Leader, map[raft.NodeID]raft.Progress{2: inactive, 3: inactive}, enough, raft.None},
		{"leader is not a standby", []raft.NodeID{3}, raft.Leader, map[raft.NodeID]raft.Progress{2: upToDate, 3: upToDate}, enough, raft.None},
		{"follower", []raft.NodeID{1}, raft.Follower, nil, enough, raft.None},
		{"other standby is skipped", []raft.NodeID{1, 2}, raft.Leader, map[raft.NodeID]raft.Progress{2: upToDate, 3: upToDate}, enough, 3},
		{"only standbys", []raft.NodeID{1, 2, 3}, raft.Leader, map[raft.NodeID]raft.Progress{2: upToDate, 3: upToDate}, enough, raft.None},
	} {
		t.Run(test.name, func(t *testing.T) {
			status := raft.Status{
				ID: 1, Role: test.role, Commit: 1000, Progress: test.progress,
				Membership: raft.Membership{Voters: []raft.NodeID{1, 2, 3}},
			}
			isStandby := func(node raft.NodeID) bool { return slices.Contains(test.standbys, node) }
			decided := standbyState{}
			target := raft.None
			for range test.ticks {
				target = decided.tick(status, electionTicks, isStandby)
			}
			qt.Assert(t, target, qt.Equals, test.target)
		})
	}
}

func TestStabilityRestartsAfterInactivityAndTransfer(t *testing.T) {
	const electionTicks = 10
	status := raft.Status{
		ID: 1, Role: raft.Leader, Membership: raft.Membership{Voters: []raft.NodeID{1, 2}},
		Progress: map[raft.NodeID]raft.Progress{2: {Active: true}},
	}
	isStandby := func(node raft.NodeID) bool { return node == 1 }
	decided := standbyState{}
	var transfers []int
	for tick := range 8 * electionTicks {
		// Inactive once, on the last tick before the first transfer.
		status.Progress[2] = raft.Progress{Active: tick != stableElectionTimeouts*electionTicks-1}
		if decided.tick(status, electionTicks, isStandby) == 2 {
			transfers = append(transfers, tick)
		}
	}
	qt.Assert(t, transfers, qt.DeepEquals, []int{59})
}
