package residency

import (
	"math"
	"time"
)

const (
	// maxIncoming is how many adapters may be on their way to a runner at once.
	maxIncoming = 4
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
	if p.document == nil || now.Before(p.ordersFrom) {
		return nil
	}
	p.repair(now)
	p.takeTally(now)
	p.followStores(now)
	p.judge(now)
	p.anticipate()
	var orders []Order
	for _, wanted := range p.waits(now) {
		if order, found := p.serveAdapter(now, wanted.row); found {
			orders = append(orders, order)
		}
	}
	for _, wanted := range p.needs(now) {
		if order, found := p.loadModel(now, wanted); found {
			orders = append(orders, order)
		}
	}
	return orders
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
	return !known.status.Leaving && !known.isGone && known.isTakenKnown && !known.sent && !known.isOccupied()
}

// loadModel finds the runner on which a load costs least and returns the load, or the
// unload that makes room for it. Nothing is unloaded whose loss costs more than the
// load gains.
func (p *Planner) loadModel(now time.Time, wanted need) (Order, bool) {
	row := wanted.row
	var best *runner
	var bestVictim string
	lowest := math.Inf(1)
	mayUseStore := p.mayUseStore(now, wanted)
	for _, known := range p.tally.sorted {
		engine := p.engineOf(known)
		if engine == nil || known.status.Heartbeat.Service != row.Service || !p.mayOrder(known) {
			continue
		}
		model := engine.ModelByName(row.Model)
		if model == nil || known.holdings[row.Model] != nil {
			continue
		}
		if known.reserved != "" && known.reserved != row.Model && now.Before(known.reservedUntil) {
			continue
		}
		if !mayUseStore && !known.hasCopy(row.Model) && !p.isStoreKept(now, known, row.Model) {
			continue
		}
		cost, victim, isPossible := p.costOf(now, known, engine, model, wanted)
		if !wanted.isWaitedFor && cost >= wanted.gain {
			continue
		}
		if known.reserved == row.Model && now.Before(known.reservedUntil) {
			cost /= 2
		}
		if isPossible && cost < lowest {
			best, bestVictim, lowest = known, victim, cost
		}
	}
	if best == nil {
		return Order{}, false
	}
	fromStore := !best.hasCopy(row.Model)
	if bestVictim != "" {
		best.reserved, best.reservedUntil = row.Model, now.Add(reservationTime)
		if fromStore {
			best.storeKeptUntil = now.Add(storeKeptTime)
		}
		return p.send(now, best, Unload, bestVictim, ""), true
	}
	best.reserved = ""
	order := p.send(now, best, Load, row.Model, "")
	if fromStore {
		p.beginStoreLoad(now, best, row)
	}
	return order, true
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
