package domainnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/mirror"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// mirrorTryTimeout bounds an attempt to ask the leader: the hold time and what a slow link or
	// a busy leader may take.
	mirrorTryTimeout = domainapi.RelayHold + 500*time.Millisecond
	// mirrorTimeout bounds the search for a leader. Afterwards the addresses are looked up again.
	mirrorTimeout = 1500 * time.Millisecond
	// mirrorRetryDelay is the delay after a failed question, and unknownMethodDelay that after
	// a question to a leader of a previous release, which fails them all.
	mirrorRetryDelay   = 50 * time.Millisecond
	unknownMethodDelay = time.Second
	// unwantedDelay is the delay after an answer of a leader that has no use for relays.
	unwantedDelay = 2 * time.Second
	// reportTimeout bounds a report. Routers that wait for it are redirected earlier.
	reportTimeout = 400 * time.Millisecond
)

// relay passes the leader's state on to routers while its node does not lead.
type relay struct {
	node   *Node
	logger log.Logger
	// mirrors and reports call the leader. They share the search for it.
	mirrors, reports *leadercall.Caller
	// replyPacer paces the replies to watches.
	replyPacer *pacer
	// tell triggers a check whether a report is due. It has a capacity of one.
	tell chan struct{}

	mutex  sync.Mutex
	mirror *mirror.Mirror
	// isOpen is set while the node may relay.
	isOpen bool
	// isCurrent is whether the mirror was current when last logged.
	isCurrent bool
	// changed is closed and replaced when the mirror changes.
	changed chan struct{}
}

// newRelay returns the relay of a node, or nil if the settings name no regions.
func newRelay(n *Node) *relay {
	if len(n.options.Regions) == 0 {
		return nil
	}
	caller := leadercall.New(n.client, nil)
	return &relay{
		node:       n,
		logger:     n.logger,
		mirrors:    caller.WithTryTimeout(mirrorTryTimeout),
		reports:    caller.WithTryTimeout(reportTimeout),
		replyPacer: newPacer(n.options.LinkBytes * replyLinkShare),
		tell:       make(chan struct{}, 1),
		mirror:     mirror.New(n.options.Regions),
		changed:    make(chan struct{}),
	}
}

// run keeps the mirror up to date while the member neither leads nor stops, until ctx ends.
func (r *relay) run(ctx context.Context, m *member) {
	if r == nil {
		return
	}
	var loops sync.WaitGroup
	loops.Go(func() { r.reportLoop(ctx) })
	loops.Go(func() { r.documentLoop(ctx, m) })
	defer loops.Wait()
	defer r.close()
	for ctx.Err() == nil {
		changed := m.group.Changed()
		if m.currentLeadership() != nil || m.group.Status().IsLeader || r.node.stopping.Load() {
			r.close()
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := r.ask(ctx, m)
		if err == nil {
			continue
		}
		r.noteCurrency()
		pause.For(ctx, retryDelayAfter(err))
	}
}

// retryDelayAfter returns the delay after a question that failed with the error.
func retryDelayAfter(err error) time.Duration {
	switch {
	case errors.Is(err, errUnwanted):
		return unwantedDelay
	case structs.KindOf(err) == structs.ErrorInternal:
		return unknownMethodDelay
	}
	return mirrorRetryDelay
}

// errUnwanted means that the leader has too few routers for relays.
var errUnwanted = errors.New("the leader answers its routers itself")

// ask asks the leader for changes. A change of the member's term ends the question, since a deposed
// leader may not answer it.
func (r *relay) ask(ctx context.Context, m *member) error {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	go cancelOnTermChange(ctx, cancel, m)
	r.setAddresses(m)
	r.mutex.Lock()
	r.isOpen = !r.node.stopping.Load()
	made := r.node.now()
	question := r.identify(r.mirror.Question(made))
	r.mutex.Unlock()
	asked := made
	reply, err := leadercall.Call(ctx, r.mirrors, domainapi.MethodMirror, question, func() *domainapi.MirrorReply {
		// Called before each attempt: the search for a leader may take long.
		asked = r.node.now()
		return newMirrorReply()
	})
	if err != nil {
		return err
	}
	if reply.IsUnwanted {
		r.close()
		return errUnwanted
	}
	return r.adopt(made, asked, &question, reply)
}

// setAddresses has the leader that the member knows, if any, and then the other controllers asked.
func (r *relay) setAddresses(m *member) {
	own, leader := r.node.options.Address, m.group.Status().LeaderAddress
	addresses := leadercall.Unique([]string{leader}, r.node.caller.Addresses())
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == "" || address == own })
	r.mirrors.SetAddresses(addresses)
	if leader != own {
		r.mirrors.SuggestLeader(leader)
	}
}

