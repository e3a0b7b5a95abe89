package group

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

const (
	// maxIncomingBatches is the capacity of the queue of incoming message batches.
	maxIncomingBatches = 256
	// maxPendingRequests is the capacity of the request queue, and the maximum number of
	// batches and requests taken per iteration.
	maxPendingRequests = 1024
)

// Group runs one member of a Raft group.
type Group struct {
	logger  log.Logger
	options Options
	service *raftService
	// now returns the time since New, including machine suspensions.
	now func() time.Duration

	incoming chan StepArguments
	requests chan request
	// stopped is closed when Run returns.
	stopped chan struct{}
	running sync.Once

	// stateMutex guards the state machine and addresses. Only the loop modifies them.
	stateMutex sync.RWMutex
	addresses  addressBook

	// statusMutex guards the state that the loop publishes.
	statusMutex sync.Mutex
	status      Status
	lease       leaseState
	changed     chan struct{}

	loop loop
}

// loop is the state owned by the goroutine of Run.
type loop struct {
	node  *raft.Node
	ticks <-chan time.Time
	// tickedAt is when the last tick was handled.
	tickedAt time.Duration
	// writeTime is how long a write to the store takes at present.
	writeTime   time.Duration
	applied     uint64
	appliedTerm uint64
	proposals   map[uint64]*proposal
	reads       readQueue
	echoes      echoes
	senders     map[raft.NodeID]*sender
	snapshots   snapshotState
	standbys    standbyState
	// held disables ticks and messages; see Options.Hold.
	held bool
	// lastHeard is the time of the last batch from each node.
	lastHeard map[raft.NodeID]time.Duration
	// leaderTerm is the term in which this node leads, or 0.
	leaderTerm uint64
	// unsavedHardState is a hard state that differs from the stored one only in its
	// commit index, or nil.
	unsavedHardState *raft.HardState
}

// New loads the member's state from the store and restores the state machine. The
// member becomes active when Run is called.
func New(logger log.Logger, options Options) (*Group, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	started := options.Now()
	g := &Group{
		logger:    log.With(logger, "component", "group", "group", options.Name),
		options:   options,
		now:       func() time.Duration { return options.Now().Sub(started) },
		incoming:  make(chan StepArguments, maxIncomingBatches),
		requests:  make(chan request, maxPendingRequests),
		stopped:   make(chan struct{}),
		addresses: newAddressBook(options.Members),
		changed:   make(chan struct{}),
		loop: loop{
			proposals: make(map[uint64]*proposal),
			senders:   make(map[raft.NodeID]*sender),
			lastHeard: make(map[raft.NodeID]time.Duration),
			echoes:    newEchoes(),
		},
	}
	if err := g.load(); err != nil {
		return nil, err
	}
	g.service, err = sharedService(options.Server)
	if err != nil {
		return nil, err
	}
	g.publish()
	return g, nil
}

func (g *Group) load() error {
	restored, err := g.options.Store.Load()
	if err != nil {
		return err
	}
	if isEmpty(restored) && len(g.options.Bootstrap.Voters) > 0 {
		restored.Snapshot.Membership = g.options.Bootstrap
		if err := g.options.Store.Save(nil, nil, &restored.Snapshot); err != nil {
			return err
		}
	}
	if restored.Snapshot.Index > 0 {
		if err := g.restoreSnapshot(restored.Snapshot); err != nil {
			return err
		}
	}
	return g.startNode(restored)
}

// startNode creates the raft node from the restored state.
func (g *Group) startNode(restored raft.Restored) error {
	if err := g.restoreFoundingSnapshot(restored.Snapshot); err != nil {
		return err
	}
	node, err := raft.New(raft.Config{
		ID:                    g.options.Node,
		ElectionTicks:         g.options.ElectionTicks,
		HeartbeatTicks:        g.options.HeartbeatTicks,
		MaxMessageEntries:     maxMessageEntries,
		MaxInflightMessages:   maxInflightMessages,
		MaxUncommittedEntries: maxUncommittedEntries,
		Random:                rand.New(rand.NewPCG(g.options.Seed, uint64(g.options.Node))),
	}, restored)
	if err != nil {
		return errors.Wrapf(err, "start raft node of group %s", g.options.Name)
	}
	g.loop.node = node
	g.loop.held = g.options.Hold && len(node.Status().Membership.Voters) == 0
	return nil
}

func isEmpty(restored raft.Restored) bool {
	return restored.HardState == (raft.HardState{}) && restored.Snapshot.Index == 0 &&
		len(restored.Snapshot.Membership.Voters) == 0 && len(restored.Entries) == 0
}

