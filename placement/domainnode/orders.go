package domainnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/residency"
)

// firstOrderTime returns when a leader that begins at the given time may send its first
// order: one lease after the last order of any other. Without enforced fences it waits a
// full lease, as an unreachable member may have just sent an order.
func (n *Node) firstOrderTime(ctx context.Context, at time.Time) time.Time {
	latest := at.Add(n.options.OrderLease)
	if !n.options.FencesEnforced {
		return latest
	}
	replies, _ := n.describeOthers(ctx)
	from := at
	for _, reply := range replies {
		if reply.HasOrdered {
			from = laterOf(from, n.now().Add(n.options.OrderLease-reply.SinceOrder))
		}
	}
	if from.After(latest) {
		return latest
	}
	return from
}

// setFirstOrderTime determines the time of the first order. It runs concurrently with the
// rest of the leadership, because other members may be slow to reply.
func (l *leadership) setFirstOrderTime(ctx context.Context) {
	from := l.node.firstOrderTime(ctx, l.startedAt)
	l.mutex.Lock()
	l.planner.SetOrdersFrom(from)
	l.mutex.Unlock()
	level.Info(l.logger).Log("msg", "The time of the first order is known.", "orders_in", from.Sub(l.startedAt), "found_in", l.now().Sub(l.startedAt))
	l.wakePlan()
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// requestReport asks a runner for its loaded models.
func (l *leadership) requestReport(ctx context.Context, status fleet.Status) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	askedAt := l.now()
	report, received, err := l.options.Engines.Report(ctx, status.Heartbeat)
	instance := status.Heartbeat.Instance
	l.observeNotice(instance, received)
	l.node.metrics.reports.WithLabelValues(outcomeName(err)).Inc()
	if err != nil {
		level.Warn(l.logger).Log("msg", "A runner's report request failed.", "runner", instance, "err", err)
		return
	}
	level.Debug(l.logger).Log("msg", "A runner reported.", "runner", instance, "taken", report.Taken,
		"busy", report.Busy, "models", len(report.Models))
	l.mutex.Lock()
	l.planner.Reported(l.now(), askedAt, instance, report)
	l.mutex.Unlock()
	l.wakePlan()
}

// sendOrder sends an order unless the leadership's lease has ended.
func (l *leadership) sendOrder(ctx context.Context, order residency.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome := residency.OutcomeRejected
	began := l.now()
	if l.isValid() && !l.node.stopping.Load() {
		l.node.lastOrder.Store(&began)
		var received notice.Notice
		outcome, received = l.options.Engines.Order(ctx, Holder{Name: l.options.Name, Token: uint64(l.term)}, order)
		l.observeNotice(order.Instance, received)
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
