package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/pace"
)

// Judgement is the assessment of a runner's speed.
type Judgement struct {
	Instance string
	// Slowness is the time that the runner takes relative to the typical one; 0 if it could not be
	// compared.
	Slowness float64
	// IsSlow is set if Slowness is high. It is taken from the previous runner at the same address
	// while there are no streams to compare.
	IsSlow bool
	// Pauses is set if too many recent streams of the runner paused for too long.
	Pauses bool
	// Pace is the speed of the runner, and Capacity its capacity in requests per second.
	Pace     pace.Runner
	Capacity float64
}

const (
	// slowThreshold is the slowness from which a runner counts as slow, and slowClearThreshold the
	// one below which it no longer does. The errors caused by load and noise stay below.
	slowThreshold      = 1.5
	slowClearThreshold = 1.3
)

// endpoint identifies the machine of a runner by service and address. A later runner at the same
// endpoint is on the same machine.
type endpoint struct{ service, address string }

func (r *runner) endpoint() endpoint {
	return endpoint{r.status.Heartbeat.Service, r.status.Heartbeat.Address}
}

// ObservePace records streams observed by routers.
func (p *Planner) ObservePace(now time.Time, seen []Pace) {
	for _, each := range seen {
		r := p.runners[each.Instance]
		if r == nil {
			continue
		}
		p.paces.Add(now, pace.Sample{
			Instance: each.Instance, Class: p.paceClass(Row{Service: each.Service, Model: each.Model}), Gap: each.Gap,
			First: each.First, Prompt: each.Prompt, Events: each.Events,
		})
		if !each.IsUnderWay {
			p.pauses.add(now, each)
			p.observeStream(r, each)
		}
	}
}

// RecallSpeed restores the assessment of a previous leader. Only the flag is recorded, so the
// lowest slowness that counts as slow is assumed.
func (p *Planner) RecallSpeed(service, address string, isSlow bool) {
	if isSlow {
		p.slowness[endpoint{service, address}] = slowThreshold
	}
}

// judgeInterval is the interval between two assessments of the runners.
const judgeInterval = time.Second

// judge assesses the runners if judgeInterval has passed.
func (p *Planner) judge(now time.Time) {
	if !p.judgedAt.IsZero() && now.Sub(p.judgedAt) < judgeInterval {
		return
	}
	passed := now.Sub(p.judgedAt)
	p.judgedAt = now
	p.paces.Judge(now)
	for instance, r := range p.runners {
		found := Judgement{Instance: instance, Slowness: p.paces.Slowness(instance), Pauses: p.pausesOften(now, r)}
		if found.Slowness > 0 {
			p.slowness[r.endpoint()] = found.Slowness
		}
		former := p.judgements[instance]
		found.IsSlow = found.Slowness >= slowThreshold || former.IsSlow && found.Slowness > slowClearThreshold
		found.Pace, found.Capacity = p.Pace(instance), r.capacity
		if former.IsSlow != found.IsSlow || former.Pauses != found.Pauses {
			p.judged = append(p.judged, found)
		}
		p.judgements[instance] = found
		r.countServed(passed)
		r.decayCopyTime(now, passed)
	}
	p.updateCapacity()
	for instance := range p.judgements {
		if p.runners[instance] == nil {
			delete(p.judgements, instance)
		}
	}
}

// TakeJudgements returns the assessments that have changed since the last call.
func (p *Planner) TakeJudgements() []Judgement {
	changed := p.judged
	p.judged = nil
	slices.SortStableFunc(changed, func(a, b Judgement) int { return strings.Compare(a.Instance, b.Instance) })
	return changed
}

// pausesOften reports whether too many streams of one of the models at the runner paused.
func (p *Planner) pausesOften(now time.Time, r *runner) bool {
	for model := range r.holdings {
		if p.pauses.isHigh(now, r.rowOf(model), r.status.Heartbeat.Instance) {
			return true
		}
	}
	return false
}

// paceClass returns the class of a model. A model that the document doesn't list is a class of its
// own.
func (p *Planner) paceClass(row Row) pace.Class {
	alone := pace.Class{Service: row.Service, Model: row.Model}
	if p.document == nil {
		return alone
	}
	service := p.document.Service(row.Service)
	if service == nil || service.Engine == nil {
		return alone
	}
	model := service.Engine.ModelByName(row.Model)
	if model == nil {
		return alone
	}
	return pace.Class{Service: row.Service, SizeMB: model.SizeMB}
}

// IsSlow reports whether the runner is slow, or pauses too often with one of its models.
func (p *Planner) IsSlow(instance string) bool {
	found := p.judgements[instance]
	return found.IsSlow || found.Pauses
}

// IsSlowMachine reports whether the runner is slower than others.
func (p *Planner) IsSlowMachine(instance string) bool { return p.judgements[instance].IsSlow }

// Pace returns the speed of a runner; the zero value if it is unknown.
func (p *Planner) Pace(instance string) pace.Runner {
	r := p.runners[instance]
	if r == nil {
		return pace.Runner{}
	}
	return p.paces.Runner(r.status.Heartbeat.Service, instance)
}

// PaceState summarizes the speed of the runners of a service.
type PaceState struct {
	Service string
	// Typical is the speed of a typical runner.
	Typical pace.Runner
	// Error is the mean relative error of the forecast time between two events.
	Error float64
	// Capacity is the capacity of a typical runner in requests per second, and Scale the correction by
	// late streams that it includes.
	Capacity float64
	Scale    float64
	// Slow is the number of slow runners, and Unknown that of runners without an assessment.
	Slow    int
	Unknown int
}

// PaceStates returns the states of the services with models, by name.
func (p *Planner) PaceStates() []PaceState {
	states := make(map[string]*PaceState)
	for instance, r := range p.runners {
		name := r.status.Heartbeat.Service
		if p.engineOf(r) == nil {
			continue
		}
		state := states[name]
		if state == nil {
			state = &PaceState{
				Service: name, Typical: p.paces.Runner(name, ""), Error: p.paces.Error(name),
				Capacity: p.capacityAt(name, 1), Scale: p.capacityModel(name).scale,
			}
			states[name] = state
		}
		switch found := p.judgements[instance]; {
		case found.IsSlow:
			state.Slow++
		case found.Slowness == 0:
			state.Unknown++
		}
	}
	listed := make([]PaceState, 0, len(states))
	for _, state := range states {
		listed = append(listed, *state)
	}
	slices.SortFunc(listed, func(a, b PaceState) int { return strings.Compare(a.Service, b.Service) })
	return listed
}
