package relay

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// allTracked is the size of a fleet up to which a router chooses among all runners as they are listed: each
	// takes about a kilobyte in the balancer, and a change of one some microseconds.
	allTracked = 1024
	// trackedLife is how long after its last request a model's runners are kept ready to be chosen: with a
	// thousand routers even a model in use is asked for at one of them once in minutes.
	trackedLife = time.Minute
	// forgetPause separates two looks for models that have not been asked for.
	forgetPause = 10 * time.Second
)

// placed is which of the listed runners a router may choose: all of a small fleet, and of a large one those that
// hold what its requests asked for lately. What a router keeps and does then goes with its requests, and not with
// ten thousand runners of which it uses a few. The router's mutex guards it.
type placed struct {
	// lastAsked is when each model was last asked for; those without a model are services.
	lastAsked map[fleet.ModelKey]time.Time
	// runners are those in the balancer, with their addresses.
	runners map[string]string
	sweptAt time.Time
	// isOfAll is set while all listed runners are in the balancer.
	isOfAll bool
	// hasPaced is set if one of those that were placed last is paced.
	hasPaced bool
}

func newPlaced() placed {
	return placed{lastAsked: make(map[fleet.ModelKey]time.Time), runners: make(map[string]string), isOfAll: true}
}

// modelKey names the model of a row, or its service.
func modelKey(row residency.Row) fleet.ModelKey {
	return fleet.ModelKey{Service: row.Service, Model: row.Model}
}

// track has the runners that hold the row's model be ready to be chosen. It runs under the mutex.
func (r *Router) track(row residency.Row) {
	key := modelKey(row)
	now := r.now()
	_, isKnown := r.placed.lastAsked[key]
	r.placed.lastAsked[key] = now
	if r.placed.isOfAll || isKnown {
		return
	}
	var missing []string
	r.fleet.Each(key, func(runner *fleet.Runner) bool {
		if _, isPlaced := r.placed.runners[runner.Instance]; !isPlaced {
			missing = append(missing, runner.Instance)
		}
		return true
	})
	r.place(missing)
}

// isTracked reports whether the runner is one to be chosen.
func (p *placed) isTracked(runner *fleet.Runner) bool {
	if p.isOfAll {
		return true
	}
	if _, isAsked := p.lastAsked[fleet.ModelKey{Service: runner.Service}]; isAsked {
		return true
	}
	for i := range runner.Models {
		if _, isAsked := p.lastAsked[fleet.ModelKey{Service: runner.Service, Model: runner.Models[i].Name}]; isAsked {
			return true
		}
	}
	return false
}

// adoptChanges has the balancer know what has changed of the runners that it chooses among. It runs under the
// mutex.
func (r *Router) adoptChanges(changes fleet.Changes) {
	removed := changes.Removed
	var changed []string
	for _, instance := range changes.Changed {
		runner := r.fleet.Runner(instance)
		if runner != nil && r.placed.isTracked(runner) {
			changed = append(changed, instance)
		} else if _, isPlaced := r.placed.runners[instance]; isPlaced {
			removed = append(removed, instance)
		}
	}
	r.displace(removed)
	if wasOfAll := r.placed.isOfAll; wasOfAll != (r.fleet.Len() <= allTracked) {
		r.placed.isOfAll = !wasOfAll
		r.replaceAll()
		return
	}
	r.place(changed)
}

// replaceAll looks anew at which runners are to be chosen. It runs under the mutex.
func (r *Router) replaceAll() {
	var wanted, unwanted []string
	for _, instance := range r.fleet.Instances() {
		if r.placed.isTracked(r.fleet.Runner(instance)) {
			wanted = append(wanted, instance)
		} else if _, isPlaced := r.placed.runners[instance]; isPlaced {
			unwanted = append(unwanted, instance)
		}
	}
	r.displace(unwanted)
	r.place(wanted)
}

// displace takes runners out of the choice. It runs under the mutex.
func (r *Router) displace(instances []string) {
	for _, instance := range instances {
		id := structs.RunnerID(instance)
		r.balancer.Drop(id)
		r.zones.watch.Remove(id)
		r.leaveAddress(r.placed.runners[instance])
		delete(r.placed.runners, instance)
		delete(r.heard, id)
		r.runnerLimits.forget(id)
	}
	r.metrics.limitedRunners.Set(float64(r.runnerLimits.belief.Len()))
}

// leaveAddress forgets the zone of an address at which no runner is listed any more. It runs under the mutex.
func (r *Router) leaveAddress(address string) {
	if r.options.Connects != nil && address != "" && !r.fleet.IsTaken(address) {
		r.options.Connects.forget(address)
	}
}

// place puts listed runners into the choice, or what is new of them. It runs under the mutex.
func (r *Router) place(instances []string) {
	if len(instances) == 0 {
		return
	}
	update := structs.Placement{Partial: true}
	for _, instance := range instances {
		runner := r.fleet.Runner(instance)
		r.leaveAddress(r.placed.runners[instance])
		r.placed.runners[instance] = runner.Address
		addPlacement(&update, runner)
	}
	r.balancer.SetPlacement(update)
	for i, instance := range instances {
		runner, id := r.fleet.Runner(instance), structs.RunnerID(instance)
		r.balancer.SetPace(id, paceOf(*runner))
		r.balancer.SetBatch(id, runner.Slots)
		r.balancer.SetFailing(id, runner.Failing)
		r.runnerLimits.belief.Learn(r.now(), instance, runner.Limit)
		r.pace(instance)
		r.heed(instance)
		r.zones.watch.Add(update.Runners[i])
		if r.options.Connects != nil {
			r.options.Connects.setZone(runner.Address, structs.ZoneID(runner.Zone))
		}
	}
	r.metrics.limitedRunners.Set(float64(r.runnerLimits.belief.Len()))
}

// forgetUnasked gives up the choice among the runners of models that have not been asked for lately. It runs under
// the mutex.
func (r *Router) forgetUnasked(now time.Time) {
	if now.Sub(r.placed.sweptAt) < forgetPause {
		return
	}
	r.placed.sweptAt = now
	r.notices.book.Sweep(now, func(instance string) bool { return r.fleet.Runner(instance) != nil })
	var unasked []fleet.ModelKey
	for key, asked := range r.placed.lastAsked {
		if now.Sub(asked) > trackedLife && r.isUnused(key) {
			unasked = append(unasked, key)
			delete(r.placed.lastAsked, key)
		}
	}
	if r.placed.isOfAll {
		return
	}
	var unused []string
	for _, key := range unasked {
		r.fleet.Each(key, func(runner *fleet.Runner) bool {
			if !r.placed.isTracked(runner) {
				unused = append(unused, runner.Instance)
			}
			return true
		})
	}
	r.displace(unused)
}

// isUnused reports whether no request for the model is waiting or at a runner. It runs under the mutex.
func (r *Router) isUnused(key fleet.ModelKey) bool {
	for row, state := range r.rows {
		if modelKey(row) == key && (state.waiting() > 0 || len(state.active) > 0) {
			return false
		}
	}
	return true
}
