package raft

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
)

// stepsPerTick is the number of simulation steps per tick.
const stepsPerTick = 4

// disk is the durable state of a member. A hard state whose sync was skipped is lost
// in a crash.
type disk struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

func (d *disk) write(ready Ready) {
	if !ready.MustSync {
		return
	}
	if ready.Snapshot != nil {
		d.snapshot, d.entries = *ready.Snapshot, nil
	}
	for _, entry := range ready.Entries {
		kept := slices.IndexFunc(d.entries, func(e Entry) bool { return e.Index >= entry.Index })
		if kept >= 0 {
			d.entries = slices.Clone(d.entries[:kept])
		}
		d.entries = append(d.entries, entry)
	}
	if ready.HardState != nil {
		d.hardState = *ready.HardState
	}
}

type member struct {
	id         NodeID
	node       *Node // nil while down
	disk       disk
	tickOffset int
	// ready is being written to disk until readyAt.
	ready   *Ready
	readyAt int
	// applied and digest are the state of the replicated state machine.
	applied, digest uint64
}

type delivery struct {
	at      int
	message Message
}

// cluster simulates members in virtual time on one goroutine. All random choices are
// drawn from random.
type cluster struct {
	random   *rand.Rand
	members  []*member
	now      int
	inFlight []delivery
	blocked  map[[2]NodeID]bool // from, to
	history  *history
	// reads holds, by context, the number of committed entries when the read was
	// requested.
	reads []int

	loss, duplicate, crash float64
	delay, diskDelay       int
	// diskIsUniform makes each write last diskDelay, and not up to it.
	diskIsUniform bool
	// filter, if set, receives every message and drops it by returning false.
	filter func(m Message) bool
	// mutate, if set, injects a fault into a node after each step; losesVotes makes a
	// crash lose the stored vote.
	mutate     func(n *Node)
	losesVotes bool
}

func newCluster(seed uint64, founders, spares int) *cluster {
	c := &cluster{
		random:  rand.New(rand.NewPCG(seed, 1)),
		blocked: map[[2]NodeID]bool{},
		history: newHistory(),
		delay:   1, diskDelay: 1,
	}
	var founding Membership
	for id := NodeID(1); id <= NodeID(founders); id++ {
		founding.Voters = append(founding.Voters, id)
	}
	for i := range founders + spares {
		m := &member{id: NodeID(i + 1), tickOffset: c.random.IntN(stepsPerTick)}
		if i < founders {
			m.disk.snapshot.Membership = founding
		}
		c.members = append(c.members, m)
		c.start(m)
	}
	return c
}

func (c *cluster) config(id NodeID) Config {
	return Config{
		ID: id, ElectionTicks: 10, HeartbeatTicks: 2, MaxMessageEntries: 4, MaxMessageBytes: 10, MaxInflightMessages: 3,
		MaxUncommittedEntries: 64, Random: rand.New(rand.NewPCG(c.random.Uint64(), 2)),
	}
}

func (c *cluster) start(m *member) {
	node, err := New(c.config(m.id), Restored{m.disk.hardState, m.disk.snapshot, slices.Clone(m.disk.entries)})
	if err != nil {
		panic(err)
	}
	m.node, m.applied, m.digest = node, m.disk.snapshot.Index, 0
	if m.applied > 0 {
		m.digest = binary.BigEndian.Uint64(m.disk.snapshot.Data)
	}
}

func (c *cluster) stop(m *member) {
	m.node, m.ready = nil, nil
	if c.losesVotes {
		m.disk.hardState.Vote = None
	}
}

func (c *cluster) member(id NodeID) *member { return c.members[id-1] }

func (c *cluster) chance(probability float64) bool { return c.random.Float64() < probability }

// step advances time by one step: ticks, deliveries, then the Readys of every node.
func (c *cluster) step() {
	c.now++
	for _, m := range c.members {
		if m.node != nil && c.now%stepsPerTick == m.tickOffset {
			m.node.Tick()
			c.observe(m)
		}
	}
	var due []Message
	c.inFlight = slices.DeleteFunc(c.inFlight, func(d delivery) bool {
		if d.at <= c.now {
			due = append(due, d.message)
		}
		return d.at <= c.now
	})
	for _, message := range due {
		if to := c.member(message.To); to.node != nil {
			if err := to.node.Step(message); err != nil {
				c.history.check(false, electionSafety, "message rejected by %d: %v", to.id, err)
			}
			c.observe(to)
		}
	}
	holders := 0
	for _, m := range c.members {
		c.processReady(m)
		if m.node != nil && m.node.LeaseValid() {
			holders++
		}
	}
	c.history.checkLeases(holders)
}

