package relay

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/request/fairqueue"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/request/waiting"
	"github.com/lotusferry/lotusferry/structs"
)

// waiter is a request that waits for a runner.
type waiter struct {
	row residency.Row
	// work is what the request asks of a runner, and which runners it should not get.
	work routing.Work
	// ticket decides its place among those that wait.
	ticket waiting.Ticket
	// home is where the request may be served; nil for anywhere.
	home *home
	// until is when it is given up if there is no runner for it.
	until time.Time
	// mayDefer is set if the request has certainly not run, so that its caller may be told
	// to come back.
	mayDefer bool
	// deferred gets when and why the caller should come back; it has room for one.
	deferred chan *comeBackError
	// granted gets the choice; it has room for one.
	granted chan routing.Choice
	// cachedParts is how many parts of the prompt the chosen runner probably keeps.
	cachedParts int
	entry       fairqueue.Entry[*waiter]
}

// rowState is what a router counts for a row between two reports.
type rowState struct {
	arrived int
	// objective is the shortest of those that arrived or wait; 0 for none.
	objective time.Duration
	waiters   fairqueue.Row[*waiter]
	// restricted holds the waiters that should not have the room of one of the runners, as it has failed them
	// or turned them away: others of the row may be served there all the same.
	restricted fairqueue.Row[*waiter]
	// homes holds the waiters that may be served in some regions alone, by these.
	homes map[string]*fairqueue.Row[*waiter]
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

// queueOf is where a request waits.
func (s *rowState) queueOf(wanted *waiter) *fairqueue.Row[*waiter] {
	switch {
	case wanted.home != nil:
		return s.queueAt(wanted.home)
	case wanted.work.Avoid != "" || wanted.work.Barred != "":
		return &s.restricted
	}
	return &s.waiters
}

// queueAt is where requests wait that may be served in some regions alone.
func (s *rowState) queueAt(at *home) *fairqueue.Row[*waiter] {
	if s.homes == nil {
		s.homes = make(map[string]*fairqueue.Row[*waiter])
	}
	if s.homes[at.name] == nil {
		s.homes[at.name] = &fairqueue.Row[*waiter]{}
	}
	return s.homes[at.name]
}

// queues lists where requests wait.
func (s *rowState) queues() []*fairqueue.Row[*waiter] {
	listed := []*fairqueue.Row[*waiter]{&s.waiters, &s.restricted}
	for _, name := range slices.Sorted(maps.Keys(s.homes)) {
		listed = append(listed, s.homes[name])
	}
	return listed
}

// waiting counts the requests that wait.
func (s *rowState) waiting() int {
	count := 0
	for _, queue := range s.queues() {
		count += queue.Len()
	}
	return count
}

// eachWaiter calls visit for all requests that wait. None must be removed meanwhile.
func (s *rowState) eachWaiter(visit func(*fairqueue.Entry[*waiter])) {
	for _, queue := range s.queues() {
		queue.Each(func(entry *fairqueue.Entry[*waiter]) bool {
			visit(entry)
			return true
		})
	}
}

// comeBackError ends the wait of a request whose caller should come back.
type comeBackError struct {
	after  time.Duration
	reason comeBackReason
}

func (e *comeBackError) Error() string {
	return string(e.reason) + ": the caller should come back in " + e.after.String()
}

// acquire returns a runner that may be sent the request now, or waits for one until
// ctx ends. The choice must be given back with release. The error is a comeBackError if
// waiting is of no use.
func (r *Router) acquire(ctx context.Context, wanted *waiter) (routing.Choice, error) {
	r.mutex.Lock()
	r.track(wanted.row)
	state := r.rowState(wanted.row)
	if choice, found := r.pickFirst(state, wanted); found {
		r.mutex.Unlock()
		return choice, nil
	}
	if comeBack := r.deferNow(state, wanted); comeBack != nil {
		r.mutex.Unlock()
		r.wakeReport()
		return routing.Choice{}, comeBack
	}
	if len(r.pacedRunners(wanted.row)) > 0 {
		r.wakeTokens()
	}
	r.mutex.Unlock()
	r.wakeReport()
	select {
	case choice := <-wanted.granted:
		return choice, nil
	case comeBack := <-wanted.deferred:
		return routing.Choice{}, comeBack
	case <-ctx.Done():
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.queue.Remove(&wanted.entry)
	select {
	case choice := <-wanted.granted:
		r.giveBack(wanted.row, choice, routing.OutcomeNeutral)
		r.queue.Charge(r.now(), wanted.ticket.Tenant, -fairqueue.Work(wanted.ticket))
		r.serveWaiters()
	default:
	}
	return routing.Choice{}, context.Cause(ctx)
}

// pickFirst chooses a runner for a request that has just come, unless others go before it. A
// request without one is among those that wait then. It runs under the mutex.
func (r *Router) pickFirst(state *rowState, wanted *waiter) (routing.Choice, bool) {
	queue := state.queueOf(wanted)
	if queue.Len() == 0 {
		if choice, found := r.pick(wanted); found {
			r.queue.Charge(r.now(), wanted.ticket.Tenant, fairqueue.Work(wanted.ticket))
			return choice, true
		}
	}
	wanted.granted = make(chan routing.Choice, 1)
	wanted.deferred = make(chan *comeBackError, 1)
	wanted.entry = fairqueue.Entry[*waiter]{Ticket: wanted.ticket, Value: wanted}
	r.queue.Push(r.now(), queue, &wanted.entry)
	if queue.Len() > 1 {
		r.queue.ServeRow(r.now(), queue, r.grant)
	}
	select {
	case choice := <-wanted.granted:
		return choice, true
	default:
		return routing.Choice{}, false
	}
}

// pick chooses a runner and counts the attempt on it. It runs under the mutex.
func (r *Router) pick(wanted *waiter) (routing.Choice, bool) {
	r.expireTokens()
	at := time.Now()
	choice, found := r.balancer.PickFor(at, rowName(wanted.row), &wanted.work)
	if !found {
		return choice, false
	}
	wanted.cachedParts = choice.Cached(wanted.work.Prefixes)
	choice.Sent(at, wanted.work.Prefixes)
	if again := choice.NextTry(at); again > 0 {
		time.AfterFunc(again, r.serveRested)
	}
	state := r.rowState(wanted.row)
	state.active[choice.Runner()]++
	state.prompts[choice.Runner()] += choice.Unread()
	r.wantAhead(wanted.row)
	return choice, true
}

// rest takes a runner out of the choice for a time, if that is not over. It runs under the mutex.
func (r *Router) rest(instance string, left time.Duration) {
	if left > 0 {
		r.balancer.Rest(structs.RunnerID(instance), time.Now().Add(left))
	}
}

// isWanted reports whether the chosen runner still wants requests. It runs under the mutex.
func (r *Router) isWanted(choice routing.Choice) bool { return choice.IsWanted(time.Now()) }

// restsUntil is when the first of the runners that may have a request takes some again, if all of them rest. It runs under
// the mutex.
func (r *Router) restsUntil(wanted *waiter) (time.Time, bool) {
	if r.notices.book.IsEmpty() {
		return time.Time{}, false
	}
	at := time.Now()
	until, isResting := r.balancer.RestsUntil(at, rowName(wanted.row), &wanted.work)
	return r.now().Add(until.Sub(at)), isResting
}

// pacedRunners lists the paced runners that requests of the row could get with tokens. It runs under the mutex.
func (r *Router) pacedRunners(row residency.Row) []structs.RunnerID {
	return r.balancer.Paced(time.Now(), rowName(row))
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

// serveWaiters gives runners to those that wait, in their order. It runs under the mutex.
func (r *Router) serveWaiters() {
	r.queue.Serve(r.now(), r.grant)
}

// grant gives a runner to a request that waits, if there is one.
func (r *Router) grant(entry *fairqueue.Entry[*waiter]) bool {
	choice, found := r.pick(entry.Value)
	if found {
		entry.Value.granted <- choice
	}
	return found
}

// notServed gives back the work that was counted for an attempt that no runner has run.
func (r *Router) notServed(ticket waiting.Ticket) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.queue.Charge(r.now(), ticket.Tenant, -fairqueue.Work(ticket))
}

// takeDemands lists what is to be reported and begins anew.
func (r *Router) takeDemands(at time.Time) []residency.Demand {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var demands []residency.Demand
	for row, state := range r.rows {
		if row.Model == "" {
			// Nobody loads anything for it, so that nothing is told.
			state.arrived, state.absentees = 0, nil
			clear(state.prompts)
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
	demand.Waiting = s.waiting() + len(s.absentees)
	demand.Priority = math.MaxInt
	s.eachWaiter(func(entry *fairqueue.Entry[*waiter]) {
		demand.Oldest = max(demand.Oldest, at.Sub(entry.Ticket.Arrived))
		demand.Priority = min(demand.Priority, entry.Ticket.Rank)
		if at := entry.Value.home; at != nil && demand.Zones == nil {
			demand.Zones = at.listZones()
		}
	})
	for _, caller := range s.absentees {
		demand.Oldest = max(demand.Oldest, at.Sub(caller.since))
		demand.Priority = min(demand.Priority, caller.priority)
	}
	if demand.Waiting == 0 {
		demand.Priority = 0
	}
}
