package group

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"github.com/lotusferry/lotusferry/logstore"
	"github.com/lotusferry/lotusferry/raft"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/lotusferry/lotusferry/transport"
)

const (
	testTick = 20 * time.Millisecond
	// testElectionTicks keeps leaders in office on a busy machine.
	testElectionTicks = 40
	// testLimit ends a test that would otherwise wait for ever.
	testLimit = 60 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// journal is a state machine that keeps the first of all equal commands, in order,
// and returns its position, counted from 1.
type journal struct{ Commands []string }

func (j *journal) Apply(_, _ uint64, command []byte) any {
	if position := slices.Index(j.Commands, string(command)); position >= 0 {
		return position + 1
	}
	j.Commands = append(j.Commands, string(command))
	return len(j.Commands)
}

func (j *journal) Snapshot() ([]byte, error) { return json.Marshal(j.Commands) }

func (j *journal) Restore(data []byte) error {
	j.Commands = nil
	return json.Unmarshal(data, &j.Commands)
}

// member is one process of a test cluster.
type member struct {
	*Group
	cluster *cluster
	node    raft.NodeID
	address string
	path    string
	faults  *transport.Faults
	options Options
	// unaware members are told no address but their own.
	unaware bool

	journal *journal
	store   *logstore.Store
	client  *transport.Client
	server  *transport.Server
	cancel  context.CancelFunc
	ended   chan error
}

// cluster is a group on the loopback interface.
type cluster struct {
	c       *qt.C
	ctx     context.Context
	members []*member
}

func newCluster(c *qt.C, size int, options Options) *cluster {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	c.Cleanup(cancel)
	made := &cluster{c: c, ctx: ctx}
	for number := range size {
		node := raft.NodeID(number + 1)
		options.Bootstrap.Voters = append(options.Bootstrap.Voters, node)
	}
	for range size {
		made.add(options)
	}
	for _, each := range made.members {
		each.start()
	}
	return made
}

// add makes a member that is not started yet.
func (cl *cluster) add(options Options) *member {
	node := raft.NodeID(len(cl.members) + 1)
	server, err := transport.NewServer(log.NewNopLogger(), transport.Options{Address: "127.0.0.1:0"})
	cl.c.Assert(err, qt.IsNil)
	options.Name, options.Node, options.Seed = "test", node, 11
	if options.TickInterval == 0 {
		options.TickInterval, options.ElectionTicks = testTick, testElectionTicks
	}
	made := &member{
		cluster: cl, node: node, address: server.Address(), server: server, options: options,
		path: filepath.Join(cl.c.TempDir(), "raft.db"), faults: &transport.Faults{},
	}
	cl.members = append(cl.members, made)
	cl.c.Cleanup(made.stop)
	return made
}

func (m *member) start() {
	c := m.cluster.c
	var err error
	if m.server == nil {
		m.server, err = transport.NewServer(log.NewNopLogger(), transport.Options{Address: m.address})
		c.Assert(err, qt.IsNil)
	}
	m.client = transport.NewClient(log.NewNopLogger(), transport.Options{Faults: m.faults, CallTimeout: time.Second})
	m.store, err = logstore.Open(m.path, logstore.Identity{Group: "test", Daemon: "control", Node: m.node})
	c.Assert(err, qt.IsNil)
	m.journal = &journal{}
	options := m.options
	options.Store, options.Client, options.Server, options.StateMachine = m.store, m.client, m.server, m.journal
	options.Members = nil
	for _, each := range m.cluster.members {
		if each == m || !m.unaware {
			options.Members = append(options.Members, Member{Node: each.node, Address: each.address})
		}
	}
	m.Group, err = New(log.NewNopLogger(), options)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.ended = cancel, make(chan error, 1)
	go m.server.Serve()
	go func(running *Group, ended chan error) { ended <- running.Run(ctx) }(m.Group, m.ended)
}

// stop ends the member as a process would end; its file stays.
func (m *member) stop() {
	if m.cancel != nil {
		m.cancel()
		<-m.stopped
		_ = m.store.Close()
		m.client.Close()
		m.cancel = nil
	}
	if m.server != nil {
		m.server.Close()
		m.server = nil
	}
}

// wait returns once condition holds, which is asked after every change of m.
func (m *member) wait(what string, condition func(Status) bool) {
	for {
		changed := m.Applied()
		if condition(m.Status()) {
			return
		}
		select {
		case <-changed:
		case <-m.cluster.ctx.Done():
			m.cluster.c.Fatalf("node %d: %s did not come about: %+v", m.node, what, m.Status())
		}
	}
}

// leader waits until one of the members given leads with a valid lease.
func (cl *cluster) leader(among ...*member) *member {
	found := make(chan *member, len(among))
	ctx, cancel := context.WithCancel(cl.ctx)
	defer cancel()
	for _, each := range among {
		go func() {
			for ctx.Err() == nil {
				changed := each.Applied()
				if _, valid := each.LeaderLease(); valid {
					found <- each
					return
				}
				select {
				case <-changed:
				case <-ctx.Done():
				}
			}
		}()
	}
	select {
	case leader := <-found:
		return leader
	case <-ctx.Done():
		cl.c.Fatalf("no leader came about")
		return nil
	}
}

func (cl *cluster) others(excluded *member) []*member {
	return slices.DeleteFunc(slices.Clone(cl.members), func(each *member) bool { return each == excluded })
}

// propose proposes numbered commands. One whose outcome is unknown is sent again to
// the next leader, which the state machine makes safe.
func (cl *cluster) propose(first, count int) {
	for number := first; number < first+count; number++ {
		result, err := cl.proposeOnce(number)
		for structs.KindOf(err) == structs.ErrorUnavailable || structs.KindOf(err) == structs.ErrorNotLeader {
			result, err = cl.proposeOnce(number)
		}
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(result, qt.Equals, number+1)
	}
}

func (cl *cluster) proposeOnce(number int) (any, error) {
	return cl.leader(cl.running()...).Propose(cl.ctx, fmt.Appendf(nil, "command %d", number))
}

func (cl *cluster) running() []*member {
	return slices.DeleteFunc(slices.Clone(cl.members), func(each *member) bool { return each.cancel == nil })
}

func (m *member) commands() []string {
	var commands []string
	m.View(func() { commands = slices.Clone(m.journal.Commands) })
	return commands
}

func (cl *cluster) assertConverged(count int) {
	for _, each := range cl.members {
		each.wait(fmt.Sprint(count, " commands"), func(Status) bool { return len(each.commands()) >= count })
		commands := each.commands()
		cl.c.Assert(commands, qt.HasLen, count)
		for number, command := range commands {
			cl.c.Assert(command, qt.Equals, fmt.Sprint("command ", number))
		}
	}
}

func TestGroupGoesOnWithoutItsLeaderAndTakesItBack(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{})
	first := cl.leader(cl.members...)
	cl.propose(0, 10)
	first.stop()
	second := cl.leader(cl.others(first)...)
	c.Assert(second.Status().Term > first.Status().Term, qt.IsTrue)
	cl.propose(10, 10)
	first.start()
	cl.assertConverged(20)
	for _, each := range cl.members {
		each.stop()
	}
	for _, each := range cl.members {
		each.start()
	}
	cl.propose(20, 1)
	cl.assertConverged(21)
}

