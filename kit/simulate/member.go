package simulate

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// Raft timing of the simulated groups.
const (
	electionTicks  = 10
	heartbeatTicks = 2
	// missedTicksLimit bounds the ticks that a process catches up on after a pause.
	missedTicksLimit = 4 * electionTicks
)

// stateMachine is the replicated state machine of a group.
type stateMachine interface {
	// apply executes a command and returns its result.
	apply(index uint64, command []byte) any
	snapshot() ([]byte, error)
	restore(data []byte) error
}

// memberObserver is notified of what a member does, for the checkers and the
// services.
type memberObserver interface {
	memberApplied(m *member, entry raft.Entry, result any)
	memberRestored(m *member, snapshot raft.Snapshot)
	memberBecameLeader(m *member)
	memberRead(m *member, context uint64)
	memberFailed(m *member, doing string, err error)
}

// member runs one raft node of a group on a machine. It replaces the daemon's
// package group in the simulator.
type member struct {
	machine           *Machine
	network           *Network
	observer          memberObserver
	group             groupName
	initialMembership raft.Membership
	// identities maps a node to the address of its machine.
	identities func(raft.NodeID) Address
	// tick is the interval between ticks of the node.
	tick time.Duration
	// snapshotEntries is the log growth between snapshots.
	snapshotEntries uint64
	// keepIdentity makes a machine with an empty disk reuse its former identity.
	keepIdentity bool

	store       *store
	node        *raft.Node
	state       stateMachine
	applied     uint64
	appliedTerm uint64
	// busy is set during a sync, compacting during a log compaction. Messages that
	// arrive during a compaction are deferred, because the node must not advance
	// past the snapshot before it has compacted its log.
	busy       bool
	compacting bool
	deferred   []raft.Message
	ticked     time.Duration
	// leading is the newest term in which the node was seen to lead.
	leading uint64
}

// identity returns the node ID for a machine's disk.
func identity(machine int, generation uint64) raft.NodeID {
	return raft.NodeID(uint64(machine+1)<<8 | generation)
}

// machineOf returns the number of the machine that an identity lives on.
func machineOf(id raft.NodeID) int { return int(id>>8) - 1 }

// start creates the node from the content of the disk.
func (m *member) start(machineNumber int, state stateMachine) {
	m.state = state
	m.busy, m.compacting, m.deferred = false, false, nil
	m.applied, m.appliedTerm, m.leading = 0, 0, 0
	opened, found := openStore(m.machine.Disk, string(m.group))
	m.store = opened
	if !found {
		m.initialise(machineNumber)
	}
	if m.store.snapshot.Index > 0 && !m.restore(m.store.snapshot) {
		return
	}
	restored := raft.Restored{
		HardState: m.store.hardState,
		Snapshot:  copySnapshot(m.store.snapshot),
		Entries:   slices.Clone(m.store.entries),
	}
	node, err := raft.New(raft.Config{
		ID:             m.store.identity,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Random:         rand.New(rand.NewPCG(m.machine.random.Uint64(), uint64(m.store.identity))),
	}, restored)
	if err != nil {
		m.observer.memberFailed(m, "start", err)
		return
	}
	m.node = node
	m.ticked = m.machine.Clock.Monotonic()
	m.pump()
}

// initialise writes the identity of a new disk. Only the first disk of an initial
// member knows the membership; a later one joins under an unused identity.
func (m *member) initialise(machineNumber int) {
	generation := m.machine.Disk.Generation
	if m.keepIdentity {
		generation = 1
	}
	m.store.identity = identity(machineNumber, generation)
	first := batch{}
	if generation == 1 {
		first.snapshot = &raft.Snapshot{Membership: copyMembership(m.initialMembership)}
	}
	if err := m.store.write(first); err == nil {
		m.machine.Disk.Sync()
	}
}

func (m *member) restore(snapshot raft.Snapshot) bool {
	if err := m.state.restore(snapshot.Data); err != nil {
		m.observer.memberFailed(m, "restore a snapshot", err)
		return false
	}
	m.applied, m.appliedTerm = snapshot.Index, snapshot.Term
	m.observer.memberRestored(m, snapshot)
	return true
}

// running reports whether the member has a node and its machine is alive.
func (m *member) running() bool { return m.node != nil && m.machine.alive }

// leads reports whether the node leads and has applied an entry of its own term,
// which implies that it has applied all commands of earlier terms.
func (m *member) leads() bool {
	return m.node.Role() == raft.Leader && m.appliedTerm == m.node.Term()
}

// catchUp delivers the ticks due by the machine's clock.
func (m *member) catchUp() {
	now := m.machine.Clock.Monotonic()
	if earliest := now - missedTicksLimit*m.tick; m.ticked < earliest {
		m.ticked = earliest
	}
	for m.ticked+m.tick <= now {
		m.ticked += m.tick
		m.node.Tick()
	}
}

// step passes a message to the node.
func (m *member) step(message raft.Message) {
	if m.node == nil || message.To != m.store.identity {
		return
	}
	if m.compacting {
		m.deferred = append(m.deferred, message)
		return
	}
	m.catchUp()
	if err := m.node.Step(message); err != nil {
		m.observer.memberFailed(m, "step a message", err)
		return
	}
	m.pump()
}

// pump processes the node's Ready values until it has to wait for a sync.
func (m *member) pump() {
	for m.node != nil && !m.busy && m.node.HasReady() {
		ready := m.node.Ready()
		if !m.persist(ready) {
			return
		}
	}
	m.noteLeadership()
}

