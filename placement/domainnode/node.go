package domainnode

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	groupName = "domain"
	storeFile = "domain.db"
)

// Node is a controller of a placement domain.
type Node struct {
	options Options
	logger  log.Logger
	metrics *metrics
	server  *transport.Server
	client  *transport.Client
	// caller calls the leader, which may be this node.
	caller     *leadercall.Caller
	heartbeats *forwarder
	services   services
	workload   workload
	// relay is nil if the settings name no regions.
	relay *relay
	// streams are the versions of streams, whether this controller leads or not.
	streams *streamRegister
	// lastOrder is when this process last sent an order; nil if it has sent none.
	lastOrder atomic.Pointer[time.Time]
	// stopping is set once a planned stop has begun; no orders are sent afterwards.
	stopping atomic.Bool

	mutex sync.Mutex
	// member is nil while the store is closed.
	member *member
	// knownAddresses are the addresses of the group's members.
	knownAddresses []string
}

// member is the node's group member while its store is open.
type member struct {
	group   *group.Group
	machine *domain.Machine
	self    group.Member
	// leadership is nil while the member does not lead.
	mutex      sync.Mutex
	leadership *leadership
	// wasMember is set once the member's log has listed it, removed once the group has removed
	// it. Both belong to the membership loop while it runs.
	wasMember bool
	removed   bool
	// wasListed is set if the log listed the member when the store was opened, in a membership at the index listedAt.
	wasListed bool
	listedAt  uint64
}

// New returns a node that listens on its address. It participates once Run is called.
func New(options Options) (*Node, error) {
	options = options.withDefaults()
	transportOptions := transport.Options{
		Address: options.Address, DialTimeout: dialTimeout, CallTimeout: callTimeout, Network: options.Network,
	}
	if options.Network == nil {
		transportOptions.Network = network.Prompt()
	}
	transportOptions.Network = network.ForControl(transportOptions.Network)
	server, err := transport.NewServer(options.Logger, transportOptions)
	if err != nil {
		return nil, err
	}
	made := newMetrics(options)
	transportOptions.OnMessage = made.traffic.AddMessage
	client := transport.NewClient(options.Logger, transportOptions)
	n := &Node{
		options: options,
		logger:  log.With(options.Logger, "component", "controller"),
		metrics: made,
		server:  server,
		client:  client,
		caller:  leadercall.New(client, nil).WithTryTimeout(tryTimeout),
	}
	n.heartbeats = newForwarder(n.sendHeartbeats)
	n.relay = newRelay(n)
	n.streams = newStreamRegister(options.Seed)
	if err := server.Register(domainapi.ServiceName, &service{node: n}); err != nil {
		return nil, err
	}
	n.refreshAddresses()
	return n, nil
}

// Run runs the node until ctx ends, reopening the store after failures.
func (n *Node) Run(ctx context.Context) error {
	var serving sync.WaitGroup
	serving.Go(n.server.Serve)
	serving.Go(func() { n.heartbeats.run(ctx) })
	for ctx.Err() == nil {
		err := n.runStore(ctx)
		if err != nil && ctx.Err() == nil {
			n.metrics.reopened.Inc()
			level.Error(n.logger).Log("msg", "The store failed; reopening it.", "err", err)
			pause.For(ctx, reopenPause)
		}
	}
	n.client.Close()
	n.server.Close()
	serving.Wait()
	return nil
}

// runStore opens the store and runs the member until the store fails, the group removes the
// member, or ctx ends. It deletes the store if it is corrupt or the member was removed.
func (n *Node) runStore(ctx context.Context) error {
	path := filepath.Join(n.options.DataFolder, storeFile)
	store, err := logstore.OpenMember(path, groupName, structs.DaemonID(n.options.Name), group.NewNodeID())
	if structs.KindOf(err) == structs.ErrorCorrupt {
		level.Error(n.logger).Log("msg", "The store is corrupt and is removed; the member rejoins with a new identity.", "err", err)
		return removeStore(path)
	}
	if err != nil {
		return err
	}
	m, err := n.newMember(store)
	if err != nil {
		_ = store.Close()
		return err
	}
	level.Info(n.logger).Log("msg", "The store is open.", "node", m.self.Node, "held", m.group.Status().Held,
		"version", m.machine.Document().Version)
	err = n.runMember(ctx, m)
	if closeErr := store.Close(); err == nil {
		err = closeErr
	}
	if m.removed && ctx.Err() == nil {
		level.Warn(n.logger).Log("msg", "The group removed this member; it rejoins with a new identity.", "node", m.self.Node)
		return removeStore(path)
	}
	return err
}

