package quota

import "time"

// Return is a part of a grant that was not used, since no runner executed the request.
type Return struct {
	Amount float64
	// Age is an upper bound on the time since the leader was asked for it, including the transit
	// time of the return.
	Age time.Duration
}

// maxReturns bounds the returns that are processed per query.
const maxReturns = 64

// applyReturns subtracts returned amounts from grants that are no newer. A window that includes the
// reduced grant then also includes the returned one, so no window counts less than was used in it.
func (w *window) applyReturns(at time.Time, returns []Return) {
	for _, returned := range returns[:min(len(returns), maxReturns)] {
		latest := at.Add(-max(0, returned.Age))
		left := w.deduct(w.granted, latest, clampAmount(returned.Amount))
		w.deduct(w.inherited, latest, left)
	}
}

// deduct subtracts an amount from the newest steps that end no later than latest, and returns the
// remainder.
func (w *window) deduct(steps []grantedStep, latest time.Time, amount float64) float64 {
	for i := len(steps) - 1; i >= 0 && amount > 0; i-- {
		if steps[i].until.After(latest) {
			continue
		}
		taken := min(amount, steps[i].amount)
		steps[i].amount -= taken
		w.used -= taken
		amount -= taken
	}
	return amount
}

// RouterProcess identifies an incarnation of a router.
type RouterProcess struct {
	Router  string
	Session uint64
}

// maxProcesses bounds the remembered processes. Returns of further ones are ignored.
const maxProcesses = 1 << 16

// isNewQuery reports whether a query is not a repetition, whose returns must not count again.
func (d *Divider) isNewQuery(process RouterProcess, query uint64) bool {
	last, isKnown := d.lastQueries[process]
	if query <= last || !isKnown && len(d.lastQueries) >= maxProcesses {
		return false
	}
	d.lastQueries[process] = query
	return true
}
