package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/site"
)

// phase is how far a model or adapter is.
type phase uint8

const (
	// phaseReady: requests may use it.
	phaseReady phase = iota + 1
	// phaseLoading: an accepted order loads it.
	phaseLoading
	// phaseUnloading: an order to unload it was sent and may have been taken.
	phaseUnloading
	// phaseUncertain: an order to load it was sent, and nobody knows whether it was
	// taken.
	phaseUncertain
)

// holding is a model or adapter on a runner, or on its way to or from there.
type holding struct {
	phase phase
	since time.Time
	// usedAt is when a request last needed it.
	usedAt   time.Time
	adapters map[string]*holding
	// fromStore is set if the model comes or came from the weight store, and expected is
	// how long its load was expected to take; 0 for one that this planner did not order.
	fromStore bool
	expected  time.Duration
	// isListed is set once a heartbeat that was heard has listed the model: only then
	// is a heartbeat that does not list it certainly a newer one.
	isListed bool
}

func newHolding(now time.Time, phase phase) *holding {
	return &holding{phase: phase, since: now, usedAt: now, adapters: make(map[string]*holding)}
}

// runner is one life of a runner as the planner sees it.
type runner struct {
	status fleet.Status
	// listing is the number of the last call of Planner.SetRunners that listed the runner.
	listing  uint64
	holdings map[string]*holding
	// listed is what loaded returns, as long as isListed is set: at ten thousand runners nearly all hold what
	// they held at the step before.
	listed   []fleet.LoadedModel
	isListed bool
	// read is what routers let it read.
	read readTokens
	// restsUntil is until when the runner probably takes no requests, as it asked a router for rest.
	restsUntil time.Time
	// pausedUntil is until when the runner wants no orders or questions.
	pausedUntil time.Time
	// copies says of which models the runner's machine has a copy, and where.
	copies map[string]copyPlace
	// weighed is what a load at the runner is weighed by in the plan under way; nil before
	// it is needed.
	weighed *weighed
	// capability is what the runner bears, and load how many requests a second of the demand
	// it should get, as of the last tally; see Planner.spreadDemand.
	capability
	load float64
	// served counts the streams that have ended there since the last judgement, and servedRate
	// is their rate, in streams a second.
	served     int
	servedRate float64
	// taken is the number of orders that the runner has taken, if isTakenKnown.
	taken        uint64
	isTakenKnown bool
	askedAt      time.Time
	// sent is set while an order waits for its answer.
	sent bool
	// changedAt is when the last order was answered or given up.
	changedAt time.Time
	// isBusy is set while the runner executes an order that this planner did not send,
	// so that what it loads is not known.
	isBusy bool
	// isGone is set once another runner answered in this one's place; a heartbeat
	// clears it.
	isGone bool
	// reserved is the model for which room is being made, until reservedUntil.
	reserved      string
	reservedUntil time.Time
	// roomBy is by when the room should have been made.
	roomBy time.Time
	// ended are the loads that have ended since they were last taken; see
	// Planner.TakeEndedLoads.
	ended []EndedLoad
	// copySlowness is how many times as long as listed a load from a copy takes at the machine,
	// as its last loads show; 0 before the first. copySeenAt is when the last of them ended.
	copySlowness float64
	copySeenAt   time.Time
	// storeKeptUntil is until when a place at the weight store is kept for that model.
	storeKeptUntil time.Time
}

// copyPlace is where a machine has a copy of a model.
type copyPlace uint8

const (
	copyOnDisk copyPlace = iota + 1
	copyInMemory
)

// hasCopy reports whether the runner's machine has a copy of the model, so that a load
// does not come from the weight store.
func (r *runner) hasCopy(model string) bool { return r.copies[model] != 0 }

// noteCopies takes the copies of which a heartbeat tells.
func (r *runner) noteCopies() {
	r.copies = make(map[string]copyPlace)
	for _, name := range r.status.Heartbeat.OnDisk {
		r.copies[name] = copyOnDisk
	}
	for _, name := range r.status.Heartbeat.InMemory {
		r.copies[name] = copyInMemory
	}
}

// isOccupied reports whether an order about a model is under way: the runner takes
// no other until it is done.
func (r *runner) isOccupied() bool {
	for _, held := range r.holdings {
		if held.phase == phaseLoading || held.phase == phaseUnloading {
			return true
		}
	}
	return false
}

// rowOf is the row of a model at the runner.
func (r *runner) rowOf(model string) Row {
	return Row{Service: r.status.Heartbeat.Service, Model: model}
}

// rowOfAdapter is the row of an adapter of a model at the runner.
func (r *runner) rowOfAdapter(model, adapter string) Row {
	return Row{Service: r.status.Heartbeat.Service, Model: model, Adapter: adapter}
}

// isUncertain reports whether an order to load a model may or may not have been taken.
func (r *runner) isUncertain() bool {
	for _, held := range r.holdings {
		if held.phase == phaseUncertain {
			return true
		}
	}
	return false
}