func TestFollowerRefusesWithTheLeadersAddress(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{})
	leader := cl.leader(cl.members...)
	follower := cl.others(leader)[0]
	follower.wait("the leader's name", func(status Status) bool { return status.LeaderNode == leader.node })
	_, err := follower.Propose(cl.ctx, []byte("command"))
	for _, err := range []error{err, follower.Read(cl.ctx), follower.TransferLeadership(cl.ctx)} {
		var typed *structs.Error
		c.Assert(errors.As(err, &typed), qt.IsTrue)
		c.Assert(typed.Kind, qt.Equals, structs.ErrorNotLeader)
		c.Assert(typed.Leader, qt.Equals, leader.address)
	}
	_, valid := follower.LeaderLease()
	c.Assert(valid, qt.IsFalse)
	_, err = leader.Propose(cl.ctx, make([]byte, MaxCommandBytes+1))
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
}

func TestMemberFarBehindCatchesUpBySnapshot(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{SnapshotEntries: 20})
	leader := cl.leader(cl.members...)
	behind := cl.others(leader)[0]
	cl.propose(0, 5)
	behind.stop()
	cl.propose(5, 100)
	behind.start()
	c.Assert(behind.Status().AppliedIndex < leader.Status().SnapshotIndex, qt.IsTrue)
	cl.assertConverged(105)
	c.Assert(behind.Status().SnapshotIndex > 20, qt.IsTrue)
	leader.stop() // the snapshot also serves a restart
	leader.start()
	cl.assertConverged(105)
}

// cut cuts all traffic between m and the others.
func (m *member) cut() {
	for _, other := range m.cluster.others(m) {
		m.faults.Cut(other.address)
		other.faults.Cut(m.address)
	}
}

