package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// runTimeWeight is the weight of the latest attempt in a runner's mean run time.
const runTimeWeight = 0.2

// slotLease bounds this router's attempts at a runner whose slots are lent. The zero value bounds nothing.
type slotLease struct {
	isRequired bool
	// slots is the number of attempts that the router may have at the runner when it begins another one.
	slots int
	// deniedUntil is until when the runner's slots are not claimed, as others have them.
	deniedUntil time.Time
}

// RequireLease sets whether attempts at a runner need slots lent by SetLease.
func (b *Balancer) RequireLease(id structs.RunnerID, isRequired bool) {
	if target := b.runners[id]; target != nil && target.lease.isRequired != isRequired {
		target.lease = slotLease{isRequired: isRequired}
	}
}

// SetLease sets how many attempts the router may have at a runner when it begins another one.
func (b *Balancer) SetLease(id structs.RunnerID, slots int) {
	if target := b.runners[id]; target != nil {
		target.lease.slots = slots
	}
}

// DenyLease excludes a runner from LeaseTargets until the given time.
func (b *Balancer) DenyLease(id structs.RunnerID, until time.Time) {
	if target := b.runners[id]; target != nil {
		target.lease.deniedUntil = until
	}
}

// InFlight returns the number of this router's attempts at a runner.
func (b *Balancer) InFlight(id structs.RunnerID) int {
	if target := b.runners[id]; target != nil {
		return target.inFlight
	}
	return 0
}

// RunTime returns the mean time of the latest successful attempts at a runner; 0 if there were none.
func (b *Balancer) RunTime(id structs.RunnerID) time.Duration {
	if target := b.runners[id]; target != nil {
		return target.runTime
	}
	return 0
}

// LeaseTargets returns the runners whose slots should be claimed for the works, in their order: those that would be
// chosen if the router had slots there. It omits works for which there is no such runner.
func (b *Balancer) LeaseTargets(now time.Time, name structs.RowName, works []*Work) []structs.RunnerID {
	var claimed []*runner
	for _, work := range works {
		wanted := b.rows[name].ofVersion(b.options.SubsetSize, work.Version)
		if wanted == nil {
			continue
		}
		unleased := *work
		unleased.forLease = true
		found := b.lookUp(now, wanted, &unleased)
		best := b.pick(now, wanted, &unleased, &found)
		if best == nil && work.Avoid != "" {
			unleased.Avoid = ""
			best = b.pick(now, wanted, &unleased, &found)
		}
		if best == nil {
			continue
		}
		// Counted as in flight for the works that follow.
		best.runner.inFlight++
		claimed = append(claimed, best.runner)
	}
	targets := make([]structs.RunnerID, 0, len(claimed))
	for _, target := range claimed {
		target.inFlight--
		targets = append(targets, target.info.ID)
	}
	return targets
}

// mayClaim reports whether a slot of the runner may be claimed for one more attempt. Load reports do not count: the leader that
// lends the slots knows better.
func (r *runner) mayClaim(now time.Time) bool {
	return r.lease.isRequired && !now.Before(r.lease.deniedUntil) && r.inFlight < r.maxBatch
}

// addRunTime adds the time of a successful attempt.
func (r *runner) addRunTime(took time.Duration) {
	if r.runTime == 0 {
		r.runTime = took
		return
	}
	r.runTime += time.Duration(runTimeWeight * float64(took-r.runTime))
}
