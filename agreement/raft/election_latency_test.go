package raft

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// ticksToLeader runs the cluster until a member other than the former leader leads, and
// returns the ticks taken. The test fails after limit ticks.
func (c *cluster) ticksToLeader(t *testing.T, former NodeID, limit int) int {
	t.Helper()
	for count := range limit {
		for _, m := range c.members {
			if m.node != nil && m.node.Role() == Leader && m.id != former {
				return count
			}
		}
		c.ticks(1)
	}
	t.Fatalf("no leader after %d ticks", limit)
	return limit
}

// Voters that lose their leader or restart together campaign one after the other, so
// that elections rarely split.
func TestElectionLatency(t *testing.T) {
	for _, test := range []struct {
		name string
		// disturb returns the former leader if it may still consider itself leader.
		disturb func(c *cluster) NodeID
	}{
		{"leader isolated", func(c *cluster) NodeID {
			leader := c.leader().id
			c.isolate(leader, true)
			return leader
		}},
		{"leader stopped", func(c *cluster) NodeID {
			c.stop(c.leader())
			return None
		}},
		{"all restarted", func(c *cluster) NodeID {
			for _, m := range c.members {
				c.stop(m)
				c.start(m)
			}
			return None
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			const seeds = 100
			total := 0
			for seed := range uint64(seeds) {
				c := newCluster(seed, 3, 0)
				c.ticks(60)
				took := c.ticksToLeader(t, test.disturb(c), 60)
				total += took
				// Two stagger periods, the ticks of pre-vote and vote, and late heartbeats.
				qt.Check(t, took <= 10+2*staggerTicks+6, qt.IsTrue, qt.Commentf("seed %d took %d ticks", seed, took))
			}
			qt.Check(t, total <= seeds*16, qt.IsTrue, qt.Commentf("%d ticks in all", total))
		})
	}
}
