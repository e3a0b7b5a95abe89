package residency

import "time"

// Answered applies the outcome of an order.
func (p *Planner) Answered(now time.Time, order Order, outcome Outcome) {
	r := p.runners[order.Instance]
	if r == nil {
		return
	}
	before := r.loaded()
	r.sent = false
	r.changedAt = now
	switch outcome {
	case OutcomeAccepted:
		r.taken = order.Expected + 1
		p.accepted(now, r, order)
	case OutcomeHeld:
		p.accepted(now, r, order)
		p.recordDone(now, r, order)
		r.isTakenKnown = order.Operation == Unload && order.Adapter != ""
		r.taken = order.Expected + 1
	case OutcomeConflict, OutcomeRejected, OutcomeGone, OutcomeNotSent:
		r.isTakenKnown = false
		r.isGone = outcome == OutcomeGone
		p.rollBack(r, order)
	default:
		r.isTakenKnown = false
	}
	p.noteChange(before, r)
}

// accepted records that the runner executes the order.
func (p *Planner) accepted(now time.Time, r *runner, order Order) {
	held := r.holdings[order.Model]
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

// recordDone records that the runner is already in the state that the order asks for.
func (p *Planner) recordDone(now time.Time, r *runner, order Order) {
	held := r.holdings[order.Model]
	switch {
	case held == nil:
	case order.Adapter == "" && order.Operation == Load:
		held.phase, held.since = phaseReady, now
	case order.Adapter == "":
		delete(r.holdings, order.Model)
	case held.adapters[order.Adapter] == nil:
	case order.Operation == Load:
		held.adapters[order.Adapter].phase = phaseReady
	}
}

// rollBack reverts the state recorded when the order was sent, after the runner rejected it.
func (p *Planner) rollBack(r *runner, order Order) {
	held := r.holdings[order.Model]
	switch {
	case held == nil:
	case order.Adapter == "" && order.Operation == Load && held.phase == phaseUncertain:
		delete(r.holdings, order.Model)
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

// completeAdapters marks adapters as ready once AdapterTime has passed since their order.
func (p *Planner) completeAdapters(now time.Time) {
	for r := range p.active {
		if !r.activity.isLoadingAdapter {
			continue
		}
		for model, held := range r.holdings {
			for name, adapter := range held.adapters {
				if adapter.phase == phaseLoading && now.Sub(adapter.since) >= p.options.AdapterTime {
					adapter.phase = phaseReady
					p.noteArrival(r.rowOfAdapter(model, name))
				}
			}
		}
		p.trackHoldings(r)
	}
}
