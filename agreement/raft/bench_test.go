package raft

import (
	"math/rand/v2"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// trio is three nodes whose messages arrive at once and whose disks cost nothing.
type trio [3]*Node

func newTrio(b *testing.B) *trio {
	var nodes trio
	for i := range nodes {
		config := Config{ID: NodeID(i + 1), ElectionTicks: 10, HeartbeatTicks: 1, Random: rand.New(rand.NewPCG(1, uint64(i)))}
		node, err := New(config, Restored{Snapshot: Snapshot{Membership: Membership{Voters: []NodeID{1, 2, 3}}}})
		qt.Assert(b, err, qt.IsNil)
		nodes[i] = node
	}
	nodes[0].startElection(false)
	nodes.settle(b)
	qt.Assert(b, nodes[0].LeaseValid(), qt.IsTrue)
	return &nodes
}

// settle does all work until there is none.
func (nodes *trio) settle(b *testing.B) {
	for busy := true; busy; {
		busy = false
		for _, node := range nodes {
			if !node.HasReady() {
				continue
			}
			busy = true
			for _, message := range node.Ready().Messages {
				if err := nodes[message.To-1].Step(message); err != nil {
					b.Fatal(err)
				}
			}
			node.Advance()
		}
	}
}

func BenchmarkProposeToCommit(b *testing.B) {
	for _, batch := range []int{1, 64, 1024} {
		b.Run("batch="+strconv.Itoa(batch), func(b *testing.B) {
			nodes := newTrio(b)
			data := make([]byte, 128)
			b.ReportAllocs()
			for proposed := 0; proposed < b.N; {
				for range min(batch, b.N-proposed) {
					if _, _, err := nodes[0].Propose(data); err != nil {
						b.Fatal(err)
					}
					proposed++
				}
				nodes.settle(b)
				if nodes[2].log.applied-nodes[2].log.base > 1<<14 {
					nodes.compact(b)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

func (nodes *trio) compact(b *testing.B) {
	for _, node := range nodes {
		term, _ := node.log.term(node.log.applied)
		snapshot := Snapshot{Index: node.log.applied, Term: term, Membership: node.MembershipAt(node.log.applied)}
		qt.Assert(b, node.Compact(snapshot), qt.IsNil)
	}
}

// BenchmarkIdleTick is one tick of a whole idle group with a heartbeat a tick.
func BenchmarkIdleTick(b *testing.B) {
	nodes := newTrio(b)
	b.ReportAllocs()
	for b.Loop() {
		for _, node := range nodes {
			node.Tick()
		}
		nodes.settle(b)
	}
	qt.Assert(b, nodes[0].LeaseValid(), qt.IsTrue)
}

func BenchmarkReadIndex(b *testing.B) {
	nodes := newTrio(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := nodes[0].ReadIndex(1); err != nil {
			b.Fatal(err)
		}
		nodes.settle(b)
	}
}
