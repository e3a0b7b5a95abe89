package residency

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// turnMargin is how long before its requests become late a model is due: the time in which
	// most models in use become unused once, so that nothing need be drained for it.
	turnMargin = time.Second
	// leastTurn is how long a model stays at least after a load while requests use it: those
	// that were gathered for it have been sent by then.
	leastTurn = 500 * time.Millisecond
)

// isDue reports whether requests for the model become late unless it is loaded next. Those that a
// load makes late in any case are due once they have aged.
func (p *Planner) isDue(wanted *need) bool {
	model := p.listedModel(wanted.row)
	patience := p.modelDemand(wanted.row).objective
	if model == nil || patience == 0 {
		return false
	}
	takes := p.quickestLoad(wanted.row, model)
	if patience <= takes {
		patience = takes + agingTime
	}
	return wanted.oldest+takes+turnMargin >= patience
}

// listedModel is what the document says of a model; nil if it lists none, or no longer.
func (p *Planner) listedModel(row Row) *site.Model {
	service := p.document.Service(row.Service)
	if service == nil || service.Engine == nil {
		return nil
	}
	return service.Engine.ModelByName(row.Model)
}

// quickestLoad is how long a load of the model takes at the runner where it is quickest.
func (p *Planner) quickestLoad(row Row, model *site.Model) time.Duration {
	quickest := model.LoadTime
	for _, known := range p.tally.copies[row] {
		quickest = min(quickest, loadTime(known, model))
	}
	return quickest
}

// hadItsTurn reports whether a model in use may make way for one that is due: what was gathered
// for it has been sent, and nothing waits for it now.
func (p *Planner) hadItsTurn(now time.Time, row Row, held *holding) bool {
	return p.tally.waiting[row] == 0 && now.Sub(held.since) >= leastTurn && len(p.holders(row)) == 1
}

// dueWeight is how many times its gain a need that is due counts for in the order of needs: what it
// saves is lost within a second, what others save over the horizon. It does not go before all
// others: replicas of models in high demand, whose callers are more urgent as a rule, would wait
// for as long as a rush at rare models lasts.
const dueWeight = 3

// rank is what needs are ordered by.
func (n need) rank() float64 {
	if n.isDue {
		return dueWeight * n.gain
	}
	return n.gain
}

// Turns counts the models that requests wait for and that no runner loads yet. Each counts once.
type Turns struct {
	// Gathering models can wait, Due ones become late unless they are loaded next.
	Gathering int
	Due       int
	// Unreachable ones must come from the weight store.
	Unreachable int
	// Oldest is how long the oldest of all these requests has waited.
	Oldest time.Duration
}

// Turns tells how places were shared when the last plan was done.
func (p *Planner) Turns() Turns {
	var turns Turns
	for _, wanted := range p.unmet {
		if !wanted.isWaitedFor {
			continue
		}
		turns.Oldest = max(turns.Oldest, wanted.oldest)
		switch {
		case wanted.isUnreachable:
			turns.Unreachable++
		case wanted.isDue:
			turns.Due++
		default:
			turns.Gathering++
		}
	}
	return turns
}