// cancelOnTermChange cancels a question once the member's term has changed and a leader is known.
func cancelOnTermChange(ctx context.Context, cancel context.CancelFunc, m *member) {
	before := m.group.Status().Term
	for {
		changed := m.group.Changed()
		if status := m.group.Status(); status.Term != before && status.LeaderNode != raft.None {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func newMirrorReply() *domainapi.MirrorReply { return &domainapi.MirrorReply{} }

// identify adds the relay's name and address to a message.
func (r *relay) identify(message domainapi.MirrorArguments) domainapi.MirrorArguments {
	options := &r.node.options
	message.Relay, message.Address, message.Zone = options.Name, options.Address, options.Zone
	return message
}

func (r *relay) adopt(made, asked time.Time, question *domainapi.MirrorArguments, reply *domainapi.MirrorReply) error {
	r.mutex.Lock()
	term := r.mirror.Term()
	err := r.mirror.Adopt(r.node.now(), made, asked, question, reply)
	hasNewTerm := r.mirror.Term() != term
	routers := r.mirror.Routers(r.node.now())
	r.mutex.Unlock()
	if reply.RelayList.Version != 0 {
		r.node.metrics.traffic.SetPeerZones(reply.RelayList.Zones())
	}
	r.node.metrics.relayedRouters.Set(float64(routers))
	if err != nil {
		level.Error(r.logger).Log("msg", "The leader's answer to a relay is unusable.", "term", reply.State.Term, "err", err)
		return err
	}
	if hasNewTerm {
		level.Info(r.logger).Log("msg", "Relaying a leader's state to routers.", "term", reply.State.Term, "leader", reply.RelayList.Leader.Address,
			"routers", routers)
	}
	r.noteCurrency()
	r.wakeAll()
	return nil
}

// noteCurrency records the mirror's age and logs when it stops being current.
func (r *relay) noteCurrency() {
	r.mutex.Lock()
	now := r.node.now()
	isCurrent, wasCurrent := r.isOpen && r.mirror.IsCurrent(now), r.isCurrent
	r.isCurrent = isCurrent
	term, age := r.mirror.Term(), r.mirror.Age(now)
	r.mutex.Unlock()
	r.node.metrics.mirrorAge.Set(age.Seconds())
	if wasCurrent && !isCurrent {
		level.Warn(r.logger).Log("msg", "This controller relays no more: it has no recent answer from the leader.",
			"term", term, "age", age)
	}
}

// wakeAll wakes the held watches and the report loop.
func (r *relay) wakeAll() {
	r.mutex.Lock()
	close(r.changed)
	r.changed = make(chan struct{})
	r.mutex.Unlock()
	wake.Up(r.tell)
}

// close ends relaying: held watches are redirected, and the mirror is dropped.
func (r *relay) close() {
	if r == nil {
		return
	}
	r.mutex.Lock()
	wasOpen := r.isOpen
	r.isOpen, r.isCurrent = false, false
	r.mirror = mirror.New(r.node.options.Regions)
	r.mutex.Unlock()
	if wasOpen {
		r.node.metrics.relayedRouters.Set(0)
		r.wakeAll()
	}
}

// documentLoop passes each document on as soon as it is replicated to this controller, so that routers
// get it also while the leader is slow to answer, until ctx ends.
func (r *relay) documentLoop(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		changed := m.group.Changed()
		var document domain.Document
		m.group.View(func() { document = m.machine.Document() })
		r.mutex.Lock()
		isNewer := r.isOpen && r.mirror.AdoptDocument(document)
		r.mutex.Unlock()
		if isNewer {
			r.wakeAll()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// reportLoop tells the leader of routers that must not wait for the next question, until ctx ends.
func (r *relay) reportLoop(ctx context.Context) {
	for {
		select {
		case <-r.tell:
		case <-ctx.Done():
			return
		}
		for r.report(ctx) {
			if !pause.For(ctx, mirrorRetryDelay) {
				return
			}
		}
	}
}

// report sends a report if one is due. It returns true if it must be repeated.
func (r *relay) report(ctx context.Context) bool {
	r.mutex.Lock()
	asked := r.node.now()
	message, isDue := r.mirror.Report(asked)
	r.mutex.Unlock()
	if !isDue {
		return false
	}
	message = r.identify(message)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := leadercall.Call(ctx, r.reports, domainapi.MethodMirror, message, newMirrorReply)
	r.mutex.Lock()
	isAdopted := err == nil && r.mirror.AdoptReport(asked, &message, reply)
	if !isAdopted {
		r.mirror.FailReport()
	}
	r.mutex.Unlock()
	r.wakeAll()
	return !isAdopted
}

// redirect returns the error for a router that the relay cannot answer.
func (r *relay) redirect() *structs.Error {
	r.node.metrics.relayedWatches.WithLabelValues("redirected").Inc()
	typed := structs.NewError(structs.ErrorNotLeader, "this controller does not relay the leader's state now", "Ask the leader.")
	if m, err := r.node.current(); err == nil {
		if status := m.group.Status(); status.LeaderNode != status.Node {
			typed.Leader = status.LeaderAddress
		}
	}
	return typed
}
