package raft

import (
	"math/rand/v2"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// benchmarkCluster is three nodes with immediate message delivery and no storage cost.
type benchmarkCluster [3]*Node

func newBenchmarkCluster(b *testing.B) *benchmarkCluster {
	var nodes benchmarkCluster
	for i := range nodes {
		config := Config{ID: NodeID(i + 1), ElectionTicks: 10, HeartbeatTicks: 1, Random: rand.New(rand.NewPCG(1, uint64(i)))}
		node, err := New(config, Restored{Snapshot: Snapshot{Membership: Membership{Voters: []NodeID{1, 2, 3}}}})
		qt.Assert(b, err, qt.IsNil)
		nodes[i] = node
	}
	nodes[0].startElection(false)
	nodes.runUntilIdle(b)
	qt.Assert(b, nodes[0].LeaseValid(), qt.IsTrue)
	return &nodes
}

// runUntilIdle processes Readys until no node has work.
func (nodes *benchmarkCluster) runUntilIdle(b *testing.B) {
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
			nodes := newBenchmarkCluster(b)
			data := make([]byte, 128)
			b.ReportAllocs()
			for proposed := 0; proposed < b.N; {
				for range min(batch, b.N-proposed) {
					if _, _, err := nodes[0].Propose(data); err != nil {
						b.Fatal(err)
					}
					proposed++
				}
				nodes.runUntilIdle(b)
				if nodes[2].log.applied-nodes[2].log.base > 1<<14 {
					nodes.compact(b)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

func (nodes *benchmarkCluster) compact(b *testing.B) {
	for _, node := range nodes {
		term, _ := node.log.term(node.log.applied)
		snapshot := Snapshot{Index: node.log.applied, Term: term, Membership: node.MembershipAt(node.log.applied)}
		qt.Assert(b, node.Compact(snapshot), qt.IsNil)
	}
}

// BenchmarkIdleTick measures one tick of an idle group that sends a heartbeat every
// tick.
func BenchmarkIdleTick(b *testing.B) {
	nodes := newBenchmarkCluster(b)
	b.ReportAllocs()
	for b.Loop() {
		for _, node := range nodes {
			node.Tick()
		}
		nodes.runUntilIdle(b)
	}
	qt.Assert(b, nodes[0].LeaseValid(), qt.IsTrue)
}

func BenchmarkReadIndex(b *testing.B) {
	nodes := newBenchmarkCluster(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := nodes[0].ReadIndex(1); err != nil {
			b.Fatal(err)
		}
		nodes.runUntilIdle(b)
	}
}
