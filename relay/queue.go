package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/residency"
	"github.com/lotusferry/lotusferry/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// waiter is a request that waits for a runner.
type waiter struct {
	row      residency.Row
	prefixes []uint64
	avoid    structs.RunnerID
	priority int
	since    time.Time
	// granted gets the choice; it has room for one.
	granted chan routing.Choice
}

// rowState is what a router counts for a row between two reports.
type rowState struct {
	arrived int
	// objective is the shortest of those that arrived or wait; 0 for none.
	objective time.Duration
	waiters   []*waiter
	active    map[structs.RunnerID]int
}

func (r *Router) rowState(row residency.Row) *rowState {
	state := r.rows[row]
	if state == nil {
		state = &rowState{active: make(map[structs.RunnerID]int)}
		r.rows[row] = state
	}
	return state
}

// acquire returns a runner that may be sent the request now, or waits for one until
// ctx ends. The choice must be given back with release.
func (r *Router) acquire(ctx context.Context, wanted *waiter) (routing.Choice, error) {
	r.mutex.Lock()
	state := r.rowState(wanted.row)
	if choice, found := r.pick(wanted); found {
		r.mutex.Unlock()
		return choice, nil
	}
	wanted.granted = make(chan routing.Choice, 1)
	state.waiters = append(state.waiters, wanted)
	slices.SortStableFunc(state.waiters, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.since.Compare(b.since))
	})
	r.mutex.Unlock()
	r.wakeReport()
	select {
	case choice := <-wanted.granted:
		return choice, nil
	case <-ctx.Done():
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state.waiters = slices.DeleteFunc(state.waiters, func(other *waiter) bool { return other == wanted })
	select {
	case choice := <-wanted.granted:
		r.giveBack(wanted.row, choice, routing.OutcomeNeutral)
	default:
	}
	return routing.Choice{}, context.Cause(ctx)
}

// pick chooses a runner and counts the attempt on it. It runs under the mutex.
func (r *Router) pick(wanted *waiter) (routing.Choice, bool) {
	at := time.Now()
	choice, found := r.balancer.Pick(at, rowName(wanted.row), wanted.prefixes, wanted.avoid)
	if !found {
		return choice, false
	}
	choice.Sent(at, wanted.prefixes)
	r.rowState(wanted.row).active[choice.Runner()]++
	return choice, true
}

// release ends the attempt and lets those that wait have the room.
func (r *Router) release(row residency.Row, choice routing.Choice, outcome routing.Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.giveBack(row, choice, outcome)
	r.serveWaiters()
}

func (r *Router) giveBack(row residency.Row, choice routing.Choice, outcome routing.Outcome) {
	choice.Done(time.Now(), outcome)
	state := r.rowState(row)
	state.active[choice.Runner()]--
	if state.active[choice.Runner()] <= 0 {
		delete(state.active, choice.Runner())
	}
}

// serveWaiters gives runners to those that wait, the most urgent first. It runs under
// the mutex.
func (r *Router) serveWaiters() {
	var waiting []*waiter
	for _, state := range r.rows {
		waiting = append(waiting, state.waiters...)
	}
	slices.SortStableFunc(waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.since.Compare(b.since))
	})
	for _, wanted := range waiting {
		choice, found := r.pick(wanted)
		if !found {
			continue
		}
		state := r.rowState(wanted.row)
		state.waiters = slices.DeleteFunc(state.waiters, func(other *waiter) bool { return other == wanted })
		wanted.granted <- choice
	}
}

// takeDemands lists what is to be reported and begins anew.
func (r *Router) takeDemands(at time.Time) []residency.Demand {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var demands []residency.Demand
	for row, state := range r.rows {
		if row.Model == "" {
			state.arrived = 0
			continue
		}
		demand := residency.Demand{Row: row, Waiting: len(state.waiters), Arrived: state.arrived, Objective: state.objective}
		for _, wanted := range state.waiters {
			demand.Oldest = max(demand.Oldest, at.Sub(wanted.since))
		}
		if len(state.waiters) > 0 {
			demand.Priority = state.waiters[0].priority
		}
		for runner, count := range state.active {
			demand.Active = append(demand.Active, residency.ActiveCount{Instance: string(runner), Count: count})
		}
		state.arrived = 0
		if demand.Waiting == 0 {
			state.objective = 0
		}
		if demand.Waiting == 0 && demand.Arrived == 0 && len(demand.Active) == 0 {
			// The leader forgets what it was told once this empty report has come.
			delete(r.rows, row)
		}
		demands = append(demands, demand)
	}
	return demands
}
