package raft

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
)

// stepsPerTick is the length of a tick in steps of the cluster's time.
const stepsPerTick = 4

// disk is what survives a crash. A hard state whose sync was skipped does not.
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
	id    NodeID
	node  *Node // nil while down
	disk  disk
	phase int
	// ready is under way until the disk is done at readyAt.
	ready   *Ready
	readyAt int
	// applied and digest are the replicated state machine.
	applied, digest uint64
}

type delivery struct {
	at      int
	message Message
}

// cluster runs members in virtual time on one goroutine. Every choice is drawn
// from random.
type cluster struct {
	random  *rand.Rand
	members []*member
	now     int
	flying  []delivery
	cut     map[[2]NodeID]bool // from, to
	history *history
	// reads holds, by context, how much had been committed when the read was asked.
	reads []int

	loss, duplicate, crash float64
	delay, diskDelay       int
	// sent, when set, sees every message and drops it by returning false.
	sent func(m Message) bool
	// mutate, when set, breaks a node after each step; forgetful disks lose votes.
	mutate    func(n *Node)
	forgetful bool
}

func newCluster(seed uint64, founders, spares int) *cluster {
	c := &cluster{
		random:  rand.New(rand.NewPCG(seed, 1)),
		cut:     map[[2]NodeID]bool{},
		history: newHistory(),
		delay:   1, diskDelay: 1,
	}
	var founding Membership
	for id := NodeID(1); id <= NodeID(founders); id++ {
		founding.Voters = append(founding.Voters, id)
	}
	for i := range founders + spares {
		m := &member{id: NodeID(i + 1), phase: c.random.IntN(stepsPerTick)}
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
	if c.forgetful {
		m.disk.hardState.Vote = None
	}
}

func (c *cluster) member(id NodeID) *member { return c.members[id-1] }

func (c *cluster) chance(probability float64) bool { return c.random.Float64() < probability }

// step advances time by one: ticks, deliveries, then the work of every node.
func (c *cluster) step() {
	c.now++
	for _, m := range c.members {
		if m.node != nil && c.now%stepsPerTick == m.phase {
			m.node.Tick()
			c.observe(m)
		}
	}
	var due []Message
	c.flying = slices.DeleteFunc(c.flying, func(d delivery) bool {
		if d.at <= c.now {
			due = append(due, d.message)
		}
		return d.at <= c.now
	})
	for _, message := range due {
		if to := c.member(message.To); to.node != nil {
			if err := to.node.Step(message); err != nil {
				c.history.check(false, electionSafety, "refused by %d: %v", to.id, err)
			}
			c.observe(to)
		}
	}
	holders := 0
	for _, m := range c.members {
		c.work(m)
		if m.node != nil && m.node.LeaseValid() {
			holders++
		}
	}
	c.history.leases(holders)
}

func (c *cluster) observe(m *member) {
	if c.mutate != nil {
		c.mutate(m.node)
	}
	if m.node.Role() == Leader {
		c.history.lead(m.id, m.node.Term(), &m.node.log)
	}
	c.history.commit(m.node.Term(), &m.node.log)
}

// work does a node's Readys, each when the disk is done; the node crashes with some
// chance at each of their steps.
func (c *cluster) work(m *member) {
	for m.node != nil && (m.ready != nil || m.node.HasReady()) {
		if m.ready == nil {
			c.observe(m)
			ready := m.node.Ready()
			c.record(m, ready)
			m.ready, m.readyAt = &ready, c.now+c.random.IntN(c.diskDelay)
		}
		if c.now < m.readyAt {
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
		c.history.status(m.node.Status())
	}
}

func (c *cluster) record(m *member, ready Ready) {
	for _, entry := range ready.Entries {
		if previous, known := m.node.log.term(entry.Index - 1); known {
			c.history.store(previous, entry)
		}
	}
}

func (c *cluster) apply(m *member, ready Ready) {
	if ready.Snapshot != nil {
		m.applied, m.digest = ready.Snapshot.Index, binary.BigEndian.Uint64(ready.Snapshot.Data)
		c.history.restore(m.id, m.applied, m.digest)
	}
	for _, entry := range ready.Committed {
		m.applied = entry.Index
		for _, b := range append([]byte{byte(entry.Kind)}, entry.Data...) {
			m.digest = m.digest*1099511628211 + uint64(b) + entry.Term
		}
		c.history.apply(m.id, entry, m.digest)
	}
	for _, state := range ready.ReadStates {
		c.history.read(c.reads[state.Context], state.Index)
	}
}

func (c *cluster) send(message Message) {
	if message.Kind == MessageVoteReply && !message.Reject {
		c.history.grant(message.From, message.To, message.Term)
	}
	if c.sent != nil && !c.sent(message) {
		return
	}
	if c.cut[[2]NodeID{message.From, message.To}] || c.chance(c.loss) {
		return
	}
	copies := 1
	if c.chance(c.duplicate) {
		copies = 2
	}
	for range copies {
		c.flying = append(c.flying, delivery{c.now + 1 + c.random.IntN(c.delay), message})
	}
}

func (c *cluster) ticks(count int) {
	for range count * stepsPerTick {
		c.step()
	}
}

// follower returns a running voter that does not lead.
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

// isolate cuts both ways between id and every other member, or mends it.
func (c *cluster) isolate(id NodeID, cut bool) {
	for _, m := range c.members {
		c.cut[[2]NodeID{id, m.id}] = cut
		c.cut[[2]NodeID{m.id, id}] = cut
	}
}

func (c *cluster) heal() {
	clear(c.cut)
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