func (m *member) heal() {
	for _, other := range m.cluster.others(m) {
		m.faults.Heal(other.address)
		other.faults.Heal(m.address)
	}
}

func TestLeaderThatIsCutOffLosesItsLeaseAndSaysTheOutcomeIsUnknown(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{})
	old := cl.leader(cl.members...)
	cl.propose(0, 3)
	epoch, _ := old.LeaderLease()
	old.cut()
	_, err := old.Propose(cl.ctx, []byte("lost"))
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
	c.Assert(err, qt.ErrorMatches, "the outcome of the command is unknown: .*same edit or claim ID.*")
	c.Assert(old.Read(cl.ctx), qt.IsNotNil)
	_, valid := old.LeaderLease()
	c.Assert(valid, qt.IsFalse)
	elected := cl.leader(cl.others(old)...)
	next, _ := elected.LeaderLease()
	c.Assert(next > epoch, qt.IsTrue)
	cl.propose(3, 3)
	old.heal()
	cl.assertConverged(6)
}

func TestProposalOfAnEndedContextIsNotMade(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 1, Options{})
	leader := cl.leader(cl.members...)
	ctx, cancel := context.WithCancel(cl.ctx)
	cancel()
	for range 20 {
		_, err := leader.Propose(ctx, []byte("given up"))
		c.Assert(err, qt.IsNotNil)
	}
	cl.propose(0, 1)
}

// A process that was stopped and goes on has read no message yet, but its clock
// tells that the lease is over.
func TestPausedLeaderDoesNotBelieveItsOldLease(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{})
	leader := cl.leader(cl.members...).Group
	leader.statusMutex.Lock()
	lease := leader.lease
	leader.statusMutex.Unlock()
	c.Assert(lease.start >= 0, qt.IsTrue)
	lease.held = true
	for _, test := range []struct {
		name  string
		pause time.Duration
		valid bool
	}{
		{"just short of the lease", leader.leaseDuration() - 1, true},
		{"the lease", leader.leaseDuration(), false},
		{"long", time.Hour, false},
	} {
		paused := &Group{options: leader.options, lease: lease}
		paused.now = func() time.Duration { return lease.start + test.pause }
		_, valid := paused.LeaderLease()
		c.Check(valid, qt.Equals, test.valid, qt.Commentf(test.name))
	}
	timeout := leader.electionTimeout()
	c.Assert(leader.leaseDuration() < timeout-leaseMarginTicks*leader.options.TickInterval, qt.IsTrue)
}

// The lease counts from the moment before the oldest batch of the newest quorum.
func TestLeaseCountsFromTheQuorumsEchoesOfThisTerm(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name     string
		voters   []raft.NodeID
		echoes   map[raft.NodeID]acknowledgement
		expected time.Duration
	}{
		{"alone", []raft.NodeID{1}, nil, 100},
		{"no echo", []raft.NodeID{1, 2, 3}, nil, -1},
		{"one of two", []raft.NodeID{1, 2, 3}, map[raft.NodeID]acknowledgement{2: {70, 5}}, 70},
		{"the newer of two", []raft.NodeID{1, 2, 3}, map[raft.NodeID]acknowledgement{2: {70, 5}, 3: {90, 5}}, 90},
		{"an older term", []raft.NodeID{1, 2, 3}, map[raft.NodeID]acknowledgement{2: {70, 4}}, -1},
		{"no voter", []raft.NodeID{1, 2, 3}, map[raft.NodeID]acknowledgement{4: {70, 5}}, -1},
		{"both of three others", []raft.NodeID{1, 2, 3, 4}, map[raft.NodeID]acknowledgement{2: {70, 5}, 3: {90, 5}}, 70},
		{"leader is no voter", []raft.NodeID{2, 3}, map[raft.NodeID]acknowledgement{2: {70, 5}, 3: {90, 5}}, 70},
	} {
		g := &Group{options: Options{Node: 1}, now: func() time.Duration { return 100 }}
		g.loop.echoes.acknowledged = test.echoes
		status := raft.Status{Term: 5, Membership: raft.Membership{Voters: test.voters}}
		c.Check(g.leaseStart(status), qt.Equals, test.expected, qt.Commentf(test.name))
	}
}

func TestStalledPeerHoldsUpNobody(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{})
	leader := cl.leader(cl.members...)
	stalled, other := cl.others(leader)[0], cl.others(leader)[1]
	for _, each := range []*member{leader, other} {
		each.faults.Delay(stalled.address, time.Hour)
	}
	cl.propose(0, 2*maxQueuedMessages)
	c.Assert(leader.Read(cl.ctx), qt.IsNil)
	for _, each := range []*member{leader, other} {
		each.faults.Heal(stalled.address)
	}
	cl.assertConverged(2 * maxQueuedMessages)
}

