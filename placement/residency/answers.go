package residency

import "time"

// Answered takes the outcome of an order.
func (p *Planner) Answered(now time.Time, order Order, outcome Outcome) {
	known := p.runners[order.Instance]
	if known == nil {
		return
	}
	before := known.loaded()
	known.sent = false
	known.changedAt = now
	switch outcome {
	case OutcomeAccepted:
		known.taken = order.Expected + 1
		p.accepted(now, known, order)
	case OutcomeHeld:
		p.accepted(now, known, order)
		p.settle(now, known, order)
		known.isTakenKnown = order.Operation == Unload && order.Adapter != ""
		known.taken = order.Expected + 1
	case OutcomeConflict, OutcomeRefused, OutcomeGone:
		known.isTakenKnown = false
		known.isGone = outcome == OutcomeGone
		p.takeBack(known, order)
	default:
		known.isTakenKnown = false
	}
	p.noteChange(before, known)
}

// accepted notes that the runner executes the order.
func (p *Planner) accepted(now time.Time, known *runner, order Order) {
	held := known.holdings[order.Model]
	switch {
	case held == nil:
	case order.Adapter == "" && order.Operation == Load:
		held.phase, held.since = phaseLoading, now
	case order.Adapter == "":
		held.phase, held.since = phaseUnloading, now
	case held.adapters[order.Adapter] == nil:
	case order.Operation == Load:
		held.adapters[order.Adapter].phase, held.adapters[order.Adapter].since = phaseLoading, now
	default:
		delete(held.adapters, order.Adapter)
	}
}

// settle notes that what the order asks for is so.
func (p *Planner) settle(now time.Time, known *runner, order Order) {
	held := known.holdings[order.Model]
	switch {
	case held == nil:
	case order.Adapter == "" && order.Operation == Load:
		held.phase, held.since = phaseReady, now
	case order.Adapter == "":
		delete(known.holdings, order.Model)
	case held.adapters[order.Adapter] == nil:
	case order.Operation == Load:
		held.adapters[order.Adapter].phase = phaseReady
	}
}

// takeBack undoes what the planner noted when it sent an order that was refused.
func (p *Planner) takeBack(known *runner, order Order) {
	held := known.holdings[order.Model]
	switch {
	case held == nil:
	case order.Adapter == "" && order.Operation == Load && held.phase == phaseUncertain:
		delete(known.holdings, order.Model)
	case order.Adapter == "" && order.Operation == Unload:
		held.phase = phaseReady
	case order.Adapter != "" && held.adapters[order.Adapter] != nil:
		if order.Operation == Load {
			delete(held.adapters, order.Adapter)
		} else {
			held.adapters[order.Adapter].phase = phaseReady
		}
	}
}

// advance moves adapters on that have had the time to arrive.
func (p *Planner) advance(now time.Time) {
	for _, known := range p.runners {
		for model, held := range known.holdings {
			for name, adapter := range held.adapters {
				if adapter.phase == phaseLoading && now.Sub(adapter.since) >= p.options.AdapterTime {
					adapter.phase = phaseReady
					known.isListed = false
					p.noteArrival(known.rowOfAdapter(model, name))
				}
			}
		}
	}
}
