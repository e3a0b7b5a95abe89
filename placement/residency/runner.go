package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/placement/site"
)

// phase is the state of a model or adapter at a runner.
type phase uint8

const (
	// phaseReady: requests may use it.
	phaseReady phase = iota + 1
	// phaseLoading: an accepted order is loading it.
	phaseLoading
	// phaseUnloading: an order to unload it was sent and may have been accepted.
	phaseUnloading
	// phaseUncertain: an order to load it was sent, and the outcome is unknown.
	phaseUncertain
)

// holding is a model or adapter that a runner holds, loads or unloads.
type holding struct {
	phase phase
	since time.Time
	// usedAt is the time at which a request was last seen using it.
	usedAt   time.Time
	adapters map[string]*holding
	// fromStore is set if the model comes or came from the weight store. expected is the expected
	// time of its load; 0 if this planner didn't order it.
	fromStore bool
	expected  time.Duration
	// isListed is set once a heartbeat has listed the model. Only then does a heartbeat without the
	// model imply that it was unloaded.
	isListed bool
}

func newHolding(now time.Time, phase phase) *holding {
	return &holding{phase: phase, since: now, usedAt: now, adapters: make(map[string]*holding)}
}

// runner is the planner's state of one run of a runner process.
type runner struct {
	status fleet.Status
	// listing is the number of the last call of Planner.SetRunners that listed the runner.
	listing  uint64
	holdings map[string]*holding
	// listed and activity are derived from the holdings; valid while isDerived is set.
	listed    []fleet.LoadedModel
	activity  activity
	isDerived bool
	// indexed is the runner's entry in the planner's index. isIndexStale is set if it has changed
	// since, and isForgotten once the runner is no longer listed.
	indexed      indexEntry
	isIndexStale bool
	isForgotten  bool
	// pace and judgement are those of the last call of Planner.judge.
	pace      pace.Runner
	judgement Judgement
	// read is the rate of prompt tokens that routers send to it.
	read readTokens
	// cooldownUntil is the time until which the runner probably rejects requests.
	cooldownUntil time.Time
	// pausedUntil is the time until which the runner gets no orders or polls.
	pausedUntil time.Time
	// copies lists the models of which the runner's machine has a copy.
	copies map[string]copyLocation
	// notedOnDisk and notedInMemory are the lists that copies was made from.
	notedOnDisk, notedInMemory []string
	// evictions caches the result of Planner.evictionsAt for one plan; nil before it is needed.
	evictions *evictions
	// capability is what the runner can serve, and load the rate of requests that it is expected to
	// get, in requests per second, as of the last snapshot; see Planner.assignDemand.
	capability
	load float64
	// served is the number of streams that have ended since the last judgement, and servedRate
	// their rate in streams per second.
	served     int
	servedRate float64
	// taken is the number of orders that the runner has taken; valid if isTakenKnown is set.
	taken        uint64
	isTakenKnown bool
	polledAt     time.Time
	// sent is set while an order is unanswered.
	sent bool
	// changedAt is the time at which the last order was answered or given up.
	changedAt time.Time
	// isBusy is set while the runner executes an order of a previous leader, so that the model it
	// loads is unknown.
	isBusy bool
	// isGone is set once another runner answered at the address; a heartbeat clears it.
	isGone bool
	// reserved is the model for which others are being unloaded, until reservedUntil.
	reserved      string
	reservedUntil time.Time
	// unloadBy is the time by which the memory for reserved should be free.
	unloadBy time.Time
	// ended lists the loads that have ended since the last call of Planner.TakeEndedLoads.
	ended []EndedLoad
	// copySlowness is the ratio of the measured time of loads from copies at the machine to the
	// listed time; 0 before the first. copySeenAt is the time at which the last of them ended.
	copySlowness float64
	copySeenAt   time.Time
	// storeSlotUntil is the time until which a slot of the weight store is reserved for the
	// reserved model.
	storeSlotUntil time.Time
}

// copyLocation is where a machine stores its copy of a model.
type copyLocation uint8

const (
	copyOnDisk copyLocation = iota + 1
	copyInMemory
)

// hasCopy reports whether the runner's machine has a copy of the model, so that a load doesn't use
// the weight store.
func (r *runner) hasCopy(model string) bool { return r.copies[model] != 0 }

// noteCopies records the copies listed in the last heartbeat. It reports whether they have changed.
func (r *runner) noteCopies() bool {
	heartbeat := &r.status.Heartbeat
	isSame := r.copies != nil && slices.Equal(r.notedOnDisk, heartbeat.OnDisk) && slices.Equal(r.notedInMemory, heartbeat.InMemory)
	r.notedOnDisk, r.notedInMemory = heartbeat.OnDisk, heartbeat.InMemory
	if isSame {
		return false
	}
	r.copies = make(map[string]copyLocation)
	for _, name := range heartbeat.OnDisk {
		r.copies[name] = copyOnDisk
	}
	for _, name := range heartbeat.InMemory {
		r.copies[name] = copyInMemory
	}
	return true
}

// activity summarizes the orders in progress at a runner.
type activity struct {
	// isOccupied is set while a model is loaded or unloaded, and isUncertain while the outcome of an
	// order to load one is unknown.
	isOccupied  bool
	isUncertain bool
	// isLoadingAdapter is set while an adapter is loaded.
	isLoadingAdapter bool
}

