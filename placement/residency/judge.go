package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/pace"
)

// Judgement is what the planner believes of a runner's speed.
type Judgement struct {
	Instance string
	// Slowness is how many times as long as the quickest one it takes; 0 if it was not
	// compared with another one.
	Slowness float64
	// IsSlow is set if it is slower than others by its streams or, if they do not tell,
	// as a runner in the same place was.
	IsSlow bool
	// Pauses is set if too many of its streams paused for too long lately.
	Pauses bool
}

// place is where a runner is. The next one there is on the same machine.
type place struct{ service, address string }

func (r *runner) place() place {
	return place{r.status.Heartbeat.Service, r.status.Heartbeat.Address}
}

// ObservePace takes the pace of streams that routers saw.
func (p *Planner) ObservePace(now time.Time, seen []Pace) {
	for _, each := range seen {
		if p.runners[each.Instance] != nil {
			p.paces.add(now, each)
			if !p.IsSlowPlace(each.Instance) {
				p.observeRate(each)
			}
		}
	}
}

// RecallSpeed takes what the leader before believed of the runner in a place.
func (p *Planner) RecallSpeed(service, address string, isSlow bool) {
	p.slowPlaces[place{service, address}] = isSlow
}

// judgeInterval is the pause between two comparisons of the runners.
const judgeInterval = time.Second

// judge compares the runners from time to time.
func (p *Planner) judge(now time.Time) {
	if !p.judgedAt.IsZero() && now.Sub(p.judgedAt) < judgeInterval {
		return
	}
	p.judgedAt = now
	for _, known := range p.rates {
		known.adjust(p.options.ReplicaRate)
	}
	slowness := p.paces.slowness(p.paceClass)
	for instance, known := range p.runners {
		found := Judgement{Instance: instance, Slowness: slowness[instance], Pauses: p.pauses(now, known)}
		if found.Slowness > 0 {
			p.slowPlaces[known.place()] = found.Slowness > slowFactor
		}
		found.IsSlow = p.slowPlaces[known.place()]
		former := p.judgements[instance]
		if former.IsSlow != found.IsSlow || former.Pauses != found.Pauses {
			p.judged = append(p.judged, found)
		}
		p.judgements[instance] = found
	}
	for instance := range p.judgements {
		if p.runners[instance] == nil {
			delete(p.judgements, instance)
		}
	}
}

// TakeJudgements lists the judgements that have changed since the last call.
func (p *Planner) TakeJudgements() []Judgement {
	changed := p.judged
	p.judged = nil
	slices.SortStableFunc(changed, func(a, b Judgement) int { return strings.Compare(a.Instance, b.Instance) })
	return changed
}

// pauses reports whether the runner is too slow for one of the models that it holds.
func (p *Planner) pauses(now time.Time, known *runner) bool {
	for model := range known.holdings {
		if p.paces.pauses(now, known.rowOf(model), known.status.Heartbeat.Instance) {
			return true
		}
	}
	return false
}

// paceClass is the class of a model; one that the document does not list is alone.
func (p *Planner) paceClass(row Row) paceClass {
	service := p.document.Service(row.Service)
	if service == nil || service.Engine == nil {
		return paceClass{service: row.Service + row.Model}
	}
	model := service.Engine.ModelByName(row.Model)
	if model == nil {
		return paceClass{service: row.Service + row.Model}
	}
	return paceClass{service: row.Service, sizeMB: model.SizeMB}
}

// slowHarm is the part of the requests on a slow runner that are expected to be late
// because of it, at a rate of requests a second.
func slowHarm(rate float64) float64 { return min(maxSlowHarm, harmOfRate*rate) }

func (p *Planner) isSlow(known *runner) bool { return p.IsSlow(known.status.Heartbeat.Instance) }

// IsSlow reports whether a runner is believed to be slower than others, or too slow for
// one of the models that it holds.
func (p *Planner) IsSlow(instance string) bool {
	found := p.judgements[instance]
	return found.IsSlow || found.Pauses
}

// IsSlowPlace reports whether a runner is believed to be slower than others.
func (p *Planner) IsSlowPlace(instance string) bool { return p.judgements[instance].IsSlow }

// Pace is what work takes at a runner; nothing is known of those that are not listed.
func (p *Planner) Pace(instance string) pace.Runner { return pace.Runner{} }
