package residency

import (
	"time"
)

const (
	// maxIncoming is how many adapters may be on their way to a runner at once.
	maxIncoming = 4
	// roomMadeIn is how long an unload that makes room is waited for before another runner
	// is tried: several times what it takes for an unused model. roomDrainedIn is the same
	// for a model in use: twice the two seconds that a usual stream takes.
	roomMadeIn    = time.Second
	roomDrainedIn = 4 * time.Second
	// reservationTime is how long room is kept for a model while others make way.
	reservationTime = 10 * time.Second
	// loadTimeout is after how long a load that does not end is looked into.
	loadTimeout = 20 * time.Second
	// keptAdapters is for how many adapters every runner keeps room.
	keptAdapters = 8
)

// Plan returns the orders to send now, at most one for each runner. Each must be
// followed by Answered.
func (p *Planner) Plan(now time.Time) []Order {
	p.advance(now)
	if p.document == nil {
		return nil
	}
	p.repair(now)
	p.takeTally(now)
	p.followStores(now)
	if now.Before(p.ordersFrom) {
		p.foresee(now)
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
	p.tally.addReservations(now)
	for i := range needs {
		if order, found := p.loadModel(now, &needs[i]); found {
			orders = append(orders, order)
		}
	}
	p.forecast(now, needs)
	return orders
}

// dropUnneeded gives up what was kept for models which need no further replica.
func (p *Planner) dropUnneeded(needs []need) {
	wanted := make(map[Row]bool, len(needs))
	for _, each := range needs {
		wanted[each.row] = true
	}
	p.forgetAwaited(wanted)
	for _, known := range p.runners {
		if known.reserved != "" && !wanted[known.rowOf(known.reserved)] {
			known.reserved, known.storeKeptUntil = "", time.Time{}
		}
	}
}

// foresee forecasts loads that may not be ordered yet, since orders of the leader before
// may still be on their way.
func (p *Planner) foresee(now time.Time) {
	needs := p.needs(now)
	for i := range needs {
		needs[i].obstacle = ObstacleLease
	}
	p.forecast(now, needs)
}

// repair asks again about loads and unloads that do not end.
func (p *Planner) repair(now time.Time) {
	for _, known := range p.runners {
		for _, held := range known.holdings {
			isMoving := held.phase == phaseLoading || held.phase == phaseUnloading
			if isMoving && now.Sub(held.since) > loadTimeout && now.Sub(known.askedAt) > loadTimeout {
				known.isTakenKnown = false
			}
		}
	}
}

// holders lists the runners on which requests may use the model.
func (p *Planner) holders(row Row) []*runner { return p.tally.holders[modelOf(row)] }

// coming lists the runners that load the model.
func (p *Planner) coming(row Row) []*runner { return p.tally.coming[modelOf(row)] }

// mayOrder reports whether the runner can be given an order about a model.
func (p *Planner) mayOrder(known *runner) bool {
	return known.status.MayServe() && !known.isGone && known.isTakenKnown && !known.sent && !known.isOccupied()
}

// send notes an order as sent: what it loads is counted from now on, and what it
// unloads is no longer offered to requests.
func (p *Planner) send(now time.Time, known *runner, operation Operation, model, adapter string) Order {
	before := known.loaded()
	known.sent = true
	held := known.holdings[model]
	switch {
	case operation == Load && adapter == "":
		known.holdings[model] = newHolding(now, phaseUncertain)
	case operation == Load:
		held.adapters[adapter] = newHolding(now, phaseUncertain)
	case adapter == "":
		held.phase, held.since = phaseUnloading, now
	default:
		held.adapters[adapter].phase = phaseUnloading
	}
	p.noteChange(before, known)
	p.tally.noteSent(known)
	if adapter == "" {
		p.tally.noteOrder(known, operation, model)
	}
	return Order{
		Instance:  known.status.Heartbeat.Instance,
		Address:   known.status.Heartbeat.Address,
		Operation: operation,
		Model:     model,
		Adapter:   adapter,
		Expected:  known.taken,
	}
}
