package group

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	testTick = 20 * time.Millisecond
	// testElectionTicks gives an election timeout of 2 s, so that short stalls of the
	// machine cause no elections.
	testElectionTicks = 100
	// testLimit ends a test that hangs.
	testLimit = 5 * time.Minute
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// commandLog is a state machine that stores each distinct command once, in order. Apply
// returns the position of the command, counted from 1.
type commandLog struct{ Commands []string }

func (j *commandLog) Apply(_, _ uint64, command []byte) any {
	if position := slices.Index(j.Commands, string(command)); position >= 0 {
		return position + 1
	}
	j.Commands = append(j.Commands, string(command))
	return len(j.Commands)
}

func (j *commandLog) Snapshot() ([]byte, error) { return json.Marshal(j.Commands) }

func (j *commandLog) Restore(data []byte) error {
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
	// knowsNoPeers members are configured with their own address only.
	knowsNoPeers bool

	state     *commandLog
	store     *logstore.Store
	client    *transport.Client
	server    *transport.Server
	cancel    context.CancelFunc
	runResult chan error
}

// cluster is a group whose members run in this process. Tests run in virtual time on an
// in-memory network; benchmarks use a nil network, which is TCP.
type cluster struct {
	c       *qt.C
	ctx     context.Context
	network network.Network
	members []*member
	// wrapStore, if set, returns the store that a member uses.
	wrapStore func(store Store) Store
}

func newCluster(c *qt.C, size int, options Options) *cluster {
	return newClusterWithStores(c, size, options, nil)
}

func newClusterWithStores(c *qt.C, size int, options Options, wrapStore func(store Store) Store) *cluster {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	c.Cleanup(cancel)
	made := &cluster{c: c, ctx: ctx, wrapStore: wrapStore}
	if _, isTest := c.TB.(*testing.T); isTest {
		made.network = networktest.NewMemory(0)
	}
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
	if size > 0 {
		c.Assert(made.members[0].submit(ctx, electNow{}), qt.IsNil)
	}
	return made
}

// electNow ticks a member that knows no leader until it starts an election.
type electNow struct{}

// start implements request.
func (electNow) start(g *Group) {
	for range 2 * g.options.ElectionTicks {
		status := g.loop.node.Status()
		if status.Leader == raft.None && status.Role == raft.Follower {
			g.loop.node.Tick()
		}
	}
}

// add creates a member without starting it.
func (cl *cluster) add(options Options) *member {
	node := raft.NodeID(len(cl.members) + 1)
	server, err := transport.NewServer(log.NewNopLogger(), transport.Options{Address: "127.0.0.1:0", Network: cl.network})
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
	m.open()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.runResult = cancel, make(chan error, 1)
	go m.server.Serve()
	go func(running *Group, ended chan error) { ended <- running.Run(ctx) }(m.Group, m.runResult)
}

// open creates the member's group without running it.
func (m *member) open() {
	c := m.cluster.c
	var err error
	if m.server == nil {
		m.server, err = transport.NewServer(log.NewNopLogger(), transport.Options{Address: m.address, Network: m.cluster.network})
		c.Assert(err, qt.IsNil)
	}
	m.client = transport.NewClient(log.NewNopLogger(), transport.Options{
		Network: m.cluster.network, Faults: m.faults, CallTimeout: time.Second,
	})
	m.store, err = logstore.Open(m.path, logstore.Identity{Group: "test", Daemon: "control", Node: m.node})
	c.Assert(err, qt.IsNil)
	m.state = &commandLog{}
	options := m.options
	options.Store, options.Client, options.Server, options.StateMachine = m.store, m.client, m.server, m.state
	if m.cluster.wrapStore != nil {
		options.Store = m.cluster.wrapStore(m.store)
	}
	options.Members = nil
	for _, each := range m.cluster.members {
		if each == m || !m.knowsNoPeers {
			options.Members = append(options.Members, Member{Node: each.node, Address: each.address})
		}
	}
	m.Group, err = New(log.NewNopLogger(), options)
	c.Assert(err, qt.IsNil)
}

// stop stops the member like a process exit; its file remains.
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

// waitFor returns once condition holds; it is evaluated after every change of m.
func (m *member) waitFor(what string, condition func(Status) bool) {
	for {
		changed := m.Changed()
		if condition(m.Status()) {
			return
		}
		select {
		case <-changed:
		case <-m.cluster.ctx.Done():
			m.cluster.c.Fatalf("node %d: timed out waiting for %s: %+v", m.node, what, m.Status())
		}
	}
}

// leader waits until one of the given members leads with a valid lease.
func (cl *cluster) leader(among ...*member) *member {
	found := make(chan *member, len(among))
	ctx, cancel := context.WithCancel(cl.ctx)
	defer cancel()
	for _, each := range among {
		go func() {
			for ctx.Err() == nil {
				changed := each.Changed()
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
		cl.c.Fatalf("no leader was elected")
		return nil
	}
}

func (cl *cluster) others(excluded *member) []*member {
	return slices.DeleteFunc(slices.Clone(cl.members), func(each *member) bool { return each == excluded })
}

// propose proposes numbered commands. A command with an unknown outcome is retried at the
// next leader; the state machine ignores duplicates.
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
	m.View(func() { commands = slices.Clone(m.state.Commands) })
	return commands
}

func (cl *cluster) assertConverged(count int) {
	for _, each := range cl.members {
		each.waitFor(fmt.Sprint(count, " commands"), func(Status) bool { return len(each.commands()) >= count })
		commands := each.commands()
		cl.c.Assert(commands, qt.HasLen, count)
		for number, command := range commands {
			cl.c.Assert(command, qt.Equals, fmt.Sprint("command ", number))
		}
	}
}

// partition blocks all traffic between m and the others.
func (m *member) partition() {
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