// isOccupied reports whether an order about a model is in progress. The runner takes no other order
// until it has ended.
func (r *runner) isOccupied() bool {
	r.derive()
	return r.activity.isOccupied
}

// rowOf returns the row of a model at the runner.
func (r *runner) rowOf(model string) Row {
	return Row{Service: r.status.Heartbeat.Service, Model: model}
}

// rowOfAdapter returns the row of an adapter of a model at the runner.
func (r *runner) rowOfAdapter(model, adapter string) Row {
	return Row{Service: r.status.Heartbeat.Service, Model: model, Adapter: adapter}
}

// isUncertain reports whether the outcome of an order to load a model is unknown.
func (r *runner) isUncertain() bool {
	r.derive()
	return r.activity.isUncertain
}

// isActive reports whether an order is or may be in progress.
func (r *runner) isActive() bool {
	r.derive()
	return r.isBusy || r.activity != activity{}
}

// usedMB returns the memory of all models and adapters that the runner holds or may hold.
func (r *runner) usedMB(engine *site.Engine) float64 {
	used := 0.0
	for name, held := range r.holdings {
		model := engine.ModelByName(name)
		if model == nil {
			// The document no longer lists the model, so its size is unknown.
			return engine.WeightsMB
		}
		used += model.SizeMB + float64(len(held.adapters))*model.AdapterMB
	}
	return used
}

// adapters returns the number of adapters that the runner holds or may hold.
func (r *runner) adapters() int {
	count := 0
	for _, held := range r.holdings {
		count += len(held.adapters)
	}
	return count
}

// incoming returns the number of adapters being loaded at the runner.
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

// loaded returns the models and adapters that requests may use, sorted. The list must not be
// modified.
func (r *runner) loaded() []fleet.LoadedModel {
	r.derive()
	return r.listed
}

// derive updates what is derived from the holdings, unless it is valid.
func (r *runner) derive() {
	if !r.isDerived {
		r.listed, r.activity, r.isDerived = r.listLoaded(), r.listActivity(), true
	}
}

func (r *runner) listActivity() activity {
	var found activity
	for _, held := range r.holdings {
		switch held.phase {
		case phaseLoading, phaseUnloading:
			found.isOccupied = true
		case phaseUncertain:
			found.isUncertain = true
		}
		for _, adapter := range held.adapters {
			found.isLoadingAdapter = found.isLoadingAdapter || adapter.phase == phaseLoading
		}
	}
	return found
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

// applyHeartbeat updates the holdings from a heartbeat, and reports whether one was added, removed or
// has another phase. Heartbeats carry the state of the models at the time they were made; no
// heartbeat is sent when adapters change.
func (r *runner) applyHeartbeat(now time.Time, models []fleet.LoadedModel, guard time.Duration) (isChanged bool) {
	for _, listed := range models {
		held := r.holdings[listed.Name]
		switch {
		case held == nil:
			held = newHolding(now, phaseReady)
			held.usedAt = time.Time{}
			r.holdings[listed.Name] = held
			isChanged = true
		case held.phase == phaseLoading || held.phase == phaseUncertain:
			r.noteEnded(now, listed.Name, held)
			held.phase, held.since = phaseReady, now
			isChanged = true
		}
		held.isListed = true
		for _, name := range listed.Adapters {
			if held.adapters[name] == nil && now.Sub(r.changedAt) > guard {
				held.adapters[name] = newHolding(now, phaseReady)
				isChanged = true
			}
		}
	}
	for name, held := range r.holdings {
		isListed := slices.ContainsFunc(models, func(listed fleet.LoadedModel) bool { return listed.Name == name })
		if isListed || held.phase == phaseLoading || held.phase == phaseUncertain {
			continue
		}
		if !held.isListed {
			// The heartbeat may be older than the report that listed the model.
			r.isTakenKnown = false
			continue
		}
		delete(r.holdings, name)
		isChanged = true
	}
	return isChanged
}

// noteEnded records the end of a load that this planner ordered.
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

// applyReport replaces the holdings by a report that was made after the last order was settled. A
// runner that executes an order of a previous leader has to be polled again: the model it loads is
// not in the report.
func (r *runner) applyReport(now time.Time, report Report) {
	previous := r.holdings
	r.isBusy = report.Busy && !r.isOccupied() && !r.isUncertain()
	r.taken, r.isTakenKnown = report.Taken, !r.isBusy
	r.holdings = make(map[string]*holding, len(report.Models))
	for _, listed := range report.Models {
		held := newHolding(now, phaseReady)
		if former := previous[listed.Name]; former != nil {
			if former.phase == phaseLoading || former.phase == phaseUncertain {
				r.noteEnded(now, listed.Name, former)
			}
			held.usedAt, held.since, held.isListed = former.usedAt, former.since, former.isListed
			if report.Busy && former.phase == phaseUnloading {
				held.phase = phaseUnloading
			}
		}
		for _, name := range listed.Adapters {
			held.adapters[name] = newHolding(now, phaseReady)
		}
		r.holdings[listed.Name] = held
	}
	for _, listed := range report.Pending {
		held := r.holdings[listed.Name]
		if held == nil {
			continue
		}
		for _, name := range listed.Adapters {
			held.adapters[name] = newHolding(now, phaseLoading)
		}
	}
	for name, held := range previous {
		if r.holdings[name] == nil && report.Busy && (held.phase == phaseLoading || held.phase == phaseUncertain) {
			held.phase = phaseLoading
			r.holdings[name] = held
		}
	}
}
