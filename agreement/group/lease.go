package group

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// leaseMarginTicks is taken off the election timeout: a follower's ticker may
// deliver one tick at once and the next one right after it.
const leaseMarginTicks = 2

// acknowledgement is a clock reading of a leader in a term.
type acknowledgement struct {
	sent int64
	term uint64
}

// echoes follows who accepted whom as leader, and when.
type echoes struct {
	// accepted holds the newest reading of each node that this one accepted as
	// leader; it is echoed to that node.
	accepted map[raft.NodeID]acknowledgement
	// acknowledged holds the newest reading of this node, as leader of the current
	// term, that each member echoed.
	acknowledged map[raft.NodeID]acknowledgement
}

func newEchoes() echoes {
	return echoes{
		accepted:     make(map[raft.NodeID]acknowledgement),
		acknowledged: make(map[raft.NodeID]acknowledgement),
	}
}

// leaseState is what LeaderLease judges by.
type leaseState struct {
	epoch structs.Epoch
	// held is set while this node leads, raft holds its lease valid, and an entry
	// of the current term has been applied.
	held bool
	// start is when the newest round began that a quorum answered.
	start time.Duration
}

// step gives a batch of messages to the node and notes the clock readings in it.
func (g *Group) step(batch StepArguments) {
	if batch.Address != "" {
		g.learnAddress(batch.From, batch.Address)
	}
	if g.loop.held {
		return
	}
	g.loop.heard[batch.From] = g.now()
	fromLeader := false
	for _, message := range batch.Messages {
		if message.From != batch.From || message.To != g.options.Node {
			continue
		}
		if err := g.loop.node.Step(message); err != nil {
			level.Warn(g.logger).Log("msg", "A message was refused.", "from", message.From, "err", err)
			continue
		}
		fromLeader = fromLeader || g.acceptedAsLeader(message)
	}
	if fromLeader {
		g.loop.echoes.accepted[batch.From] = acknowledgement{sent: batch.Sent, term: g.loop.node.Term()}
	}
	g.noteEcho(batch)
}

// acceptedAsLeader reports whether the message, just stepped, was one by which a
// leader holds off elections, and the node follows its sender in its term.
func (g *Group) acceptedAsLeader(message raft.Message) bool {
	switch message.Kind {
	case raft.MessageAppend, raft.MessageHeartbeat, raft.MessageSnapshot:
		return g.loop.node.Leader() == message.From && g.loop.node.Term() == message.Term
	default:
		return false
	}
}

func (g *Group) noteEcho(batch StepArguments) {
	term := g.loop.node.Term()
	if g.loop.node.Role() != raft.Leader || batch.EchoTerm != term {
		return
	}
	if batch.Echo > g.loop.echoes.acknowledged[batch.From].sent {
		g.loop.echoes.acknowledged[batch.From] = acknowledgement{sent: batch.Echo, term: term}
	}
}

// leaseStart returns the newest clock reading that a quorum of the voters has
// echoed in the term; the leader itself counts with the present.
func (g *Group) leaseStart(status raft.Status) time.Duration {
	readings := make([]int64, 0, len(status.Membership.Voters))
	for _, voter := range status.Membership.Voters {
		reading := int64(-1)
		if voter == g.options.Node {
			reading = int64(g.now())
		} else if found := g.loop.echoes.acknowledged[voter]; found.term == status.Term {
			reading = found.sent
		}
		readings = append(readings, reading)
	}
	if len(readings) == 0 {
		return -1
	}
	slices.Sort(readings)
	quorum := len(readings)/2 + 1
	return time.Duration(readings[len(readings)-quorum])
}

// leaseDuration is how long a lease lasts from its start. A tenth is taken off
// for clocks of unequal rate.
func (g *Group) leaseDuration() time.Duration {
	ticks := g.options.ElectionTicks - leaseMarginTicks
	return time.Duration(ticks) * g.options.TickInterval * 9 / 10
}

func (g *Group) electionTimeout() time.Duration {
	return time.Duration(g.options.ElectionTicks) * g.options.TickInterval
}

// LeaderLease returns the epoch of this node's leadership and whether its lease is
// valid now: no other node can lead, and the state machine shows every command of
// earlier epochs. The lease is judged by the clock at the moment of the call, also
// when the process was paused just before. Orders carry the epoch, because nothing
// holds the time between this answer and their arrival.
func (g *Group) LeaderLease() (epoch structs.Epoch, valid bool) {
	g.statusMutex.Lock()
	lease := g.lease
	g.statusMutex.Unlock()
	return lease.epoch, g.leaseHolds(lease)
}

// endLease makes LeaderLease report no lease from now on, until publish.
func (g *Group) endLease() {
	g.statusMutex.Lock()
	defer g.statusMutex.Unlock()
	g.lease.held = false
}

func (g *Group) leaseHolds(lease leaseState) bool {
	return lease.held && lease.start >= 0 && g.now()-lease.start < g.leaseDuration()
}
