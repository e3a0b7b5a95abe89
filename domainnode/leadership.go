package domainnode

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/domain"
	"github.com/lotusferry/lotusferry/fleet"
	"github.com/lotusferry/lotusferry/raft"
	"github.com/lotusferry/lotusferry/residency"
	"github.com/lotusferry/lotusferry/site"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// planInterval is the longest pause between two looks at what to load.
	planInterval = 100 * time.Millisecond
	// routerLife is how long a router that has gone silent keeps its part of what is
	// granted to all.
	routerLife = 25 * time.Second
	// contactLife is how long after its last call a router counts as in contact.
	contactLife = 1500 * time.Millisecond
	// tellTimeout bounds the wait until routers know of a departure.
	tellTimeout = 600 * time.Millisecond
	// orderTimeout bounds one order or question to a runner.
	orderTimeout = time.Second
	// stoppingLife is how long an announced stop counts.
	stoppingLife = 15 * time.Second
)

// leadership is what a member holds in memory while it leads, in one term.
type leadership struct {
	node    *Node
	logger  log.Logger
	options Options
	member  *member
	term    structs.Epoch
	// wake asks the plan loop for a look now.
	wake chan struct{}

	mutex    sync.Mutex
	registry *fleet.Registry
	planner  *residency.Planner
	// view is the newest for routers; revision counts its changes.
	view     fleet.View
	revision uint64
	// document is the one that the planner works by.
	document uint64
	// changed is closed and replaced at each change of view or document.
	changed  chan struct{}
	routers  map[string]routerContact
	stopping map[raft.NodeID]time.Time
	ended    bool
	// summedUpAt is when the demand was last logged.
	summedUpAt time.Time
}

// routerContact is what the leader knows of a router.
type routerContact struct {
	at time.Time
	// revision of the view that the router had when it last asked.
	revision uint64
}

// leadershipLoop begins and ends the leadership as the group's lease says.
func (n *Node) leadershipLoop(ctx context.Context, joined *member) {
	for ctx.Err() == nil {
		changed := joined.group.Applied()
		term, isValid := joined.group.LeaderLease()
		current := joined.leads()
		switch {
		case isValid && (current == nil || current.term != term):
			n.beginLeadership(ctx, joined, term)
		case current != nil && (!joined.group.Status().IsLeader || current.term != term):
			joined.endLeadership()
			level.Info(n.logger).Log("msg", "This controller leads no more.", "term", current.term)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (n *Node) beginLeadership(ctx context.Context, joined *member, term structs.Epoch) {
	at := now()
	ordersFrom := n.ordersFrom(ctx, at)
	l := &leadership{
		node:     n,
		logger:   log.With(n.logger, "term", term),
		options:  n.options,
		member:   joined,
		term:     term,
		wake:     make(chan struct{}, 1),
		registry: fleet.NewRegistry(at),
		planner:  residency.NewPlanner(n.options.Planner, ordersFrom),
		changed:  make(chan struct{}),
		routers:  make(map[string]routerContact),
		stopping: make(map[raft.NodeID]time.Time),
	}
	joined.group.View(func() {
		for instance, isGone := range joined.machine.Departures() {
			l.registry.Depart(at, instance, isGone)
		}
		for _, each := range joined.machine.Registrations() {
			l.registry.Recall(at, fleet.Heartbeat{
				Instance: each.Instance, Service: each.Service, Address: each.Address, Zone: each.Zone, Slots: each.Slots,
			})
		}
	})
	joined.mutex.Lock()
	joined.leadership = l
	joined.mutex.Unlock()
	n.metrics.leads.Set(1)
	n.metrics.changes.Inc()
	level.Info(l.logger).Log("msg", "This controller leads.", "orders_in", ordersFrom.Sub(at))
	go l.run(ctx)
}

// ordersFrom is when a leader that begins at the time may send its first order: a lease
// after the last order of any other. Where fences are not enforced, a member that does
// not answer may have sent one just now.
func (n *Node) ordersFrom(ctx context.Context, at time.Time) time.Time {
	latest := at.Add(n.options.OrderLease)
	if !n.options.FencesEnforced {
		return latest
	}
	replies, _ := n.describeOthers(ctx)
	from := at
	for _, reply := range replies {
		if reply.HasOrdered {
			from = later(from, now().Add(n.options.OrderLease-reply.SinceOrder))
		}
	}
	if from.After(latest) {
		return latest
	}
	return from
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *member) leads() *leadership {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.leadership
}

func (m *member) endLeadership() {
	m.mutex.Lock()
	ending := m.leadership
	m.leadership = nil
	m.mutex.Unlock()
	if ending == nil {
		return
	}
	ending.node.metrics.leads.Set(0)
	ending.mutex.Lock()
	defer ending.mutex.Unlock()
	ending.ended = true
	ending.notify()
}

// isValid reports whether no other controller can lead now.
func (l *leadership) isValid() bool {
	term, isValid := l.member.group.LeaderLease()
	return isValid && term == l.term
}

// run plans until the leadership ends.
func (l *leadership) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
		}
		l.mutex.Lock()
		ended := l.ended
		l.mutex.Unlock()
		if ended {
			return
		}
		if l.isValid() {
			l.step(ctx)
		}
	}
}

