package group

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// leaseMarginTicks is subtracted from the election timeout: a follower's ticker may
// deliver two ticks in quick succession.
const leaseMarginTicks = 2

// clockReading is a monotonic clock reading of a leader, in nanoseconds, and its term.
type clockReading struct {
	sent int64
	term uint64
}

// echoes tracks the clock readings of leaders that this node accepted, and of this node
// that members accepted.
type echoes struct {
	// accepted holds the newest reading of each node that this one accepted as leader,
	// to be echoed to that node.
	accepted map[raft.NodeID]clockReading
	// acknowledged holds, by member, the newest echoed reading of this node as leader of
	// the current term.
	acknowledged map[raft.NodeID]clockReading
}

func newEchoes() echoes {
	return echoes{
		accepted:     make(map[raft.NodeID]clockReading),
		acknowledged: make(map[raft.NodeID]clockReading),
	}
}

// leaseState is the published state that LeaderLease evaluates.
type leaseState struct {
	epoch structs.Epoch
	// held is set while this node leads, its raft lease is valid, and an entry of the
	// current term has been applied.
	held bool
	// start is the newest clock reading echoed by a quorum; see leaseStart.
	start time.Duration
}

// step passes a batch of messages to the node and records the clock readings in it.
func (g *Group) step(batch StepArguments) {
	if batch.Address != "" {
		g.learnAddress(batch.From, batch.Address)
	}
	if g.loop.held {
		return
	}
	if address := g.addressOf(batch.From); address != "" && g.isSilent(batch.From) {
		g.options.Client.NoteReachable(address)
	}
	g.loop.lastHeard[batch.From] = g.now()
	fromLeader := false
	for _, message := range batch.Messages {
		if message.From != batch.From || message.To != g.options.Node {
			continue
		}
		if err := g.loop.node.Step(message); err != nil {
			level.Warn(g.logger).Log("msg", "A raft message was rejected.", "from", message.From, "err", err)
			continue
		}
		fromLeader = fromLeader || g.acceptedAsLeader(message)
	}
	if fromLeader {
		g.loop.echoes.accepted[batch.From] = clockReading{sent: batch.Sent, term: g.loop.node.Term()}
	}
	g.recordEcho(batch)
}

// acceptedAsLeader reports whether the message, which was just stepped, is from a leader
// that the node follows in the message's term and resets the election timeout.
func (g *Group) acceptedAsLeader(message raft.Message) bool {
	switch message.Kind {
	case raft.MessageAppend, raft.MessageHeartbeat, raft.MessageSnapshot:
		return g.loop.node.Leader() == message.From && g.loop.node.Term() == message.Term
	default:
		return false
	}
}

func (g *Group) recordEcho(batch StepArguments) {
	term := g.loop.node.Term()
	if g.loop.node.Role() != raft.Leader || batch.EchoTerm != term {
		return
	}
	if batch.Echo > g.loop.echoes.acknowledged[batch.From].sent {
		g.loop.echoes.acknowledged[batch.From] = clockReading{sent: batch.Echo, term: term}
	}
}

// leaseStart returns the newest clock reading that a quorum of the voters has echoed in
// the current term, or -1. The leader's own reading is the current time.
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

// leaseDuration returns the length of a lease. It is reduced by a tenth for clock drift.
func (g *Group) leaseDuration() time.Duration {
	ticks := g.options.ElectionTicks - leaseMarginTicks
	return time.Duration(ticks) * g.options.TickInterval * 9 / 10
}

func (g *Group) electionTimeout() time.Duration {
	return time.Duration(g.options.ElectionTicks) * g.options.TickInterval
}

// LeaderLease returns the epoch of this node's leadership and whether its lease is valid
// now: no other node can lead, and the state machine reflects every command of earlier
// epochs. Validity is evaluated by the clock at the time of the call, so it is correct
// even right after a pause of the process. Commands to other processes must carry the epoch, because
// the lease may expire before they arrive.
func (g *Group) LeaderLease() (epoch structs.Epoch, valid bool) {
	g.statusMutex.Lock()
	lease := g.lease
	g.statusMutex.Unlock()
	return lease.epoch, g.leaseHolds(lease)
}

// endLease invalidates the published lease until the next publish.
func (g *Group) endLease() {
	g.statusMutex.Lock()
	defer g.statusMutex.Unlock()
	g.lease.held = false
}

func (g *Group) leaseHolds(lease leaseState) bool {
	return lease.held && lease.start >= 0 && g.now()-lease.start < g.leaseDuration()
}