// Run runs the member until ctx ends, and then returns nil, or until storage or the
// state machine fails. It may be called only once. Requests pending when it returns
// fail with ErrorUnavailable.
func (g *Group) Run(ctx context.Context) error {
	err := errors.New("Run was called more than once")
	g.running.Do(func() { err = g.run(ctx) })
	return err
}

func (g *Group) run(ctx context.Context) error {
	if err := g.service.add(g); err != nil {
		return err
	}
	sending, stopSending := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	err := g.serve(ctx, sending, &senders)
	g.service.remove(g)
	stopSending()
	senders.Wait()
	g.stop()
	return err
}

func (g *Group) serve(ctx, sending context.Context, senders *sync.WaitGroup) error {
	ticker := time.NewTicker(g.options.TickInterval)
	defer ticker.Stop()
	g.loop.ticks, g.loop.tickedAt = ticker.C, g.now()
	for {
		if err := g.process(sending, senders); err != nil {
			level.Error(g.logger).Log("msg", "Stopping the group after a processing error.", "err", err)
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.noteTick()
			g.tick()
		case batch := <-g.incoming:
			g.step(batch)
		case next := <-g.requests:
			next.start(g)
		}
		g.drainPending()
		g.startReads()
	}
}

func (g *Group) tick() {
	if !g.loop.held {
		g.loop.node.Tick()
		g.yieldLeadership()
	}
}

// noteTick reports how late a tick is handled, by the time since the one before.
func (g *Group) noteTick() {
	now := g.now()
	late := max(0, now-g.loop.tickedAt-g.options.TickInterval)
	g.loop.tickedAt = now
	if g.options.OnTick != nil {
		g.options.OnTick(late)
	}
}

// drainPending takes the other pending batches and requests, so that they share the next
// sync.
func (g *Group) drainPending() {
	for range maxPendingRequests {
		select {
		case batch := <-g.incoming:
			g.step(batch)
		case next := <-g.requests:
			next.start(g)
		default:
			return
		}
	}
}

// process handles Readys of the node until there are none, then compacts the log and
// publishes the state.
func (g *Group) process(sending context.Context, senders *sync.WaitGroup) error {
	for g.loop.node.HasReady() {
		if err := g.handleReady(g.loop.node.Ready(), sending, senders); err != nil {
			return err
		}
		g.loop.node.Advance()
	}
	if err := g.compact(sending, senders); err != nil {
		return err
	}
	g.updateLeadership()
	g.publish()
	g.finishReads()
	return nil
}

func (g *Group) handleReady(ready raft.Ready, sending context.Context, senders *sync.WaitGroup) error {
	if ready.Snapshot != nil {
		if _, err := decodeGroupSnapshot(ready.Snapshot.Data); err != nil {
			return err
		}
	}
	// Messages acknowledge what save makes durable.
	if err := g.save(ready, sending, senders); err != nil {
		return err
	}
	// A message may transfer leadership, so the lease must end before it is sent.
	if !g.loop.node.LeaseValid() {
		g.endLease()
	}
	g.send(ready.Messages, sending, senders)
	if ready.Snapshot != nil {
		if err := g.restoreSnapshot(*ready.Snapshot); err != nil {
			return err
		}
		g.failProposalsUpTo(ready.Snapshot.Index)
	}
	if err := g.apply(ready.Committed); err != nil {
		return err
	}
	g.confirmReads(ready.ReadStates)
	return nil
}

// save persists a Ready. A changed commit index alone is deferred to the next sync,
// because a lost one is recovered from the other members.
func (g *Group) save(ready raft.Ready, sending context.Context, senders *sync.WaitGroup) error {
	if ready.HardState != nil {
		g.loop.unsavedHardState = ready.HardState
	}
	if !ready.MustSync {
		return nil
	}
	hardState := g.loop.unsavedHardState
	g.loop.unsavedHardState = nil
	return g.awaitWrite(sending, senders, "log", func() error {
		return g.options.Store.Save(hardState, ready.Entries, ready.Snapshot)
	})
}

// stop fails all pending requests. No request is added afterwards, because callers
// watch the stopped channel.
func (g *Group) stop() {
	g.loop.leaderTerm = 0
	g.failProposals()
	g.failReads()
	g.statusMutex.Lock()
	g.status.IsLeader = false
	g.status.LeaseValid = false
	g.lease = leaseState{}
	close(g.changed)
	g.changed = make(chan struct{})
	g.statusMutex.Unlock()
	close(g.stopped)
}