// step looks once at what the runners hold and what is demanded, and sends orders.
func (l *leadership) step(ctx context.Context) {
	l.adoptDocument()
	l.mutex.Lock()
	at := now()
	l.registry.Expire(at)
	l.refresh(at)
	questions := l.planner.Questions(at)
	orders := l.planner.Plan(at)
	l.refresh(at)
	l.sumUp(at)
	l.mutex.Unlock()
	for _, status := range questions {
		go l.ask(ctx, status)
	}
	for _, order := range orders {
		go l.send(ctx, order)
	}
}

const (
	// summaryInterval is the pause between two lines about the demand, and
	// summaryModels how many models each lists at most.
	summaryInterval = 2 * time.Second
	summaryModels   = 8
)

// sumUp logs the demand and how it is met, and forgets what has been silent for long.
// It runs under the mutex.
func (l *leadership) sumUp(at time.Time) {
	if at.Sub(l.summedUpAt) < summaryInterval {
		return
	}
	l.summedUpAt = at
	l.forgetSilent(at)
	var models []string
	waiting := 0
	for _, summary := range l.planner.Summary(at) {
		waiting += summary.Waiting
		if len(models) < summaryModels {
			models = append(models, fmt.Sprintf("%s:%.1f/s,%d+%d,w%d,a%d", summary.Model, summary.Rate,
				summary.Replicas, summary.Coming, summary.Waiting, summary.Active))
		}
	}
	l.node.metrics.waiting.Set(float64(waiting))
	l.node.metrics.runners.Set(float64(len(l.view.Runners)))
	l.node.metrics.routers.Set(float64(len(l.routers)))
	l.node.metrics.version.Set(float64(l.document))
	level.Info(l.logger).Log("msg", "The demand is met so.", "waiting", waiting, "runners", len(l.view.Runners),
		"models", strings.Join(models, " "))
}

// adoptDocument gives the planner the document in force.
func (l *leadership) adoptDocument() {
	var current domain.Document
	l.member.group.View(func() { current = l.member.machine.Document() })
	l.mutex.Lock()
	isKnown := l.document == current.Version
	l.mutex.Unlock()
	if isKnown {
		return
	}
	document, err := l.options.documentOf(current)
	if err != nil {
		level.Error(l.logger).Log("msg", "The document in force cannot be decoded.", "version", current.Version, "err", err)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.document = current.Version
	l.planner.SetDocument(site.NewIndex(document))
	l.notify()
	level.Info(l.logger).Log("msg", "A document is in force.", "version", current.Version)
}

// refresh makes the view anew and wakes the routers if it has changed. It runs under
// the mutex.
func (l *leadership) refresh(at time.Time) {
	statuses := l.registry.Runners(at)
	l.planner.SetRunners(at, statuses)
	view := fleet.View{Complete: l.registry.Complete(at), Gone: l.registry.Gone()}
	for _, status := range statuses {
		heartbeat := status.Heartbeat
		view.Runners = append(view.Runners, fleet.Runner{
			Instance: heartbeat.Instance,
			Service:  heartbeat.Service,
			Address:  heartbeat.Address,
			Zone:     heartbeat.Zone,
			Slots:    heartbeat.Slots,
			Leaving:  status.Leaving,
			Slow:     l.planner.IsSlow(at, heartbeat.Instance),
			Models:   l.planner.Loaded(heartbeat.Instance),
		})
	}
	if l.revision > 0 && view.Equal(l.view) {
		return
	}
	l.view = view
	l.revision++
	l.notify()
}

// notify wakes whoever waits for a change. It runs under the mutex.
func (l *leadership) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// wakePlan asks for a look at what to load now.
func (l *leadership) wakePlan() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// ask asks a runner what it holds.
func (l *leadership) ask(ctx context.Context, status fleet.Status) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	askedAt := now()
	report, err := l.options.Engines.Report(ctx, status.Heartbeat)
	instance := status.Heartbeat.Instance
	l.node.metrics.reports.WithLabelValues(outcomeName(err)).Inc()
	if err != nil {
		level.Warn(l.logger).Log("msg", "A runner gave no report.", "runner", instance, "err", err)
		return
	}
	level.Debug(l.logger).Log("msg", "A runner reported.", "runner", instance, "taken", report.Taken,
		"busy", report.Busy, "models", len(report.Models))
	l.mutex.Lock()
	l.planner.Reported(now(), askedAt, instance, report)
	l.refresh(now())
	l.mutex.Unlock()
	l.wakePlan()
}

