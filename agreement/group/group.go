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
	// incomingBatches bounds the batches of messages that wait for the loop.
	incomingBatches = 256
	// waitingRequests bounds the requests that wait for the loop, and how many one
	// pass takes.
	waitingRequests = 1024
)

// Group runs one member of one raft group.
type Group struct {
	logger  log.Logger
	options Options
	service *raftService
	// now is the time since the group was made, that of suspensions of the machine included.
	now func() time.Duration

	incoming chan StepArguments
	requests chan request
	// stopped is closed when Run has returned.
	stopped chan struct{}
	running sync.Once

	// stateMutex guards the state machine and addresses. Only the loop writes.
	stateMutex sync.RWMutex
	addresses  addressBook

	// statusMutex guards what the loop publishes.
	statusMutex sync.Mutex
	status      Status
	lease       leaseState
	changed     chan struct{}

	loop loop
}

// loop is the state that only the goroutine of Run touches.
type loop struct {
	node      *raft.Node
	applied   uint64
	appliedAt uint64 // term of the last entry applied
	proposals map[uint64]*proposal
	reads     readQueue
	echoes    echoes
	senders   map[raft.NodeID]*sender
	snapshots snapshotState
	standbys  standbys
	// held members neither step messages nor vote; see Options.Hold.
	held bool
	// heard is when the last batch came from each node.
	heard map[raft.NodeID]time.Duration
	// leading is the term in which this node leads, 0 when it does not.
	leading uint64
	// unsaved is the hard state that differs from the stored one in its commit index
	// only, or nil.
	unsaved *raft.HardState
}

// New loads the member's state from the store and restores the state machine. The
// group takes part once Run is called.
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
		incoming:  make(chan StepArguments, incomingBatches),
		requests:  make(chan request, waitingRequests),
		stopped:   make(chan struct{}),
		addresses: newAddressBook(options.Members),
		changed:   make(chan struct{}),
		loop: loop{
			proposals: make(map[uint64]*proposal),
			senders:   make(map[raft.NodeID]*sender),
			heard:     make(map[raft.NodeID]time.Duration),
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

// startNode makes the raft node of what the store holds.
func (g *Group) startNode(restored raft.Restored) error {
	if err := g.restoreFoundation(restored.Snapshot); err != nil {
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

// Run takes part in the group until ctx ends, and then returns nil, or until
// storage fails. It may be called once. Requests that still wait when it returns
// are answered as unavailable.
func (g *Group) Run(ctx context.Context) error {
	err := errors.New("a group runs only once")
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
	for {
		if err := g.process(sending, senders); err != nil {
			level.Error(g.logger).Log("msg", "The group stops because a step failed.", "err", err)
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.tick()
		case batch := <-g.incoming:
			g.step(batch)
		case next := <-g.requests:
			next.start(g)
		}
		g.takeWaiting()
		g.startReads()
	}
}

func (g *Group) tick() {
	if !g.loop.held {
		g.loop.node.Tick()
		g.yield()
	}
}

// takeWaiting takes what else waits, so that it shares the next sync.
func (g *Group) takeWaiting() {
	for range waitingRequests {
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

// process carries out what the node hands out, in the order that raft.Ready
// prescribes, until there is no more.
func (g *Group) process(sending context.Context, senders *sync.WaitGroup) error {
	for g.loop.node.HasReady() {
		if err := g.carryOut(g.loop.node.Ready(), sending, senders); err != nil {
			return err
		}
		g.loop.node.Advance()
	}
	if err := g.compact(); err != nil {
		return err
	}
	g.noteLeadership()
	g.publish()
	g.finishReads()
	return nil
}

func (g *Group) carryOut(ready raft.Ready, sending context.Context, senders *sync.WaitGroup) error {
	if ready.Snapshot != nil {
		if _, err := decodeGroupSnapshot(ready.Snapshot.Data); err != nil {
			return err
		}
	}
	// Messages promise what this call makes durable, so it comes first.
	if err := g.save(ready); err != nil {
		return err
	}
	// One of the messages may hand leadership over, so the lease ends before it.
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
	g.noteReadStates(ready.ReadStates)
	return nil
}

// save makes the work durable. A commit index alone is kept for the next sync: one
// that is lost is found again from the other members.
func (g *Group) save(ready raft.Ready) error {
	if ready.HardState != nil {
		g.loop.unsaved = ready.HardState
	}
	if !ready.MustSync {
		return nil
	}
	err := g.options.Store.Save(g.loop.unsaved, ready.Entries, ready.Snapshot)
	g.loop.unsaved = nil
	return err
}

// stop answers everything that waits. Nothing is added afterwards, because
// callers watch the stopped channel.
func (g *Group) stop() {
	g.loop.leading = 0
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
