package residency

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// dueMargin is how long before its requests become late a model is due. Most models in use
	// become idle once in that time, so that none has to be drained.
	dueMargin = time.Second
	// minResidency is the minimum time that a model in use is kept after a load, so that the
	// requests queued for it have been sent.
	minResidency = 500 * time.Millisecond
)

// isDue reports whether requests for the model become late unless it is loaded next. Requests that
// are late even if it is loaded at once are due after agingTime.
func (p *Planner) isDue(wanted *need) bool {
	model := p.listedModel(wanted.row)
	objective := p.modelDemand(wanted.row).objective
	if model == nil || objective == 0 {
		return false
	}
	takes := p.quickestLoad(wanted.row, model)
	if objective <= takes {
		objective = takes + agingTime
	}
	return wanted.oldest+takes+dueMargin >= objective
}

// listedModel returns the model of a row from the document; nil if it is not listed.
func (p *Planner) listedModel(row Row) *site.Model {
	service := p.document.Service(row.Service)
	if service == nil || service.Engine == nil {
		return nil
	}
	return service.Engine.ModelByName(row.Model)
}

// quickestLoad returns the time of the quickest load of the model at any runner.
func (p *Planner) quickestLoad(row Row, model *site.Model) time.Duration {
	quickest := model.LoadTime
	for _, r := range p.snapshot.copies[row] {
		quickest = min(quickest, loadTime(r, model))
	}
	return quickest
}

// isPreemptible reports whether a model in use may be evicted for one that is due: its queued
// requests have been sent, and none is waiting now.
func (p *Planner) isPreemptible(now time.Time, row Row, held *holding) bool {
	return p.snapshot.waiting[row] == 0 && now.Sub(held.since) >= minResidency && len(p.holders(row)) == 1
}

// dueWeight is the weight of the gain of a need that is due. Due needs don't precede all others, as
// replicas of models in high demand would then wait for the whole duration of a burst at rare
// models.
const dueWeight = 3

// rank returns the sort key of needs.
func (n need) rank() float64 {
	if n.isDue {
		return dueWeight * n.weight * n.gain
	}
	return n.weight * n.gain
}

// WaitingModels counts the models with waiting requests that no runner loads yet. Each counts once.
type WaitingModels struct {
	// Gathering models can still wait; Due ones become late unless they are loaded next.
	Gathering int
	Due       int
	// Unreachable ones can only be loaded from the weight store.
	Unreachable int
	// Oldest is the waiting time of the oldest of these requests.
	Oldest time.Duration
}

// WaitingModels returns the counts as of the last plan.
func (p *Planner) WaitingModels() WaitingModels {
	var turns WaitingModels
	counted := make(map[Row]bool, len(p.unmet))
	for _, wanted := range p.unmet {
		if !wanted.isWaitedFor {
			continue
		}
		turns.Oldest = max(turns.Oldest, wanted.oldest)
		if counted[wanted.row] {
			// The model also has a need of a higher rank in other zones.
			continue
		}
		counted[wanted.row] = true
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
