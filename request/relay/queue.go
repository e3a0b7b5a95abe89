package relay

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// waiter is a request that waits for a runner.
type waiter struct {
	row residency.Row
	// work is what the request asks of a runner, and which runners it should not get.
	work     routing.Work
	priority int
	since    time.Time
	// deadline is that of the request, and until is when it is given up if there is no runner
	// for it.
	deadline time.Time
	until    time.Time
	// mayDefer is set if the request has certainly not run, so that its caller may be told
	// to come back.
	mayDefer bool
	// deferred gets after how long the caller should come back; it has room for one.
	deferred chan time.Duration
	// granted gets the choice; it has room for one.
	granted chan routing.Choice
	// cachedParts is how many parts of the prompt the chosen runner probably keeps.
	cachedParts int
}

// rowState is what a router counts for a row between two reports.
type rowState struct {
	arrived int
	// objective is the shortest of those that arrived or wait; 0 for none.
	objective time.Duration
	waiters   []*waiter
	// absentees are callers that were told to come back.
	absentees []absentee
	forecast  forecast
	active    map[structs.RunnerID]int
	// prompts are the tokens of prompts to be read that were sent since the last report.
	prompts map[structs.RunnerID]int64
}

func (r *Router) rowState(row residency.Row) *rowState {
	state := r.rows[row]
	if state == nil {
		state = &rowState{active: make(map[structs.RunnerID]int), prompts: make(map[structs.RunnerID]int64)}
		r.rows[row] = state
	}
	return state
}

// comeBackError ends the wait of a request whose caller should come back.
type comeBackError struct{ after time.Duration }

func (e *comeBackError) Error() string { return "the caller should come back in " + e.after.String() }

// acquire returns a runner that may be sent the request now, or waits for one until
// ctx ends. The choice must be given back with release. The error is a comeBackError if
// waiting is of no use.
func (r *Router) acquire(ctx context.Context, wanted *waiter) (routing.Choice, error) {
	r.mutex.Lock()
	state := r.rowState(wanted.row)
	if choice, found := r.pick(wanted); found {
		r.mutex.Unlock()
		return choice, nil
	}
	if after, isDeferred := r.deferNow(state, wanted); isDeferred {
		r.mutex.Unlock()
		r.wakeReport()
		return routing.Choice{}, &comeBackError{after}
	}
	wanted.granted = make(chan routing.Choice, 1)
	wanted.deferred = make(chan time.Duration, 1)
	state.waiters = append(state.waiters, wanted)
	slices.SortStableFunc(state.waiters, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.since.Compare(b.since))
	})
	r.mutex.Unlock()
	r.wakeReport()
	select {
	case choice := <-wanted.granted:
		return choice, nil
	case after := <-wanted.deferred:
		return routing.Choice{}, &comeBackError{after}
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
	choice, found := r.balancer.PickFor(at, rowName(wanted.row), &wanted.work)
	if !found {
		return choice, false
	}
	wanted.cachedParts = choice.Cached(wanted.work.Prefixes)
	choice.Sent(at, wanted.work.Prefixes)
	state := r.rowState(wanted.row)
	state.active[choice.Runner()]++
	state.prompts[choice.Runner()] += choice.Unread()
	return choice, true
}

// release ends the attempt and lets those that wait have the room.
func (r *Router) release(row residency.Row, choice routing.Choice, outcome routing.Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.giveBack(row, choice, outcome)
	if outcome == routing.OutcomeTurnedAway {
		// Nothing else may tell those that wait that the runner takes requests again.
		time.AfterFunc(choice.Rest(time.Now()), r.serveRested)
	}
	r.serveWaiters()
}

// serveRested gives those that wait a runner that takes requests again.
func (r *Router) serveRested() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
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
		demand := residency.Demand{Row: row, Arrived: state.arrived, Objective: state.objective}
		state.countWaiting(at, &demand)
		demand.Active = state.takeActive()
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

// takeActive lists the requests at runners, and the tokens that were sent there since the last
// list.
func (s *rowState) takeActive() []residency.ActiveCount {
	var listed []residency.ActiveCount
	for runner, count := range s.active {
		listed = append(listed, residency.ActiveCount{Instance: string(runner), Count: count, Prompt: s.prompts[runner]})
	}
	for runner, tokens := range s.prompts {
		if s.active[runner] == 0 {
			listed = append(listed, residency.ActiveCount{Instance: string(runner), Prompt: tokens})
		}
	}
	clear(s.prompts)
	return listed
}

// countWaiting adds those that wait to the demand, callers that are to come back included.
func (s *rowState) countWaiting(at time.Time, demand *residency.Demand) {
	s.absentees = slices.DeleteFunc(s.absentees, func(caller absentee) bool { return at.After(caller.until) })
	demand.Waiting = len(s.waiters) + len(s.absentees)
	demand.Priority = math.MaxInt
	for _, wanted := range s.waiters {
		demand.Oldest = max(demand.Oldest, at.Sub(wanted.since))
		demand.Priority = min(demand.Priority, wanted.priority)
	}
	for _, caller := range s.absentees {
		demand.Oldest = max(demand.Oldest, at.Sub(caller.since))
		demand.Priority = min(demand.Priority, caller.priority)
	}
	if demand.Waiting == 0 {
		demand.Priority = 0
	}
}