// send sends one order, unless the lease has ended since it was planned.
func (l *leadership) send(ctx context.Context, order residency.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome := residency.OutcomeRefused
	began := now()
	if l.isValid() && !l.node.stopping.Load() {
		l.node.lastOrder.Store(&began)
		outcome = l.options.Engines.Order(ctx, Holder{Name: l.options.Name, Token: uint64(l.term)}, order)
	}
	l.node.metrics.orders.WithLabelValues(order.Operation.String(), outcome.String()).Inc()
	l.node.metrics.orderTime.Observe(now().Sub(began).Seconds())
	level.Info(l.logger).Log("msg", "An order was answered.", "runner", order.Instance, "operation", order.Operation,
		"model", order.Model, "adapter", order.Adapter, "expected", order.Expected, "outcome", outcome,
		"took", now().Sub(began))
	l.mutex.Lock()
	l.planner.Answered(now(), order, outcome)
	l.refresh(now())
	l.mutex.Unlock()
	l.wakePlan()
}

func (l *leadership) isStopping(node raft.NodeID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at, known := l.stopping[node]
	return known && now().Sub(at) < stoppingLife
}

// heard takes a heartbeat. A runner that is not registered is put in the log, for the
// leaders to come; nobody waits for that.
func (l *leadership) heard(heartbeat fleet.Heartbeat) {
	l.mutex.Lock()
	l.registry.Hear(now(), heartbeat)
	l.refresh(now())
	l.mutex.Unlock()
	registration := domain.Registration{
		Instance: heartbeat.Instance, Service: heartbeat.Service, Address: heartbeat.Address,
		Zone: heartbeat.Zone, Slots: heartbeat.Slots,
	}
	var known domain.Registration
	l.member.group.View(func() { known, _ = l.member.machine.Registered(heartbeat.Instance) })
	if known != registration {
		go l.record(domain.Command{Register: &registration})
	}
}

// record proposes a command whose loss costs only time.
func (l *leadership) record(command domain.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	encoded, err := command.Encode()
	if err == nil {
		_, err = l.member.group.Propose(ctx, encoded)
	}
	if err != nil {
		level.Debug(l.logger).Log("msg", "A command was not recorded.", "err", err)
	}
}

// forgetSilent takes runners that have been silent for long out of the log.
func (l *leadership) forgetSilent(at time.Time) {
	for _, instance := range l.registry.Silent(at, forgetRunnerAfter) {
		isRegistered := false
		l.member.group.View(func() { _, isRegistered = l.member.machine.Registered(instance) })
		if isRegistered {
			go l.record(domain.Command{Forget: instance})
		}
	}
}

// forgetRunnerAfter is how long a runner must be silent before it is no longer
// recalled by the leaders to come.
const forgetRunnerAfter = 20 * time.Second

// departed takes a committed departure and waits until the routers that are in
// contact have asked for more after they were told.
func (l *leadership) departed(ctx context.Context, departure domain.Departure) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	l.mutex.Lock()
	l.registry.Depart(now(), departure.Instance, departure.Gone)
	l.refresh(now())
	revision := l.revision
	l.mutex.Unlock()
	for {
		l.mutex.Lock()
		isTold, changed := l.areTold(now(), revision), l.changed
		l.mutex.Unlock()
		if isTold {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(tellPause):
		}
	}
}

// tellPause separates two looks at what the routers know.
const tellPause = 10 * time.Millisecond

// areTold reports whether every router in contact knows the revision. It runs under
// the mutex.
func (l *leadership) areTold(at time.Time, revision uint64) bool {
	for _, contact := range l.routers {
		if at.Sub(contact.at) < contactLife && contact.revision < revision {
			return false
		}
	}
	return true
}

// contact notes a call of a router and returns how many routers there are.
func (l *leadership) contact(router string, revision uint64) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := now()
	l.routers[router] = routerContact{at: at, revision: revision}
	for name, known := range l.routers {
		if at.Sub(known.at) > routerLife {
			delete(l.routers, name)
		}
	}
	return len(l.routers)
}