func (c *cluster) observe(m *member) {
	if c.mutate != nil {
		c.mutate(m.node)
	}
	if m.node.Role() == Leader {
		c.history.recordLeader(m.id, m.node.Term(), &m.node.log)
	}
	c.history.recordCommits(m.node.Term(), &m.node.log)
}

// writeSteps returns how many steps a write lasts.
func (c *cluster) writeSteps() int {
	if c.diskIsUniform {
		return c.diskDelay
	}
	return c.random.IntN(c.diskDelay)
}

// processReady processes a member's Readys, each once its disk write is done. The member
// may crash at each step with probability crash.
func (c *cluster) processReady(m *member) {
	for m.node != nil && (m.ready != nil || m.node.HasReady()) {
		if m.ready == nil {
			c.observe(m)
			ready := m.node.Ready()
			c.record(m, ready)
			m.ready, m.readyAt = &ready, c.now+c.writeSteps()
		}
		if c.now < m.readyAt {
			for _, message := range m.node.TakeHeartbeats() {
				c.history.checkHeartbeat(message, m.disk.hardState.Term)
				c.send(message)
			}
			return
		}
		ready := *m.ready
		m.ready = nil
		if c.chance(c.crash) {
			c.stop(m)
			return
		}
		m.disk.write(ready)
		for _, message := range ready.Messages {
			if c.chance(c.crash) {
				c.stop(m)
				return
			}
			c.send(message)
		}
		c.apply(m, ready)
		m.node.Advance()
		c.history.checkStatus(m.node.Status())
	}
}

func (c *cluster) record(m *member, ready Ready) {
	for _, entry := range ready.Entries {
		if previous, known := m.node.log.term(entry.Index - 1); known {
			c.history.recordEntry(previous, entry)
		}
	}
}

func (c *cluster) apply(m *member, ready Ready) {
	if ready.Snapshot != nil {
		m.applied, m.digest = ready.Snapshot.Index, binary.BigEndian.Uint64(ready.Snapshot.Data)
		c.history.recordRestore(m.id, m.applied, m.digest)
	}
	for _, entry := range ready.Committed {
		m.applied = entry.Index
		for _, b := range append([]byte{byte(entry.Kind)}, entry.Data...) {
			m.digest = m.digest*1099511628211 + uint64(b) + entry.Term
		}
		c.history.recordApply(m.id, entry, m.digest)
	}
	for _, state := range ready.ReadStates {
		c.history.checkRead(c.reads[state.Context], state.Index)
	}
}

func (c *cluster) send(message Message) {
	if message.Kind == MessageVoteReply && !message.Reject {
		c.history.recordVote(message.From, message.To, message.Term)
	}
	if c.filter != nil && !c.filter(message) {
		return
	}
	if c.blocked[[2]NodeID{message.From, message.To}] || c.chance(c.loss) {
		return
	}
	copies := 1
	if c.chance(c.duplicate) {
		copies = 2
	}
	for range copies {
		c.inFlight = append(c.inFlight, delivery{c.now + 1 + c.random.IntN(c.delay), message})
	}
}

func (c *cluster) ticks(count int) {
	for range count * stepsPerTick {
		c.step()
	}
}

// follower returns the first running follower that is a voter.
func (c *cluster) follower() *member {
	i := slices.IndexFunc(c.members, func(m *member) bool { return m.node != nil && m.node.Role() == Follower })
	return c.members[i]
}

// leader returns the running leader of the highest term, or nil.
func (c *cluster) leader() *member {
	var found *member
	for _, m := range c.members {
		if m.node != nil && m.node.Role() == Leader && (found == nil || m.node.Term() > found.node.Term()) {
			found = m
		}
	}
	return found
}

// isolate blocks or restores both directions between id and every other member.
func (c *cluster) isolate(id NodeID, block bool) {
	for _, m := range c.members {
		c.blocked[[2]NodeID{id, m.id}] = block
		c.blocked[[2]NodeID{m.id, id}] = block
	}
}

func (c *cluster) heal() {
	clear(c.blocked)
	c.loss, c.duplicate, c.crash, c.delay, c.diskDelay = 0, 0, 0, 1, 1
	for _, m := range c.members {
		if m.node == nil {
			c.start(m)
		}
	}
}

func (c *cluster) read(m *member) error {
	c.reads = append(c.reads, len(c.history.committed))
	return m.node.ReadIndex(uint64(len(c.reads) - 1))
}

// compact takes a snapshot of the member's state machine.
func (c *cluster) compact(m *member) error {
	if m.applied <= m.node.log.base {
		return nil
	}
	term, _ := m.node.log.term(m.applied)
	snapshot := Snapshot{
		Index: m.applied, Term: term, Membership: m.node.MembershipAt(m.applied),
		Data: binary.BigEndian.AppendUint64(nil, m.digest),
	}
	m.disk.snapshot = snapshot
	return m.node.Compact(snapshot)
}
