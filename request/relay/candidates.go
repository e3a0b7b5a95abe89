package relay

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxTrackAll is the largest fleet of which a router tracks all runners. Each takes about 1 kB
	// in the balancer.
	maxTrackAll = 1024
	// trackTTL is how long after its last request the runners of a model remain candidates. With a
	// thousand routers, each may see a model in use only once in minutes.
	trackTTL = time.Minute
	// sweepInterval is the interval between searches for unused models.
	sweepInterval = 10 * time.Second
)

// candidates is the set of runners that the balancer may select: all of a small fleet, otherwise
// those that hold a recently requested model. This keeps the cost proportional to the router's
// traffic rather than the fleet. It is guarded by Router.mutex.
type candidates struct {
	// lastRequested is the time of the last request of each model. Keys without a model are
	// services.
	lastRequested map[fleet.ModelKey]time.Time
	// runners maps the runners in the balancer to their addresses.
	runners map[string]string
	sweptAt time.Time
	// tracksAll is set while all listed runners are candidates.
	tracksAll bool
	// hasPaced is set if one of the runners added last needs tokens, being cold or rate limited.
	hasPaced bool
}

func newCandidates() candidates {
	return candidates{lastRequested: make(map[fleet.ModelKey]time.Time), runners: make(map[string]string), tracksAll: true}
}

// modelKey returns the key of a row's model, or of its service.
func modelKey(row residency.Row) fleet.ModelKey {
	return fleet.ModelKey{Service: row.Service, Model: row.Model}
}

// trackModel makes the runners that hold the row's model candidates. The caller must hold r.mutex.
func (r *Router) trackModel(row residency.Row) {
	key := modelKey(row)
	now := r.now()
	_, isKnown := r.candidates.lastRequested[key]
	r.candidates.lastRequested[key] = now
	if r.candidates.tracksAll || isKnown {
		return
	}
	var missing []string
	r.fleet.Each(key, func(runner *fleet.Runner) bool {
		if _, isCandidate := r.candidates.runners[runner.Instance]; !isCandidate {
			missing = append(missing, runner.Instance)
		}
		return true
	})
	r.addCandidates(missing)
}

// isTracked reports whether the runner should be a candidate.
func (c *candidates) isTracked(runner *fleet.Runner) bool {
	if c.tracksAll {
		return true
	}
	if _, isRequested := c.lastRequested[fleet.ModelKey{Service: runner.Service}]; isRequested {
		return true
	}
	for i := range runner.Models {
		if _, isRequested := c.lastRequested[fleet.ModelKey{Service: runner.Service, Model: runner.Models[i].Name}]; isRequested {
			return true
		}
	}
	return false
}

// applyFleetChanges updates the candidates after a change of the fleet. The caller must hold
// r.mutex.
func (r *Router) applyFleetChanges(changes fleet.Changes) {
	removed := changes.Removed
	var changed []string
	for _, instance := range changes.Changed {
		runner := r.fleet.Runner(instance)
		if runner != nil && r.candidates.isTracked(runner) {
			changed = append(changed, instance)
		} else if _, isCandidate := r.candidates.runners[instance]; isCandidate {
			removed = append(removed, instance)
		}
	}
	r.removeCandidates(removed)
	if trackedAll := r.candidates.tracksAll; trackedAll != (r.fleet.Len() <= maxTrackAll) {
		r.candidates.tracksAll = !trackedAll
		r.rebuildCandidates()
		return
	}
	r.addCandidates(changed)
}

// rebuildCandidates determines again which runners are candidates. The caller must hold r.mutex.
func (r *Router) rebuildCandidates() {
	var wanted, unwanted []string
	for _, instance := range r.fleet.Instances() {
		if r.candidates.isTracked(r.fleet.Runner(instance)) {
			wanted = append(wanted, instance)
		} else if _, isCandidate := r.candidates.runners[instance]; isCandidate {
			unwanted = append(unwanted, instance)
		}
	}
	r.removeCandidates(unwanted)
	r.addCandidates(wanted)
}

