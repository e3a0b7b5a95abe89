package capacity

import (
	"math/rand/v2"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/config"
)

const methodStep = "Raft.Step"

func raftProbes() []probe {
	voters := []int{2, 3, 5, 7, 9}
	return []probe{
		{RoleRaft, "idle group, a second: leader's bytes both ways", "voter", unitBytes, "encoded messages of real nodes at the daemon's rate", voters, idleBytes},
		{RoleRaft, "idle group, a second: processor time of all", "voter", unitMicros, methodCPU, voters, idleCPU},
		{RoleRaft, "append of one entry to one follower, with reply", "byte of entry", unitBytes, methodGob, []int{128, 256, 512, 1_024, 4_096}, appendBytes},
		{RoleRaft, "append of entries of 200 bytes to one follower", "entry", unitBytes, methodGob, []int{1, 4, 16, 64, 256}, func(size int) float64 {
			return requestBytes(methodStep, appendBatch(size, 200))
		}},
		{RoleRaft, "append of entries without data to one follower", "entry", unitBytes, methodGob, []int{1, 4, 16, 64, 256}, func(size int) float64 {
			return requestBytes(methodStep, appendBatch(size, 0))
		}},
		{RoleRaft, "proposals of 200 bytes committed by three voters", "proposal", unitMicros, methodCPU, []int{16, 32, 64, 128, 256}, proposeCPU},
	}
}

// cluster is a raft group in which messages are delivered immediately.
type cluster struct {
	nodes map[raft.NodeID]*raft.Node
	order []raft.NodeID
	// bytes counts the encoded messages to and from the leader.
	bytes      float64
	countBytes bool
	leader     raft.NodeID
}

func newCluster(voters int) *cluster {
	timing := config.Default().Timing
	c := &cluster{nodes: map[raft.NodeID]*raft.Node{}}
	var membership raft.Membership
	for id := raft.NodeID(1); id <= raft.NodeID(voters); id++ {
		membership.Voters = append(membership.Voters, id)
	}
	for _, id := range membership.Voters {
		c.nodes[id] = must(raft.New(raft.Config{
			ID: id, ElectionTicks: timing.ElectionTicks, HeartbeatTicks: timing.HeartbeatTicks, Random: rand.New(rand.NewPCG(1, uint64(id))),
		}, raft.Restored{Snapshot: raft.Snapshot{Membership: membership}}))
		c.order = append(c.order, id)
	}
	for c.leader == raft.None {
		c.tick()
		for _, id := range c.order {
			if c.nodes[id].LeaseValid() {
				c.leader = id
			}
		}
	}
	return c
}

func (c *cluster) tick() {
	for _, id := range c.order {
		c.nodes[id].Tick()
	}
	c.deliverMessages()
}

func (c *cluster) deliverMessages() {
	for busy := true; busy; {
		busy = false
		for _, id := range c.order {
			node := c.nodes[id]
			if !node.HasReady() {
				continue
			}
			busy = true
			for _, message := range node.Ready().Messages {
				if c.countBytes {
					c.bytes += stepBytes(message)
				}
				if err := c.nodes[message.To].Step(message); err != nil {
					panic(err)
				}
			}
			node.Advance()
		}
	}
}

// stepBytes returns the encoded size of a call with one message and of its empty
// reply.
func stepBytes(message raft.Message) float64 {
	batch := group.StepArguments{Group: "zone-zone-00", From: message.From, To: message.To, Sent: 1 << 45, Echo: 1 << 45, EchoTerm: message.Term, Messages: []raft.Message{message}}
	return requestBytes(methodStep, batch) + replyBytes(methodStep, group.StepReply{})
}

func ticksPerSecond() int { return int(1e9 / config.Default().Timing.TickInterval.Nanoseconds()) }

// idleBytes returns the encoded size of all messages of an idle group in one second.
// Each of them is to or from the leader.
func idleBytes(voters int) float64 {
	c := newCluster(voters)
	c.countBytes = true
	for range ticksPerSecond() {
		c.tick()
	}
	return c.bytes
}

func idleCPU(voters int) float64 {
	c := newCluster(voters)
	return cpuTime(func() {
		for range ticksPerSecond() {
			c.tick()
		}
	})
}

func appendBatch(entries, size int) group.StepArguments {
	message := raft.Message{Kind: raft.MessageAppend, From: 1, To: 2, Term: 7, LogTerm: 7, Index: 1 << 20, Commit: 1 << 20}
	for index := range entries {
		message.Entries = append(message.Entries, raft.Entry{Term: 7, Index: 1<<20 + uint64(index) + 1, Data: make([]byte, size)})
	}
	return group.StepArguments{
		Group: "zone-zone-00", From: 1, To: 2, Sent: 1 << 45, Echo: 1 << 45, EchoTerm: 7, Address: "127.0.0.1:7000", Messages: []raft.Message{message},
	}
}

// appendBytes returns the encoded size of an append call, of the call with its reply
// message, and of the empty replies to both.
func appendBytes(size int) float64 {
	reply := raft.Message{Kind: raft.MessageAppendReply, From: 2, To: 1, Term: 7, Index: 1<<20 + 1}
	return requestBytes(methodStep, appendBatch(1, size)) + replyBytes(methodStep, group.StepReply{}) + stepBytes(reply)
}

func proposeCPU(proposals int) float64 {
	c := newCluster(3)
	data := make([]byte, 200)
	return cpuTime(func() {
		for range proposals {
			if _, _, err := c.nodes[c.leader].Propose(data); err != nil {
				panic(err)
			}
		}
		c.deliverMessages()
		c.compactLogs()
	})
}

// compactLogs discards the applied entries of all logs.
func (c *cluster) compactLogs() {
	for _, id := range c.order {
		node := c.nodes[id]
		status := node.Status()
		snapshot := raft.Snapshot{Index: status.Applied, Term: status.Term, Membership: node.MembershipAt(status.Applied)}
		if err := node.Compact(snapshot); err != nil {
			panic(err)
		}
	}
}