// persist makes a Ready durable and then finishes it. It returns false if it has to
// wait for the disk or the process died.
func (m *member) persist(ready raft.Ready) bool {
	if ready.HardState != nil || ready.Snapshot != nil || len(ready.Entries) > 0 {
		if err := m.store.write(m.batchOf(ready)); err != nil {
			m.machine.Crash(restartDelay)
			return false
		}
	}
	if m.machine.step() {
		return false
	}
	if !ready.MustSync {
		return m.finish(ready)
	}
	m.sync(func() { m.finish(ready) })
	return false
}

func (m *member) batchOf(ready raft.Ready) batch {
	made := batch{hardState: m.store.hardState, entries: slices.Clone(ready.Entries)}
	if ready.HardState != nil {
		made.hardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		snapshot := copySnapshot(*ready.Snapshot)
		made.snapshot = &snapshot
	}
	return made
}

// sync waits for the disk and then calls then.
func (m *member) sync(then func()) {
	m.busy = true
	m.machine.after(m.machine.Disk.SyncDelay, func() {
		m.machine.Disk.Sync()
		if m.machine.step() {
			return
		}
		m.busy = false
		m.catchUp()
		then()
		m.pump()
	})
}

// finish sends messages and applies entries of a durable Ready. It returns false if
// the process died.
func (m *member) finish(ready raft.Ready) bool {
	for _, message := range ready.Messages {
		m.send(message)
	}
	if m.machine.step() {
		return false
	}
	if ready.Snapshot != nil && !m.restore(*ready.Snapshot) {
		return false
	}
	for _, entry := range ready.Committed {
		m.apply(entry)
		if m.machine.step() {
			return false
		}
	}
	for _, read := range ready.ReadStates {
		m.noteRead(read)
	}
	m.node.Advance()
	m.compact()
	return m.machine.alive
}

// noteRead serves a read whose index is applied and drops any other, as if its
// request were lost.
func (m *member) noteRead(read raft.ReadState) {
	if read.Index <= m.applied {
		m.observer.memberRead(m, read.Context)
	}
}

func (m *member) send(message raft.Message) {
	to := m.identities(message.To)
	copied := raftMessage{group: m.group, message: copyRaftMessage(message)}
	m.machine.trace.Event("send", string(m.machine.Address), string(to),
		uint64(message.Kind), message.Term, message.Index, uint64(len(message.Entries)), message.Commit)
	m.network.Send(m.machine.Address, to, copied)
}

func (m *member) apply(entry raft.Entry) {
	var result any
	if entry.Kind == raft.EntryCommand {
		result = m.state.apply(entry.Index, entry.Data)
	}
	m.applied, m.appliedTerm = entry.Index, entry.Term
	m.machine.trace.Event("apply", string(m.machine.Address), string(m.group), entry.Index, entry.Term)
	m.observer.memberApplied(m, entry, result)
}

// compact takes a snapshot once the log has grown enough.
func (m *member) compact() {
	if m.busy || m.applied < m.store.snapshot.Index+m.snapshotEntries {
		return
	}
	data, err := m.state.snapshot()
	if err != nil {
		m.observer.memberFailed(m, "take a snapshot", err)
		return
	}
	snapshot := raft.Snapshot{
		Index:      m.applied,
		Term:       m.appliedTerm,
		Membership: m.node.MembershipAt(m.applied),
		Data:       data,
	}
	if err := m.store.compact(snapshot); err != nil {
		m.machine.Crash(restartDelay)
		return
	}
	m.compacting = true
	m.sync(func() {
		if err := m.node.Compact(copySnapshot(snapshot)); err != nil {
			m.observer.memberFailed(m, "compact the log", err)
		}
		m.stepDeferred()
	})
}

// stepDeferred passes the messages deferred during a compaction to the node.
func (m *member) stepDeferred() {
	held := m.deferred
	m.compacting, m.deferred = false, nil
	for _, message := range held {
		if err := m.node.Step(message); err != nil {
			m.observer.memberFailed(m, "step a message", err)
		}
	}
}

func (m *member) noteLeadership() {
	if m.node == nil || !m.machine.alive || m.node.Role() != raft.Leader || m.leading == m.node.Term() {
		return
	}
	m.leading = m.node.Term()
	m.observer.memberBecameLeader(m)
}

// propose appends a command to the group's log; ok is false if the node does not
// lead or rejects the proposal.
func (m *member) propose(command []byte) (index uint64, ok bool) {
	index, _, err := m.node.Propose(command)
	if err != nil {
		return 0, false
	}
	return index, true
}

// addVoter makes the identity a voter by one membership change at a time: it first
// replaces the machine's former identity by a learner and promotes the learner once
// it has caught up.
func (m *member) addVoter(joining raft.NodeID) {
	if m.node == nil || m.node.Role() != raft.Leader {
		return
	}
	status := m.node.Status()
	next := copyMembership(status.Membership)
	isFormer := func(id raft.NodeID) bool { return id != joining && machineOf(id) == machineOf(joining) }
	switch {
	case next.HasVoter(joining):
		return
	case next.HasLearner(joining):
		if !status.Progress[joining].CaughtUp {
			return
		}
		next.Learners = slices.DeleteFunc(next.Learners, func(id raft.NodeID) bool { return id == joining })
		next.Voters = append(next.Voters, joining)
	default:
		next.Voters = slices.DeleteFunc(next.Voters, isFormer)
		next.Learners = append(slices.DeleteFunc(next.Learners, isFormer), joining)
	}
	// An error means that it is too early; the machine asks again.
	if _, _, err := m.node.ProposeMembership(next); err == nil {
		m.machine.trace.Note("membership", string(m.machine.Address), string(m.group))
	}
	m.pump()
}