// removeCandidates removes runners from the balancer. The caller must hold r.mutex.
func (r *Router) removeCandidates(instances []string) {
	for _, instance := range instances {
		id := structs.RunnerID(instance)
		r.balancer.Drop(id)
		r.zones.watch.Remove(id)
		r.peers.paths.Remove(id)
		r.slots.forget(id)
		r.forgetAddress(r.candidates.runners[instance])
		delete(r.candidates.runners, instance)
		delete(r.loads.known, instance)
		delete(r.lastDataAt, id)
		delete(r.lastDirectDataAt, id)
		delete(r.lastEventAt, id)
		r.runnerLimits.forget(id)
		r.copies.traffic.Forget(id)
		delete(r.copies.brokenAt, id)
	}
	r.metrics.limitedRunners.Set(float64(r.runnerLimits.belief.Len()))
}

// forgetAddress drops the zone of an address at which no runner is listed any more. The caller must
// hold r.mutex.
func (r *Router) forgetAddress(address string) {
	if r.options.Dialer != nil && address != "" && !r.fleet.IsTaken(address) {
		r.options.Dialer.forget(address)
	}
}

// addCandidates adds listed runners to the balancer or updates them. The caller must hold r.mutex.
func (r *Router) addCandidates(instances []string) {
	if len(instances) == 0 {
		return
	}
	update := structs.Placement{Partial: true}
	for _, instance := range instances {
		runner := r.fleet.Runner(instance)
		r.forgetAddress(r.candidates.runners[instance])
		r.candidates.runners[instance] = runner.Address
		addPlacement(&update, runner)
	}
	r.balancer.SetPlacement(update)
	for i, instance := range instances {
		runner, id := r.fleet.Runner(instance), structs.RunnerID(instance)
		r.balancer.SetPace(id, paceOf(*runner))
		r.balancer.SetBatch(id, runner.Slots)
		r.balancer.SetFailing(id, runner.Failing)
		r.runnerLimits.belief.ApplyView(r.now(), instance, runner.Limit)
		r.brittle.ApplyView(r.now(), runner.Service, runner.Brittle)
		r.applyBrittle(instance)
		r.updatePacing(instance)
		r.applyNotices(instance)
		r.zones.watch.Add(update.Runners[i])
		if r.options.Dialer != nil {
			r.options.Dialer.setZone(runner.Address, structs.ZoneID(runner.Zone))
		}
	}
	r.metrics.limitedRunners.Set(float64(r.runnerLimits.belief.Len()))
}

// dropIdleModels removes the candidates of models without recent requests. The caller must hold
// r.mutex.
func (r *Router) dropIdleModels(now time.Time) {
	if now.Sub(r.candidates.sweptAt) < sweepInterval {
		return
	}
	r.candidates.sweptAt = now
	r.notices.book.Sweep(now, func(instance string) bool { return r.fleet.Runner(instance) != nil })
	var idle []fleet.ModelKey
	for key, requested := range r.candidates.lastRequested {
		if now.Sub(requested) > trackTTL && r.isUnused(key) {
			idle = append(idle, key)
			delete(r.candidates.lastRequested, key)
		}
	}
	if r.candidates.tracksAll {
		return
	}
	var unused []string
	for _, key := range idle {
		r.fleet.Each(key, func(runner *fleet.Runner) bool {
			if !r.candidates.isTracked(runner) {
				unused = append(unused, runner.Instance)
			}
			return true
		})
	}
	r.removeCandidates(unused)
}

// isUnused reports whether no request for the model is waiting or in progress. The caller must hold
// r.mutex.
func (r *Router) isUnused(key fleet.ModelKey) bool {
	for row, state := range r.rows {
		if modelKey(row) == key && (state.waiting() > 0 || len(state.active) > 0) {
			return false
		}
	}
	return true
}
