package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
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
	pausing := p.pausing(now)
	typical := make(map[string]pace.Runner)
	known := make(map[*runner]float64)
	for instance, slowness := range p.paces.Known() {
		known[p.runners[instance]] = slowness
	}
	for _, r := range p.sorted() {
		p.judgeRunner(r, known[r], pausing[r], typical)
		r.countServed(passed)
		r.decayCopyTime(now, passed)
	}
	clear(p.formerJudgements)
	p.updateCapacity()
}

// judgeRunner assesses a runner by its slowness, 0 if that is unknown, and whether its streams pause.
// typical holds the speed of runners of unknown slowness by service.
func (p *Planner) judgeRunner(r *runner, slowness float64, pauses bool, typical map[string]pace.Runner) {
	heartbeat := &r.status.Heartbeat
	found := Judgement{Instance: heartbeat.Instance, Slowness: slowness, Pauses: pauses}
	if found.Slowness > 0 {
		p.slowness[r.endpoint()] = found.Slowness
		r.pace = p.paces.Runner(heartbeat.Service, heartbeat.Instance)
	} else {
		speed, isKnown := typical[heartbeat.Service]
		if !isKnown {
			speed = p.paces.Runner(heartbeat.Service, "")
			typical[heartbeat.Service] = speed
		}
		r.pace = speed
	}
	former := &r.judgement
	found.IsSlow = found.Slowness >= slowThreshold || former.IsSlow && found.Slowness > slowClearThreshold
	found.Pace, found.Capacity = r.pace, r.capacity
	if former.IsSlow != found.IsSlow || former.Pauses != found.Pauses {
		p.judged = append(p.judged, found)
	}
	r.judgement = found
}

// judgementOf returns the last judgement of a runner, or of a former one since the last assessment.
func (p *Planner) judgementOf(instance string) Judgement {
	if r := p.runners[instance]; r != nil {
		return r.judgement
	}
	return p.formerJudgements[instance]
}

// TakeJudgements returns the assessments that have changed since the last call.
func (p *Planner) TakeJudgements() []Judgement {
	changed := p.judged
	p.judged = nil
	slices.SortStableFunc(changed, func(a, b Judgement) int { return strings.Compare(a.Instance, b.Instance) })
	return changed
}

// pausing returns the runners at which too many streams of one of their models paused.
func (p *Planner) pausing(now time.Time) map[*runner]bool {
	pausing := make(map[*runner]bool)
	for row, instances := range p.pauses {
		for instance, streams := range instances {
			r := p.runners[instance]
			if streams.isHigh(now) && r != nil && row == r.rowOf(row.Model) && r.holdings[row.Model] != nil {
				pausing[r] = true
			}
		}
	}
	return pausing
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
	found := p.judgementOf(instance)
	return found.IsSlow || found.Pauses
}

// IsSlowMachine reports whether the runner is slower than others.
func (p *Planner) IsSlowMachine(instance string) bool { return p.judgementOf(instance).IsSlow }

// Published is what the planner tells routers about a runner.
type Published struct {
	IsSlow bool
	Pace   pace.Runner
	// Models are those that requests may use. They must not be modified.
	Models []fleet.LoadedModel
}

// Published returns what routers are told about a runner. position is its probable index among the
// sorted runners, which saves a search.
func (p *Planner) Published(instance string, position int) Published {
	r := p.runnerAt(instance, position)
	if r == nil {
		return Published{IsSlow: p.IsSlow(instance)}
	}
	return Published{IsSlow: r.judgement.IsSlow || r.judgement.Pauses, Pace: r.pace, Models: r.loaded()}
}

// runnerAt returns the runner of an instance, probably at a position of the sorted runners; nil if
// there is none.
func (p *Planner) runnerAt(instance string, position int) *runner {
	if sorted := p.sorted(); position < len(sorted) && sorted[position].status.Heartbeat.Instance == instance {
		return sorted[position]
	}
	return p.runners[instance]
}

// Pace returns the speed of a runner; the zero value if it is unknown.
func (p *Planner) Pace(instance string) pace.Runner {
	if r := p.runners[instance]; r != nil {
		return r.pace
	}
	return pace.Runner{}
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
	for _, r := range p.sorted() {
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
		switch found := &r.judgement; {
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
