package residency

import (
	"time"
)

const (
	// maxIncoming is the maximum number of adapters being loaded at a runner.
	maxIncoming = 4
	// idleUnloadTimeout is how long the unload of an unused model is awaited before another runner
	// is tried, and drainTimeout the same for a model in use: twice the duration of a typical
	// stream.
	idleUnloadTimeout = time.Second
	drainTimeout      = 4 * time.Second
	// reservationTime is how long memory is reserved for a model while others are unloaded.
	reservationTime = 10 * time.Second
	// loadTimeout is the time after which a load that has not ended is checked by a poll.
	loadTimeout = 20 * time.Second
	// reservedAdapters is the number of adapters for which each runner reserves memory.
	reservedAdapters = 8
)

// Plan returns the orders to send now, at most one for each runner. Each must be followed by a call
// of Answered.
func (p *Planner) Plan(now time.Time) []Order {
	p.completeAdapters(now)
	if p.document == nil {
		return nil
	}
	p.recheckStalled(now)
	p.takeSnapshot(now)
	p.followStores(now)
	if now.Before(p.ordersFrom) {
		p.forecastOnly(now)
		return nil
	}
	p.judge(now)
	var orders []Order
	for _, wanted := range p.waits(now) {
		if order, found := p.serveAdapter(now, wanted); found {
			orders = append(orders, order)
		}
	}
	needs := p.needs(now)
	p.dropUnneeded(needs)
	p.snapshot.addReservations(now)
	ordered := make(map[Row][]*runner)
	for i := range needs {
		row := needs[i].row
		if isAnyIn(ordered[row], needs[i].zones) {
			// The load for callers with other zones serves these as well.
			continue
		}
		if order, found := p.loadModel(now, &needs[i]); found {
			orders = append(orders, order)
			ordered[row] = append(ordered[row], p.runners[order.Instance])
		}
	}
	p.forecast(now, needs)
	return orders
}

// dropUnneeded releases the reservations for models that need no further replica.
func (p *Planner) dropUnneeded(needs []need) {
	wanted := make(map[Row]bool, len(needs))
	for _, each := range needs {
		wanted[each.row] = true
	}
	p.forgetAwaited(wanted)
	for _, r := range p.sorted() {
		if r.reserved != "" && !wanted[r.rowOf(r.reserved)] {
			r.reserved, r.storeSlotUntil = "", time.Time{}
		}
	}
}

// forecastOnly forecasts loads without ordering them, while orders of the previous leader may still
// be executed.
func (p *Planner) forecastOnly(now time.Time) {
	needs := p.needs(now)
	for i := range needs {
		needs[i].obstacle = ObstacleLease
	}
	p.forecast(now, needs)
}

// recheckStalled has runners polled whose loads or unloads don't end.
func (p *Planner) recheckStalled(now time.Time) {
	for r := range p.active {
		for _, held := range r.holdings {
			isMoving := held.phase == phaseLoading || held.phase == phaseUnloading
			if isMoving && now.Sub(held.since) > loadTimeout && now.Sub(r.polledAt) > loadTimeout {
				r.isTakenKnown = false
			}
		}
	}
}

// holders returns the runners on which requests may use the model.
func (p *Planner) holders(row Row) []*runner { return p.snapshot.holders[modelOf(row)] }

// coming returns the runners that load the model.
func (p *Planner) coming(row Row) []*runner { return p.snapshot.coming[modelOf(row)] }

// mayOrder reports whether the runner may be sent an order about a model.
func (p *Planner) mayOrder(r *runner) bool {
	return r.status.MayServe() && !r.isGone && r.isTakenKnown && !r.sent && !r.isOccupied()
}

// send records an order as sent: what it loads counts as held from now on, and what it unloads is
// no longer offered to requests.
func (p *Planner) send(now time.Time, r *runner, operation Operation, model, adapter string) Order {
	before := r.loaded()
	r.sent = true
	held := r.holdings[model]
	switch {
	case operation == Load && adapter == "":
		r.holdings[model] = newHolding(now, phaseUncertain)
	case operation == Load:
		held.adapters[adapter] = newHolding(now, phaseUncertain)
	case adapter == "":
		held.phase, held.since = phaseUnloading, now
	default:
		held.adapters[adapter].phase = phaseUnloading
	}
	p.noteChange(before, r)
	p.snapshot.noteSent(r)
	if adapter == "" {
		if operation == Load {
			delete(p.snapshot.unreachable, r.rowOf(model))
		}
		p.index.noteOrder(r, operation, model)
	}
	return Order{
		Instance:  r.status.Heartbeat.Instance,
		Address:   r.status.Heartbeat.Address,
		Operation: operation,
		Model:     model,
		Adapter:   adapter,
		Expected:  r.taken,
	}
}