// usedMB is the memory of all that the runner holds or may hold.
func (r *runner) usedMB(engine *site.Engine) float64 {
	used := 0.0
	for name, held := range r.holdings {
		model := engine.ModelByName(name)
		if model == nil {
			// A model that the document no longer lists has an unknown size.
			return engine.WeightsMB
		}
		used += model.SizeMB + float64(len(held.adapters))*model.AdapterMB
	}
	return used
}

// adapters counts the adapters that the runner holds or may hold.
func (r *runner) adapters() int {
	count := 0
	for _, held := range r.holdings {
		count += len(held.adapters)
	}
	return count
}

// incoming counts the adapters on their way to the runner.
func (r *runner) incoming() int {
	count := 0
	for _, held := range r.holdings {
		for _, adapter := range held.adapters {
			if adapter.phase == phaseLoading || adapter.phase == phaseUncertain {
				count++
			}
		}
	}
	return count
}

// loaded lists what requests may use, sorted. The list must not be changed.
func (r *runner) loaded() []fleet.LoadedModel {
	if !r.isListed {
		r.listed, r.isListed = r.listLoaded(), true
	}
	return r.listed
}

func (r *runner) listLoaded() []fleet.LoadedModel {
	var models []fleet.LoadedModel
	for name, held := range r.holdings {
		if held.phase != phaseReady {
			continue
		}
		model := fleet.LoadedModel{Name: name}
		for adapter, state := range held.adapters {
			if state.phase == phaseReady {
				model.Adapters = append(model.Adapters, adapter)
			}
		}
		slices.Sort(model.Adapters)
		models = append(models, model)
	}
	slices.SortFunc(models, func(a, b fleet.LoadedModel) int { return strings.Compare(a.Name, b.Name) })
	return models
}

// hear takes what the runner says it holds in a heartbeat. Heartbeats carry the
// state of models at the time they were made; adapters change without one.
func (r *runner) hear(now time.Time, models []fleet.LoadedModel, guard time.Duration) {
	for _, said := range models {
		held := r.holdings[said.Name]
		switch {
		case held == nil:
			held = newHolding(now, phaseReady)
			held.usedAt = time.Time{}
			r.holdings[said.Name] = held
		case held.phase == phaseLoading || held.phase == phaseUncertain:
			r.noteEnded(now, said.Name, held)
			held.phase, held.since = phaseReady, now
		}
		held.isListed = true
		for _, name := range said.Adapters {
			if held.adapters[name] == nil && now.Sub(r.changedAt) > guard {
				held.adapters[name] = newHolding(now, phaseReady)
			}
		}
	}
	for name, held := range r.holdings {
		isSaid := slices.ContainsFunc(models, func(said fleet.LoadedModel) bool { return said.Name == name })
		if isSaid || held.phase == phaseLoading || held.phase == phaseUncertain {
			continue
		}
		if !held.isListed {
			// The heartbeat may be from before a report that told of the model.
			r.isTakenKnown = false
			continue
		}
		delete(r.holdings, name)
	}
}

// noteEnded notes the end of a load that this planner ordered.
func (r *runner) noteEnded(now time.Time, model string, held *holding) {
	if held.expected <= 0 {
		return
	}
	if !held.fromStore {
		r.learnCopyTime(now, now.Sub(held.since).Seconds()/held.expected.Seconds())
	}
	r.ended = append(r.ended, EndedLoad{
		Service: r.status.Heartbeat.Service, Instance: r.status.Heartbeat.Instance, Model: model,
		FromStore: held.fromStore, Took: now.Sub(held.since), Expected: held.expected,
	})
}

// reconcile takes a whole report that was made after the last order was settled. A
// runner that is busy with an order of which the planner does not know, as after a
// change of the leader, must be asked again: what it loads counts for its memory but
// is not reported before it is loaded.
func (r *runner) reconcile(now time.Time, report Report) {
	known := r.holdings
	r.isBusy = report.Busy && !r.isOccupied() && !r.isUncertain()
	r.taken, r.isTakenKnown = report.Taken, !r.isBusy
	r.holdings = make(map[string]*holding, len(report.Models))
	for _, said := range report.Models {
		held := newHolding(now, phaseReady)
		if former := known[said.Name]; former != nil {
			if former.phase == phaseLoading || former.phase == phaseUncertain {
				r.noteEnded(now, said.Name, former)
			}
			held.usedAt, held.since, held.isListed = former.usedAt, former.since, former.isListed
			if report.Busy && former.phase == phaseUnloading {
				held.phase = phaseUnloading
			}
		}
		for _, name := range said.Adapters {
			held.adapters[name] = newHolding(now, phaseReady)
		}
		r.holdings[said.Name] = held
	}
	for _, said := range report.Pending {
		held := r.holdings[said.Name]
		if held == nil {
			continue
		}
		for _, name := range said.Adapters {
			held.adapters[name] = newHolding(now, phaseLoading)
		}
	}
	for name, held := range known {
		if r.holdings[name] == nil && report.Busy && (held.phase == phaseLoading || held.phase == phaseUncertain) {
			held.phase = phaseLoading
			r.holdings[name] = held
		}
	}
}
