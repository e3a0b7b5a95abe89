package domainnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/residency"
)

const (
	// orderTimeout bounds an order or report request to a runner.
	orderTimeout = time.Second
	// orderClockInterval is the interval at which an order in progress compares its age with
	// orderTimeout by the clock that includes suspensions.
	orderClockInterval = 20 * time.Millisecond
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
			from = later(from, n.now().Add(n.options.OrderLease-reply.SinceOrder))
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

// sendOrder sends an order unless the leadership's lease has ended. The lease is checked before
// the connection is made, and again right before the first byte.
func (l *leadership) sendOrder(ctx context.Context, order residency.Order) {
	began := l.now()
	ctx, cancel := l.orderContext(ctx, began)
	defer cancel()
	outcome := residency.OutcomeNotSent
	if l.mayOrder() {
		var received notice.Notice
		holder := Holder{Name: l.options.Name, Token: uint64(l.term)}
		outcome, received = l.options.Engines.Order(ctx, holder, order, l.mayOrder)
		l.observeNotice(order.Instance, received)
	}
	l.recordOrder(order, outcome, l.now().Sub(began))
	l.mutex.Lock()
	l.planner.Answered(l.now(), order, outcome)
	l.mutex.Unlock()
	l.wakePlan()
}

// mayOrder reports whether the first byte of an order may be sent now. If so, it records the
// time, from which the next leader counts its wait.
func (l *leadership) mayOrder() bool {
	if l.node.stopping.Load() || l.context.Err() != nil || !l.isValid() {
		return false
	}
	at := l.now()
	l.node.lastOrder.Store(&at)
	return true
}

// orderContext returns the context of an order that began at the given time. It ends with the
// leadership, and after orderTimeout by the clock that includes suspensions: the timer of a
// context stands still while the machine is suspended.
func (l *leadership) orderContext(ctx context.Context, began time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	stop := context.AfterFunc(l.context, cancel)
	go func() {
		defer stop()
		for l.now().Sub(began) < orderTimeout {
			if !pause.For(ctx, orderClockInterval) {
				return
			}
		}
		cancel()
	}()
	return ctx, cancel
}

func (l *leadership) recordOrder(order residency.Order, outcome residency.Outcome, took time.Duration) {
	l.node.metrics.orders.WithLabelValues(order.Operation.String(), outcome.String()).Inc()
	if outcome == residency.OutcomeNotSent {
		level.Warn(l.logger).Log("msg", "An order was not sent because the lease had ended.", "runner", order.Instance,
			"operation", order.Operation, "model", order.Model, "adapter", order.Adapter, "after", took)
		return
	}
	l.node.metrics.orderTime.Observe(took.Seconds())
	level.Info(l.logger).Log("msg", "An order was answered.", "runner", order.Instance, "operation", order.Operation,
		"model", order.Model, "adapter", order.Adapter, "expected", order.Expected, "outcome", outcome, "took", took)
}
