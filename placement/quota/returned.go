package quota

import "time"

// Return is a part of a limit that a router was granted for a request that no runner has run.
type Return struct {
	Amount float64
	// Age is how long ago the leader was asked for it, at most, the time included that the return is
	// under way. It was granted after that.
	Age time.Duration
}

// maxReturns bounds the returns of one question that are looked at.
const maxReturns = 64

// giveBack takes back what was not used after all. It is taken off what was granted no later: a
// window to come that counts what it is taken off counts the grant itself as well, so that no window counts
// less than was used in it.
func (w *window) giveBack(at time.Time, returns []Return) {
	for _, returned := range returns[:min(len(returns), maxReturns)] {
		latest := at.Add(-max(0, returned.Age))
		left := w.takeOff(w.granted, latest, figure(returned.Amount))
		w.takeOff(w.inherited, latest, left)
	}
}

// takeOff takes an amount off the last steps that end no later than a time, and returns what is left
// of it.
func (w *window) takeOff(steps []grantedStep, latest time.Time, amount float64) float64 {
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

// Asker is one life of a router's process.
type Asker struct {
	Router  string
	Session uint64
}

// maxAskers bounds those that are remembered; more return nothing.
const maxAskers = 1 << 16

// isNews reports whether a question is not one that was sent again: what it returns must count once.
func (d *Divider) isNews(asker Asker, question uint64) bool {
	last, isKnown := d.questions[asker]
	if question <= last || !isKnown && len(d.questions) >= maxAskers {
		return false
	}
	d.questions[asker] = question
	return true
}
