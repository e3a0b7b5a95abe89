package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/clock"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// zoneLeader executes the decisions of controller.Core while this daemon leads its
// zone, and copies changes of the global table into the zone log.
type zoneLeader struct {
	logger      log.Logger
	node        *zoneNode
	core        *controller.Core
	observer    *engineObserver
	engines     *engineapi.Client
	global      *leadercall.Caller
	timing      config.Timing
	storeBudget int
	// inquiries asks engines about requests whose router does not respond.
	inquiries *claimInquiries
	// reports are the releases, wishes and revision in force to send to the global
	// group, which may be unreachable for hours; only the latest are kept.
	reports globalReports
}

// run leads whenever this member holds the leader lease, until ctx is done.
func (l *zoneLeader) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := l.node.group.Changed()
		if _, valid := l.node.group.LeaderLease(); valid {
			l.lead(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// lead runs one leadership term and returns when the lease is lost.
func (l *zoneLeader) lead(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	epoch, _ := l.node.group.LeaderLease()
	level.Info(l.logger).Log("msg", "This controller leads the zone.", "epoch", epoch)
	var loops sync.WaitGroup
	loops.Go(func() { l.observer.run(ctx, epoch) })
	loops.Go(func() { l.adoptLoop(ctx) })
	loops.Go(func() { l.reportLoop(ctx) })
	l.decideLoop(ctx, epoch)
	cancel()
	loops.Wait()
	l.inquiries.running.Wait()
	level.Info(l.logger).Log("msg", "This controller no longer leads the zone.", "epoch", epoch)
}

// decideLoop runs a planning round every plan interval. It runs one early, after a
// minimum pause, when requests wait for a row without a replica, an engine's replicas
// changed, an inquiry was answered, or the previous round reserved memory and its
// orders can be sent.
func (l *zoneLeader) decideLoop(ctx context.Context, epoch structs.Epoch) {
	reserved := false
	for {
		demanded := l.node.demand.unserved.wait()
		moved := l.observer.replicasChanged.wait()
		answered := l.inquiries.answered.wait()
		current, valid := l.node.group.LeaderLease()
		if !valid || current != epoch || ctx.Err() != nil {
			return
		}
		// A round that follows a reservation only sends the orders and triggers no
		// further round.
		reserved = l.decide(ctx, epoch) && !reserved
		if reserved {
			pause.For(ctx, followUpPause)
			continue
		}
		pause.For(ctx, roundPause)
		timer := time.NewTimer(l.timing.PlanInterval - roundPause)
		select {
		case <-ctx.Done():
		case <-demanded:
		case <-moved:
		case <-answered:
		case <-timer.C:
		}
		timer.Stop()
	}
}

const (
	// roundPause is the minimum time between two rounds, which merges bursts of events
	// into one round.
	roundPause = 100 * time.Millisecond
	// followUpPause is the pause after a round that reserved memory.
	followUpPause = 25 * time.Millisecond
)

// decide runs one round: it decides on the applied state, sends the resulting orders,
// then proposes the commands. It reports whether it reserved memory.
func (l *zoneLeader) decide(ctx context.Context, epoch structs.Epoch) bool {
	now := clock.Now()
	for _, report := range l.node.demand.take() {
		l.core.ObserveDemand(now, report)
	}
	for _, reply := range l.inquiries.take() {
		l.core.ObserveInquiry(reply)
	}
	renewed := l.node.claims.renewals(now)
	seen := l.observer.observed()
	var decisions controller.Decisions
	l.node.group.View(func() {
		current, valid := l.node.group.LeaderLease()
		decisions = l.core.Decide(controller.Input{
			Now:         now,
			Epoch:       epoch,
			LeaseValid:  valid && current == epoch,
			State:       l.node.machine.state,
			Reports:     seen.reports,
			Relayed:     seen.relayed,
			Machines:    seen.machines,
			Renewed:     renewed,
			StoreBudget: l.storeBudget,
		})
	})
	l.observer.setAwaited(decisions.Awaited)
	l.inquiries.send(ctx, decisions.Inquiries)
	l.sendOrders(ctx, epoch, decisions.Orders)
	l.proposeAll(ctx, decisions.Commands)
	l.reports.put(decisions)
	return slices.ContainsFunc(decisions.Commands, func(command zone.Command) bool { return command.Reserve != nil })
}

// sendOrders sends each order to its runner concurrently while the lease is valid.
func (l *zoneLeader) sendOrders(ctx context.Context, epoch structs.Epoch, orders []structs.Order) {
	if len(orders) == 0 {
		return
	}
	addresses := l.addresses()
	replies := make([]structs.OrderReply, len(orders))
	var sends sync.WaitGroup
	for i, order := range orders {
		sends.Go(func() { replies[i] = l.sendOrder(ctx, epoch, addresses[order.Runner], order) })
	}
	sends.Wait()
	for i, order := range orders {
		if replies[i] != (structs.OrderReply{}) {
			l.core.ObserveReply(order.Runner, replies[i])
		}
	}
}

func (l *zoneLeader) addresses() map[structs.RunnerID]string {
	addresses := map[structs.RunnerID]string{}
	l.node.group.View(func() {
		for _, runner := range l.node.machine.state.Runners() {
			addresses[runner.ID] = runner.Address
		}
	})
	return addresses
}

// sendOrder sends an order and returns the engine's reply, or the zero value if there
// is none; a later round then repeats the order.
func (l *zoneLeader) sendOrder(ctx context.Context, epoch structs.Epoch, address string, order structs.Order) structs.OrderReply {
	current, valid := l.node.group.LeaderLease()
	if !valid || current != epoch {
		return structs.OrderReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, l.timing.ReportInterval)
	defer cancel()
	reply, err := l.engines.Order(ctx, address, order)
	if err != nil {
		level.Debug(l.logger).Log("msg", "An engine did not reply to an order.", "runner", order.Runner, "kind", order.Kind, "row", order.Row, "err", err)
		return structs.OrderReply{}
	}
	level.Info(l.logger).Log("msg", "An order was answered.", "runner", order.Runner, "kind", order.Kind, "row", order.Row,
		"epoch", order.Fence.Epoch, "number", order.Fence.Number, "accepted", reply.Accepted, "reason", reply.Reason)
	return reply
}

// proposeAll proposes the commands concurrently, so that they share a log sync, and
// waits for the results. Their order in the log is undefined: a command rejected
// because a prerequisite came later is decided again in the next round.
func (l *zoneLeader) proposeAll(ctx context.Context, commands []zone.Command) {
	var proposals sync.WaitGroup
	for _, command := range commands {
		proposals.Go(func() { _ = l.proposeOne(ctx, command) })
	}
	proposals.Wait()
}

// proposeOne proposes a command and waits for its result.
func (l *zoneLeader) proposeOne(ctx context.Context, command zone.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := l.node.propose(ctx, command)
	if err == nil {
		err = structs.AsError(result.Error)
	}
	if err != nil {
		level.Debug(l.logger).Log("msg", "A command was rejected.", "err", err)
	}
	return err
}

// adoptLoop copies changes of the global table into the zone log.
func (l *zoneLeader) adoptLoop(ctx context.Context) {
	for next := 0; ctx.Err() == nil; {
		since := l.node.tableRevision()
		addresses := l.global.Addresses()
		reply := &DeltaReply{}
		arguments := DeltaArguments{Zone: l.node.id, Since: since, Wait: maxWait}
		err := l.global.Client().Call(ctx, addresses[next%len(addresses)], methodGlobalDelta, arguments, reply)
		if err == nil {
			err = structs.AsError(reply.Error)
		}
		if err != nil {
			next++
			pause.For(ctx, leadercall.RetryDelay)
			continue
		}
		if reply.Delta.Revision <= since {
			// There are no changes here, but another member may have some.
			next++
			continue
		}
		if err := l.adopt(ctx, reply.Delta); err != nil {
			pause.For(ctx, leadercall.RetryDelay)
		}
	}
}

// adopt commits a delta to the zone log, in parts if it is large. If a part is rejected
// or its outcome is unknown, the next delta starts again at the first part.
func (l *zoneLeader) adopt(ctx context.Context, delta structs.TableDelta) error {
	for _, command := range zone.AdoptCommands(delta, zone.MaxPartChanges) {
		if err := l.proposeOne(ctx, command); err != nil {
			return err
		}
	}
	return nil
}

// reportLoop sends pending reports to the global group.
func (l *zoneLeader) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := l.reports.changed.wait()
		for _, command := range l.reports.take(l.node.id) {
			l.report(ctx, command)
		}
		timer := time.NewTimer(l.timing.ReportInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (l *zoneLeader) report(ctx context.Context, command table.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := proposeGlobal(ctx, l.global, command); err != nil {
		l.reports.failed(command)
		level.Debug(l.logger).Log("msg", "A report could not be sent to the global group.", "err", err)
	}
}