// newMember returns the member of an open store.
func (n *Node) newMember(store *logstore.Store) (*member, error) {
	m := &member{}
	m.machine = domain.NewMachine()
	node := store.Identity().Node
	m.self = group.Member{Node: node, Address: n.options.Address, Name: n.options.Name}
	raftGroup, err := group.New(n.options.Logger, group.Options{
		Name:            groupName,
		Node:            node,
		Members:         []group.Member{m.self},
		Hold:            true,
		Store:           store,
		Client:          n.client,
		Server:          n.server,
		StateMachine:    m.machine,
		TickInterval:    n.options.TickInterval,
		ElectionTicks:   n.options.ElectionTicks,
		HeartbeatTicks:  n.options.HeartbeatTicks,
		SnapshotEntries: snapshotEntries,
		Seed:            n.options.Seed,
		OnWrite:         n.noteWrite,
		OnTick:          n.noteTick,
		OnRoundTrip:     n.noteRoundTrip,
		Now:             n.options.Now,
	})
	m.group = raftGroup
	if err == nil {
		status := raftGroup.Status()
		m.wasListed, m.listedAt = status.Membership.Has(node), status.MembershipIndex
	}
	return m, err
}

// runMember runs the raft group with the membership and leadership loops.
func (n *Node) runMember(ctx context.Context, m *member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mutex.Lock()
	n.member = m
	n.mutex.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { n.membershipLoop(ctx, cancel, m) })
	loops.Go(func() { n.leadershipLoop(ctx, m) })
	loops.Go(func() { n.relay.run(ctx, m) })
	err := m.group.Run(ctx)
	cancel()
	n.mutex.Lock()
	n.member = nil
	n.mutex.Unlock()
	m.endLeadership()
	loops.Wait()
	return err
}

// Stop prepares a planned stop: it transfers leadership and announces the stop to the
// leader. ctx bounds it.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.relay.close()
	m, err := n.current()
	if err != nil {
		return
	}
	if m.group.Status().IsLeader {
		if err := m.group.TransferLeadership(ctx); err != nil {
			level.Warn(n.logger).Log("msg", "The leadership transfer failed.", "err", err)
		}
	}
	arguments := domainapi.StoppingArguments{Node: m.self.Node}
	_, err = leadercall.Call(ctx, n.caller, domainapi.MethodStopping, arguments, newReply)
	level.Info(n.logger).Log("msg", "The planned stop was announced to the leader.", "err", err)
}

// current returns the member, or an error while the store is closed.
func (n *Node) current() (*member, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.member == nil {
		return nil, storeClosedError()
	}
	return n.member, nil
}

func storeClosedError() error {
	typed := structs.NewError(structs.ErrorUnavailable, "this controller's store is not open",
		"Try another controller. If the error persists, check the disk.")
	typed.RetryAfter = reopenPause
	return typed
}

func removeStore(path string) error {
	if err := os.Remove(path); err != nil {
		return errors.Wrap(err, "remove store")
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync data folder")
}

func newReply() *domainapi.Reply { return &domainapi.Reply{} }

// refreshAddresses gives the caller the known controllers: members, seeds, this node.
func (n *Node) refreshAddresses() {
	n.mutex.Lock()
	known := n.knownAddresses
	n.mutex.Unlock()
	n.caller.SetAddresses(leadercall.Unique(known, n.options.Seeds(), []string{n.options.Address}))
}

// memberAddresses returns the addresses of the group's voters and learners.
func memberAddresses(status group.Status) []string {
	var addresses []string
	for _, each := range status.Members(slices.Concat(status.Membership.Voters, status.Membership.Learners)) {
		if each.Address != "" {
			addresses = append(addresses, each.Address)
		}
	}
	return addresses
}

// setKnownAddresses records the addresses of the group's members.
func (n *Node) setKnownAddresses(status group.Status) {
	addresses := memberAddresses(status)
	n.mutex.Lock()
	n.knownAddresses = addresses
	n.mutex.Unlock()
	n.refreshAddresses()
}

// now returns the time for decisions. The clock advances while the machine is suspended.
func (n *Node) now() time.Time { return n.options.Now() }

// Leads reports whether this controller believes it is the leader.
func (n *Node) Leads() bool {
	m, err := n.current()
	return err == nil && m.currentLeadership() != nil
}
