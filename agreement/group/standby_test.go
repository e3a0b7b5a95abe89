package group

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

func TestStandbyHandsOverOnlyToASteadyMemberThatHasTheLog(t *testing.T) {
	const electionTicks = 10
	const enough = steadyElections * electionTicks
	fit := raft.Progress{Active: true, Match: 1000}
	behind := raft.Progress{Active: true, Match: 1000 - maxMessageEntries - 1}
	silent := raft.Progress{Match: 1000}
	for _, test := range []struct {
		name string
		// of node 1, the leader, node 2 and node 3
		standbys []raft.NodeID
		role     raft.Role
		progress map[raft.NodeID]raft.Progress
		ticks    int
		target   raft.NodeID
	}{
		{"long enough", []raft.NodeID{1}, raft.Leader, map[raft.NodeID]raft.Progress{2: fit, 3: silent}, enough, 2},
		{"not long enough", []raft.NodeID{1}, raft.Leader, map[raft.NodeID]raft.Progress{2: fit, 3: fit}, enough - 1, raft.None},
		{"behind", []raft.NodeID{1}, raft.Leader, map[raft.NodeID]raft.Progress{2: behind, 3: behind}, enough, raft.None},
		{"silent", []raft.NodeID{1}, raft.Leader, map[raft.NodeID]raft.Progress{2: silent, 3: silent}, enough, raft.None},
		{"no standby itself", []raft.NodeID{3}, raft.Leader, map[raft.NodeID]raft.Progress{2: fit, 3: fit}, enough, raft.None},
		{"follower", []raft.NodeID{1}, raft.Follower, nil, enough, raft.None},
		{"other standby passed over", []raft.NodeID{1, 2}, raft.Leader, map[raft.NodeID]raft.Progress{2: fit, 3: fit}, enough, 3},
		{"none but standbys", []raft.NodeID{1, 2, 3}, raft.Leader, map[raft.NodeID]raft.Progress{2: fit, 3: fit}, enough, raft.None},
	} {
		t.Run(test.name, func(t *testing.T) {
			status := raft.Status{
				ID: 1, Role: test.role, Commit: 1000, Progress: test.progress,
				Membership: raft.Membership{Voters: []raft.NodeID{1, 2, 3}},
			}
			isStandby := func(node raft.NodeID) bool { return slices.Contains(test.standbys, node) }
			decided := standbys{}
			target := raft.None
			for range test.ticks {
				target = decided.tick(status, electionTicks, isStandby)
			}
			qt.Assert(t, target, qt.Equals, test.target)
		})
	}
}

func TestSteadinessBeginsAgainAfterSilenceAndAfterAHandOver(t *testing.T) {
	const electionTicks = 10
	status := raft.Status{
		ID: 1, Role: raft.Leader, Membership: raft.Membership{Voters: []raft.NodeID{1, 2}},
		Progress: map[raft.NodeID]raft.Progress{2: {Active: true}},
	}
	isStandby := func(node raft.NodeID) bool { return node == 1 }
	decided := standbys{}
	var handed []int
	for tick := range 8 * electionTicks {
		// Silent once, just before it has been steady for long enough.
		status.Progress[2] = raft.Progress{Active: tick != steadyElections*electionTicks-1}
		if decided.tick(status, electionTicks, isStandby) == 2 {
			handed = append(handed, tick)
		}
	}
	qt.Assert(t, handed, qt.DeepEquals, []int{59})
}
