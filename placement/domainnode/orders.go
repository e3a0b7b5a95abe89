package domainnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/residency"
)

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
			from = later(from, n.now().Add(n.options.OrderLease-reply.SinceOrder))
		}
	}
	if from.After(latest) {
		return latest
	}
	return from
}

// findOrdersFrom asks when the first order may be sent. Others may take long to answer, or never do:
// all else that a leader does goes on meanwhile.
func (l *leadership) findOrdersFrom(ctx context.Context) {
	from := l.node.ordersFrom(ctx, l.beganAt)
	l.mutex.Lock()
	l.planner.SetOrdersFrom(from)
	l.mutex.Unlock()
	level.Info(l.logger).Log("msg", "The time of the first order is known.", "orders_in", from.Sub(l.beganAt), "found_in", l.now().Sub(l.beganAt))
	l.wakePlan()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ask asks a runner what it holds.
func (l *leadership) ask(ctx context.Context, status fleet.Status) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	askedAt := l.now()
	report, heard, err := l.options.Engines.Report(ctx, status.Heartbeat)
	instance := status.Heartbeat.Instance
	l.hearRunner(instance, heard)
	l.node.metrics.reports.WithLabelValues(outcomeName(err)).Inc()
	if err != nil {
		level.Warn(l.logger).Log("msg", "A runner gave no report.", "runner", instance, "err", err)
		return
	}
	level.Debug(l.logger).Log("msg", "A runner reported.", "runner", instance, "taken", report.Taken,
		"busy", report.Busy, "models", len(report.Models))
	l.mutex.Lock()
	l.planner.Reported(l.now(), askedAt, instance, report)
	l.mutex.Unlock()
	l.wakePlan()
}

// send sends one order, unless the lease has ended since it was planned.
func (l *leadership) send(ctx context.Context, order residency.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome := residency.OutcomeRefused
	began := l.now()
	if l.isValid() && !l.node.stopping.Load() {
		l.node.lastOrder.Store(&began)
		var heard notice.Notice
		outcome, heard = l.options.Engines.Order(ctx, Holder{Name: l.options.Name, Token: uint64(l.term)}, order)
		l.hearRunner(order.Instance, heard)
	}
	l.node.metrics.orders.WithLabelValues(order.Operation.String(), outcome.String()).Inc()
	l.node.metrics.orderTime.Observe(l.now().Sub(began).Seconds())
	level.Info(l.logger).Log("msg", "An order was answered.", "runner", order.Instance, "operation", order.Operation,
		"model", order.Model, "adapter", order.Adapter, "expected", order.Expected, "outcome", outcome,
		"took", l.now().Sub(began))
	l.mutex.Lock()
	l.planner.Answered(l.now(), order, outcome)
	l.mutex.Unlock()
	l.wakePlan()
}
