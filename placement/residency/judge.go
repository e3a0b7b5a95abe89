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
	// Slowness is how many times as long as the usual runner it takes; 0 if it was not
	// compared with another one.
	Slowness float64
	// IsSlow is set if that is much, by its streams or, if they do not tell, as a runner in the
	// same place was.
	IsSlow bool
	// Pauses is set if too many of its streams paused for too long lately.
	Pauses bool
	// Pace is what work takes there, and Borne how many requests a second it bears.
	Pace  pace.Runner
	Borne float64
}

const (
	// slowFrom is the slowness from which a runner counts as slow, and slowUntil that below
	// which it no longer does: what load and noise leave of a gap's error stays below.
	slowFrom  = 1.5
	slowUntil = 1.3
)

// place is where a runner is. The next one there is on the same machine.
type place struct{ service, address string }

func (r *runner) place() place {
	return place{r.status.Heartbeat.Service, r.status.Heartbeat.Address}
}

// ObservePace takes the pace of streams that routers saw.
func (p *Planner) ObservePace(now time.Time, seen []Pace) {
	for _, each := range seen {
		known := p.runners[each.Instance]
		if known == nil {
			continue
		}
		p.paces.Add(now, pace.Sample{
			Instance: each.Instance, Class: p.paceClass(Row{Service: each.Service, Model: each.Model}), Gap: each.Gap,
			First: each.First, Prompt: each.Prompt, Events: each.Events,
		})
		if !each.IsUnderWay {
			p.pauses.add(now, each)
			p.observeBearing(known, each)
		}
	}
}

// RecallSpeed takes what the leader before believed of the runner in a place. How slow it was
// is not recorded: the least is taken that counts as slow.
func (p *Planner) RecallSpeed(service, address string, isSlow bool) {
	if isSlow {
		p.slowness[place{service, address}] = slowFrom
	}
}

// judgeInterval is the pause between two comparisons of the runners.
const judgeInterval = time.Second

// judge compares the runners from time to time.
func (p *Planner) judge(now time.Time) {
	if !p.judgedAt.IsZero() && now.Sub(p.judgedAt) < judgeInterval {
		return
	}
	passed := now.Sub(p.judgedAt)
	p.judgedAt = now
	p.paces.Judge(now)
	for instance, known := range p.runners {
		found := Judgement{Instance: instance, Slowness: p.paces.Slowness(instance), Pauses: p.hasPaused(now, known)}
		if found.Slowness > 0 {
			p.slowness[known.place()] = found.Slowness
		}
		former := p.judgements[instance]
		found.IsSlow = found.Slowness >= slowFrom || former.IsSlow && found.Slowness > slowUntil
		found.Pace, found.Borne = p.Pace(instance), known.borne
		if former.IsSlow != found.IsSlow || former.Pauses != found.Pauses {
			p.judged = append(p.judged, found)
		}
		p.judgements[instance] = found
		known.countServed(passed)
		known.fadeCopyTime(now, passed)
	}
	p.judgeBearing()
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

// hasPaused reports whether too many streams of one of the models that the runner holds paused.
func (p *Planner) hasPaused(now time.Time, known *runner) bool {
	for model := range known.holdings {
		if p.pauses.isHigh(now, known.rowOf(model), known.status.Heartbeat.Instance) {
			return true
		}
	}
	return false
}

// paceClass is the class of a model; one that the document does not list is alone.
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

// IsSlow reports whether a runner is believed to be slower than others, or too slow for
// one of the models that it holds.
func (p *Planner) IsSlow(instance string) bool {
	found := p.judgements[instance]
	return found.IsSlow || found.Pauses
}

// IsSlowPlace reports whether a runner is believed to be slower than others.
func (p *Planner) IsSlowPlace(instance string) bool { return p.judgements[instance].IsSlow }

// Pace is what work takes at a runner; nothing is known of those that are not listed.
func (p *Planner) Pace(instance string) pace.Runner {
	known := p.runners[instance]
	if known == nil {
		return pace.Runner{}
	}
	return p.paces.Runner(known.status.Heartbeat.Service, instance)
}

// PaceState is what is believed of the runners of a service together.
type PaceState struct {
	Service string
	// Usual is what work takes at its usual runner.
	Usual pace.Runner
	// Error is the mean part by which forecasts of the time between two events were wrong.
	Error float64
	// Borne is how many requests a second a usual runner bears, and Scale by how much late
	// streams have corrected that.
	Borne float64
	Scale float64
	// Slow counts the runners that are slow, and Unknown those of which nothing tells.
	Slow    int
	Unknown int
}

// PaceStates lists what is believed of the services whose runners run models, by name.
func (p *Planner) PaceStates() []PaceState {
	states := make(map[string]*PaceState)
	for instance, known := range p.runners {
		name := known.status.Heartbeat.Service
		if p.engineOf(known) == nil {
			continue
		}
		state := states[name]
		if state == nil {
			state = &PaceState{
				Service: name, Usual: p.paces.Runner(name, ""), Error: p.paces.Error(name),
				Borne: p.borneAt(name, 1), Scale: p.bearing(name).scale,
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
