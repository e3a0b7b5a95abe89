package hollow

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/structs"
)

// syncTime is how long a sync of a log takes.
const syncTime = time.Millisecond

// methodStep names the call of package group in the header of each message.
const methodStep = "Raft.Step"

// machine is the state machine behind a raft member.
type machine interface {
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// disk is what a raft member keeps when its process dies.
type disk struct {
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
}

// proposal waits for the entry at its index.
type proposal struct {
	term uint64
	done func(result any, err *structs.Error)
}

// raftMember runs one raft.Node on a process, as package group does.
type raftMember struct {
	site    *site
	owner   *process
	name    string
	id      raft.NodeID
	peers   []*raftMember
	node    *raft.Node
	machine machine
	disk    disk
	life    int
	waiting map[uint64]proposal
	// appliedTerm is the term of the last applied entry.
	appliedTerm uint64
	syncing     bool
	applied     func()
	seed        uint64
	bootstrap   raft.Membership
}

// open starts the node from what its disk holds.
func (m *raftMember) open() {
	timing := defaultTiming()
	m.life++
	m.seed++
	m.waiting = map[uint64]proposal{}
	m.syncing = false
	restored := raft.Restored{HardState: m.disk.hard, Snapshot: m.disk.snapshot, Entries: m.disk.entries}
	if restored.Snapshot.Index == 0 {
		restored.Snapshot.Membership = m.bootstrap
	} else if err := m.machine.Restore(restored.Snapshot.Data); err != nil {
		panic(err)
	}
	node, err := raft.New(raft.Config{
		ID:             m.id,
		ElectionTicks:  timing.ElectionTicks,
		HeartbeatTicks: timing.HeartbeatTicks,
		Random:         rand.New(rand.NewPCG(m.seed, uint64(m.id))),
	}, restored)
	if err != nil {
		panic(err)
	}
	m.node = node
	m.tick(m.life)
	m.pump()
}

func defaultTiming() config.Timing { return config.Default().Timing }

// tick drives the node's clock for one life of its process.
func (m *raftMember) tick(life int) {
	if m.life != life || !m.owner.alive {
		return
	}
	m.cost().sample(partRaft, m.node.Tick)
	m.pump()
	m.owner.zone.after(defaultTiming().TickInterval, func() { m.tick(life) })
}

func (m *raftMember) cost() *costs { return &m.owner.zone.cost }

// pump does the node's work until there is none or a sync is under way.
func (m *raftMember) pump() {
	for !m.syncing && m.node.HasReady() {
		var ready raft.Ready
		m.cost().sample(partRaft, func() { ready = m.node.Ready() })
		m.store(ready)
		if !ready.MustSync {
			m.finish(ready)
			continue
		}
		m.syncing = true
		life := m.life
		m.owner.zone.after(syncTime, func() {
			if m.life != life || !m.owner.alive {
				return
			}
			m.syncing = false
			m.finish(ready)
			m.pump()
		})
	}
}

// store keeps what must survive the process.
func (m *raftMember) store(ready raft.Ready) {
	if ready.Snapshot != nil {
		m.disk.snapshot = *ready.Snapshot
		m.disk.entries = nil
	}
	if len(ready.Entries) > 0 {
		first := ready.Entries[0].Index
		keep := len(m.disk.entries)
		for keep > 0 && m.disk.entries[keep-1].Index >= first {
			keep--
		}
		m.disk.entries = append(m.disk.entries[:keep:keep], ready.Entries...)
	}
	if ready.HardState != nil {
		m.disk.hard = *ready.HardState
	}
}

func (m *raftMember) finish(ready raft.Ready) {
	m.sendAll(ready.Messages)
	if ready.Snapshot != nil {
		if err := m.machine.Restore(ready.Snapshot.Data); err != nil {
			panic(err)
		}
	}
	for _, entry := range ready.Committed {
		m.apply(entry)
	}
	m.cost().sample(partRaft, m.node.Advance)
	m.compact()
	if len(ready.Committed) > 0 || ready.Snapshot != nil {
		m.applied()
	}
}

func (m *raftMember) apply(entry raft.Entry) {
	var result any
	if entry.Kind == raft.EntryCommand {
		result = m.machine.Apply(entry.Index, entry.Data)
	}
	m.appliedTerm = entry.Term
	waiting, found := m.waiting[entry.Index]
	if !found {
		return
	}
	delete(m.waiting, entry.Index)
	if waiting.term != entry.Term {
		waiting.done(nil, structs.NewError(structs.ErrorUnavailable, "the entry was replaced", "Propose it again."))
		return
	}
	waiting.done(result, nil)
}

// compact takes a snapshot as often as package group does.
func (m *raftMember) compact() {
	if len(m.disk.entries) <= group.DefaultSnapshotEntries {
		return
	}
	status := m.node.Status()
	data, err := m.machine.Snapshot()
	if err != nil {
		panic(err)
	}
	snapshot := raft.Snapshot{
		Index: status.Applied, Term: m.appliedTerm, Membership: m.node.MembershipAt(status.Applied), Data: data,
	}
	if err := m.node.Compact(snapshot); err != nil {
		panic(err)
	}
	m.disk.snapshot = snapshot
	cut := 0
	for cut < len(m.disk.entries) && m.disk.entries[cut].Index <= snapshot.Index {
		cut++
	}
	m.disk.entries = append([]raft.Entry(nil), m.disk.entries[cut:]...)
}

// sendAll sends the messages of one Ready, in one batch for each peer.
func (m *raftMember) sendAll(messages []raft.Message) {
	if len(messages) == 0 {
		return
	}
	for _, peer := range m.peers {
		batch := group.StepArguments{Group: m.name, From: m.id, To: peer.id, Sent: m.owner.zone.now, Echo: m.owner.zone.now, EchoTerm: m.node.Term()}
		for _, message := range messages {
			if message.To == peer.id {
				// The node may write to its own slice while another partition reads.
				message.Entries = slices.Clone(message.Entries)
				batch.Messages = append(batch.Messages, message)
			}
		}
		if len(batch.Messages) > 0 {
			m.sendBatch(peer, batch)
		}
	}
}

func (m *raftMember) sendBatch(peer *raftMember, batch group.StepArguments) {
	sizer := m.owner.zone.sizer
	kind := trafficRaft
	var bytes int
	m.cost().sample(partCodec, func() { bytes = sizer.call(methodStep, batch) })
	reply := sizer.reply(methodStep, group.StepReply{})
	m.site.send(m.owner, peer.owner, kind, bytes, func() {
		// The empty reply of the call goes back.
		peer.owner.traffic.sent[kind] += int64(reply)
		peer.step(batch.Messages)
		peer.site.send(peer.owner, m.owner, kind, 0, func() { m.owner.traffic.received[kind] += int64(reply) })
	})
}

func (m *raftMember) step(messages []raft.Message) {
	for _, message := range messages {
		m.cost().sample(partRaft, func() {
			if err := m.node.Step(message); err != nil {
				panic(err)
			}
		})
	}
	m.pump()
}

// leads reports whether this member leads, holds the lease, and has applied an
// entry of its term, and so everything of earlier terms.
func (m *raftMember) leads() bool {
	return m.owner.alive && m.node.Role() == raft.Leader && m.node.LeaseValid() && m.appliedTerm == m.node.Term()
}

// propose puts a command into the log; done runs once it is decided here.
func (m *raftMember) propose(command []byte, done func(result any, err *structs.Error)) {
	index, term, err := m.node.Propose(command)
	if err != nil {
		done(nil, err.(*structs.Error))
		return
	}
	m.waiting[index] = proposal{term: term, done: done}
	m.pump()
}
