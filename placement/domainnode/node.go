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

// Node is one controller.
type Node struct {
	options Options
	logger  log.Logger
	metrics *metrics
	server  *transport.Server
	client  *transport.Client
	// caller reaches the leader, which may be this node.
	caller     *leadercall.Caller
	heartbeats *forwarder
	services   services
	// lastOrder is when this process last sent an order; nil for never.
	lastOrder atomic.Pointer[time.Time]
	// stopping is set once a planned stop has begun: the process sends no more orders.
	stopping atomic.Bool

	mutex sync.Mutex
	// member is nil while the store is closed.
	member *member
	// known are the addresses of controllers learned from the group.
	known []string
}

// member is the node's part in the group between opening its store and closing it.
type member struct {
	group   *group.Group
	machine *domain.Machine
	self    group.Member
	// leadership is nil while the member does not lead.
	mutex      sync.Mutex
	leadership *leadership
	// wasMember is set once the member's own log has listed it, removed once the group
	// is found to have removed it. Only the membership loop uses them while it runs.
	wasMember bool
	removed   bool
}

// New makes a node that listens at once and takes part once Run is called.
func New(options Options) (*Node, error) {
	options = options.withDefaults()
	transportOptions := transport.Options{
		Address: options.Address, DialTimeout: dialTimeout, CallTimeout: callTimeout, Network: options.Network,
	}
	if options.Network == nil {
		transportOptions.Network = network.Prompt()
	}
	server, err := transport.NewServer(options.Logger, transportOptions)
	if err != nil {
		return nil, err
	}
	client := transport.NewClient(options.Logger, transportOptions)
	n := &Node{
		options: options,
		logger:  log.With(options.Logger, "component", "controller"),
		metrics: newMetrics(options.Metrics),
		server:  server,
		client:  client,
		caller:  leadercall.New(client, nil).WithTryTimeout(tryTimeout),
	}
	n.heartbeats = newForwarder(n.sendHeartbeats)
	if err := server.Register(domainapi.ServiceName, &service{node: n}); err != nil {
		return nil, err
	}
	n.refreshAddresses()
	return n, nil
}

// Run takes part until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	var serving sync.WaitGroup
	serving.Go(n.server.Serve)
	serving.Go(func() { n.heartbeats.run(ctx) })
	for ctx.Err() == nil {
		err := n.takePart(ctx)
		if err != nil && ctx.Err() == nil {
			n.metrics.reopened.Inc()
			level.Error(n.logger).Log("msg", "The member's store failed and is opened again.", "err", err)
			pause.For(ctx, reopenPause)
		}
	}
	n.client.Close()
	n.server.Close()
	serving.Wait()
	return nil
}

// takePart runs the member from the opening of its store until the store fails, the
// group removes it, or ctx ends.
func (n *Node) takePart(ctx context.Context) error {
	path := filepath.Join(n.options.DataFolder, storeFile)
	store, err := logstore.OpenMember(path, groupName, structs.DaemonID(n.options.Name), group.NewNodeID())
	if structs.KindOf(err) == structs.ErrorCorrupt {
		level.Error(n.logger).Log("msg", "The store is damaged and is given up; the member joins anew.", "err", err)
		return removeStore(path)
	}
	if err != nil {
		return err
	}
	joined, err := n.open(store)
	if err != nil {
		_ = store.Close()
		return err
	}
	level.Info(n.logger).Log("msg", "The store is open.", "node", joined.self.Node, "held", joined.group.Status().Held,
		"version", joined.machine.Document().Version)
	err = n.runMember(ctx, joined)
	if closeErr := store.Close(); err == nil {
		err = closeErr
	}
	if joined.removed && ctx.Err() == nil {
		level.Warn(n.logger).Log("msg", "The group removed this member, which joins anew.", "node", joined.self.Node)
		return removeStore(path)
	}
	return err
}

// open makes the member of an open store.
func (n *Node) open(store *logstore.Store) (*member, error) {
	m := &member{}
	m.machine = domain.NewMachine()
	node := store.Identity().Node
	m.self = group.Member{Node: node, Address: n.options.Address, Name: n.options.Name}
	joined, err := group.New(n.options.Logger, group.Options{
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
		Now:             n.options.Now,
	})
	m.group = joined
	return m, err
}

// runMember runs the group with all that goes on beside it.
func (n *Node) runMember(ctx context.Context, joined *member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mutex.Lock()
	n.member = joined
	n.mutex.Unlock()
	var beside sync.WaitGroup
	beside.Go(func() { n.membershipLoop(ctx, cancel, joined) })
	beside.Go(func() { n.leadershipLoop(ctx, joined) })
	err := joined.group.Run(ctx)
	cancel()
	n.mutex.Lock()
	n.member = nil
	n.mutex.Unlock()
	joined.endLeadership()
	beside.Wait()
	return err
}

// Stop hands leadership over before a planned stop, and tells the leader that this
// member will be silent. ctx bounds it.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	joined, err := n.current()
	if err != nil {
		return
	}
	if joined.group.Status().IsLeader {
		if err := joined.group.TransferLeadership(ctx); err != nil {
			level.Warn(n.logger).Log("msg", "Leadership was not handed over.", "err", err)
		}
	}
	arguments := domainapi.StoppingArguments{Node: joined.self.Node}
	_, err = leadercall.Call(ctx, n.caller, domainapi.MethodStopping, arguments, newReply)
	level.Info(n.logger).Log("msg", "The member announced its stop.", "err", err)
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
		"Ask another controller; if it stays so, check the disk.")
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

// refreshAddresses gives the caller every controller that is known: members first,
// then seeds.
func (n *Node) refreshAddresses() {
	n.mutex.Lock()
	known := n.known
	n.mutex.Unlock()
	n.caller.SetAddresses(leadercall.Unique(known, n.options.Seeds(), []string{n.options.Address}))
}

// memberAddresses lists the addresses of the group's voters and learners.
func memberAddresses(status group.Status) []string {
	var addresses []string
	for _, each := range status.Members(slices.Concat(status.Membership.Voters, status.Membership.Learners)) {
		if each.Address != "" {
			addresses = append(addresses, each.Address)
		}
	}
	return addresses
}

// learnMembers notes the addresses of the group's members.
func (n *Node) learnMembers(status group.Status) {
	addresses := memberAddresses(status)
	n.mutex.Lock()
	n.known = addresses
	n.mutex.Unlock()
	n.refreshAddresses()
}

// now is the time that decisions are made by. It goes on while the machine is suspended.
func (n *Node) now() time.Time { return n.options.Now() }

// Leads reports whether this controller leads, as far as it knows.
func (n *Node) Leads() bool {
	joined, err := n.current()
	return err == nil && joined.leads() != nil
}