func TestReadSeesEveryEarlierProposal(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{})
	leader := cl.leader(cl.members...)
	for number := range 20 {
		cl.propose(number, 1)
		c.Assert(leader.Read(cl.ctx), qt.IsNil)
		c.Assert(leader.commands(), qt.HasLen, number+1)
	}
	const readers = 50
	answers := make(chan error)
	for range readers {
		go func() { answers <- leader.Read(cl.ctx) }()
	}
	for range readers {
		c.Assert(<-answers, qt.IsNil)
	}
}

func TestConcurrentProposalsAreAppliedOnceInTheSameOrder(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{SnapshotEntries: 50})
	leader := cl.leader(cl.members...)
	const proposers, each = 16, 20
	results := make(chan int)
	for proposer := range proposers {
		go func() {
			for number := range each {
				result, err := leader.Propose(cl.ctx, fmt.Appendf(nil, "%d/%d", proposer, number))
				if err != nil {
					result = 0
				}
				results <- result.(int)
			}
		}()
	}
	var positions []int
	for range proposers * each {
		positions = append(positions, <-results)
	}
	slices.Sort(positions)
	for number, position := range positions {
		c.Assert(position, qt.Equals, number+1)
	}
	expected := leader.commands()
	for _, follower := range cl.others(leader) {
		follower.wait("all commands", func(Status) bool { return len(follower.commands()) == len(expected) })
		c.Assert(follower.commands(), qt.DeepEquals, expected)
	}
}

func TestLeadershipIsTransferred(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{})
	old := cl.leader(cl.members...)
	cl.propose(0, 1)
	c.Assert(old.TransferLeadership(cl.ctx), qt.IsNil)
	_, valid := old.LeaderLease()
	c.Assert(valid, qt.IsFalse)
	cl.propose(1, 1)
	cl.assertConverged(2)
}

func TestNodeJoinsIsPromotedAndReplacesAnother(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{SnapshotEntries: 10})
	leader := cl.leader(cl.members...)
	cl.propose(0, 40)
	joining := cl.add(Options{})
	joining.unaware = true
	joining.start()
	added := Member{Node: joining.node, Address: joining.address}
	c.Assert(structs.KindOf(leader.Promote(cl.ctx, added)), qt.Equals, structs.ErrorNotFound)
	c.Assert(leader.AddLearner(cl.ctx, added), qt.IsNil)
	leader.wait("the learner to catch up", func(status Status) bool { return status.Progress[joining.node].CaughtUp })
	c.Assert(leader.Promote(cl.ctx, added), qt.IsNil)
	removed := cl.others(leader)[0]
	c.Assert(leader.Remove(cl.ctx, Member{Node: removed.node}), qt.IsNil)
	removed.stop()
	cl.members = cl.others(removed)
	cl.propose(40, 5)
	cl.assertConverged(45)
	for _, each := range cl.members {
		membership := each.Status().Membership
		c.Assert(membership.Voters, qt.HasLen, 3)
		c.Assert(membership.HasVoter(joining.node), qt.IsTrue)
		c.Assert(each.Status().Addresses[joining.node], qt.Equals, joining.address)
	}
	// The address outlives a restart, with and without a snapshot.
	other := cl.others(leader)[0]
	other.stop()
	other.start()
	c.Assert(leader.TransferLeadership(cl.ctx), qt.IsNil)
	cl.propose(45, 1)
	cl.assertConverged(46)
}

func TestStorageFailureEndsRunAndPromisesNothing(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, 3, Options{})
	leader := cl.leader(cl.members...)
	cl.propose(0, 3)
	c.Assert(leader.store.Close(), qt.IsNil)
	_, err := leader.Propose(cl.ctx, []byte("not durable here"))
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
	c.Assert(<-leader.ended, qt.ErrorMatches, ".*writing .* failed.*")
	_, valid := leader.LeaderLease()
	c.Assert(valid, qt.IsFalse)
	_, err = leader.Propose(cl.ctx, []byte("too late"))
	c.Assert(err, qt.ErrorMatches, ".*is stopped.*nothing was done.*")
	cl.leader(cl.others(leader)...)
}

func TestOptionsThatLeaveNoLeaseAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, options := range []Options{{ElectionTicks: 4, HeartbeatTicks: 1}, {ElectionTicks: 10, HeartbeatTicks: 6}} {
		_, err := New(log.NewNopLogger(), options)
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	}
}
