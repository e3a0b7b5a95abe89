package relay

import (
	"cmp"
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
	// work is what the request needs from a runner, and which runners to avoid.
	work routing.Work
	// ticket determines the position in the queue.
	ticket waiting.Ticket
	// regions limits where the request may be served; nil for anywhere.
	regions *regionLimit
	// until is when the request is abandoned.
	until time.Time
	// mayDefer is set if the request has certainly not run, so that its caller may be told to
	// retry.
	mayDefer bool
	// accepts reports whether a runner may be chosen; nil for any. It is called with the router's mutex held.
	accepts func(structs.RunnerID) bool
	// deferred receives the advice to retry later; it has capacity 1.
	deferred chan *retryLaterError
	// granted receives the choice; it has capacity 1.
	granted chan routing.Choice
	// cachedParts is the estimated number of prompt parts cached at the chosen runner.
	cachedParts int
	entry       fairqueue.Entry[*waiter]
}

// rowState is the router's state of a row, that is, of a service, model and adapter.
type rowState struct {
	arrived int
	// objective is the shortest latency objective of the requests that arrived or wait; 0 for none.
	objective time.Duration
	waiters   fairqueue.Row[*waiter]
	// restricted holds waiters that must avoid a runner that failed or rejected them. They are kept
	// apart so that they do not block other requests of the row.
	restricted fairqueue.Row[*waiter]
	// limited holds waiters that are limited to certain regions or a software version.
	limited map[queueKey]*fairqueue.Row[*waiter]
	// deferredCallers are the callers that were told to retry later.
	deferredCallers []deferredCaller
	forecast        forecast
	active          map[structs.RunnerID]int
	// prompts counts the uncached prompt tokens sent to each runner since the last report.
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

// queueKey names a queue of waiters that only some runners may serve. The fields are empty for no limit.
type queueKey struct {
	regions string
	version string
}

// queueOf returns the queue for a request.
func (s *rowState) queueOf(wanted *waiter) *fairqueue.Row[*waiter] {
	switch {
	case wanted.regions != nil || wanted.work.Version != "":
		return s.limitedQueue(wanted)
	case wanted.work.Avoid != "" || wanted.work.Excluded != "":
		return &s.restricted
	}
	return &s.waiters
}

// limitedQueue returns the queue of the requests with the same limits.
func (s *rowState) limitedQueue(wanted *waiter) *fairqueue.Row[*waiter] {
	key := queueKey{version: wanted.work.Version}
	if wanted.regions != nil {
		key.regions = wanted.regions.name
	}
	if s.limited == nil {
		s.limited = make(map[queueKey]*fairqueue.Row[*waiter])
	}
	if s.limited[key] == nil {
		s.limited[key] = &fairqueue.Row[*waiter]{}
	}
	return s.limited[key]
}

// queues returns all queues of the row.
func (s *rowState) queues() []*fairqueue.Row[*waiter] {
	listed := []*fairqueue.Row[*waiter]{&s.waiters, &s.restricted}
	byKey := func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(a.regions, b.regions), cmp.Compare(a.version, b.version))
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.limited), byKey) {
		listed = append(listed, s.limited[key])
	}
	return listed
}

// waiting returns the number of waiting requests.
func (s *rowState) waiting() int {
	count := 0
	for _, queue := range s.queues() {
		count += queue.Len()
	}
	return count
}

// eachWaiter calls visit for each waiting request. visit must not remove any.
func (s *rowState) eachWaiter(visit func(*fairqueue.Entry[*waiter])) {
	for _, queue := range s.queues() {
		queue.Each(func(entry *fairqueue.Entry[*waiter]) bool {
			visit(entry)
			return true
		})
	}
}

// retryLaterError ends the wait of a request whose caller should retry later.
type retryLaterError struct {
	after  time.Duration
	reason retryReason
}

func (e *retryLaterError) Error() string {
	return string(e.reason) + ": retry after " + e.after.String()
}

// acquire returns a runner that the request may be sent to, waiting for one until ctx ends. The
// choice must be released with release. The error is a retryLaterError if the wait would be futile.
func (r *Router) acquire(ctx context.Context, wanted *waiter) (routing.Choice, error) {
	r.mutex.Lock()
	r.trackModel(wanted.row)
	state := r.rowState(wanted.row)
	if choice, found := r.pickFirst(state, wanted); found {
		r.mutex.Unlock()
		return choice, nil
	}
	if retry := r.deferNow(state, wanted); retry != nil {
		r.mutex.Unlock()
		r.wakeReport()
		return routing.Choice{}, retry
	}
	if len(r.pacedRunners(wanted.row, &wanted.work)) > 0 {
		r.wakeTokens()
	}
	if r.isBrittle(wanted.row.Service) {
		r.wakeSlots()
	}
	r.mutex.Unlock()
	r.wakeReport()
	select {
	case choice := <-wanted.granted:
		return choice, nil
	case retry := <-wanted.deferred:
		return routing.Choice{}, retry
	case <-ctx.Done():
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.queue.Remove(&wanted.entry)
	select {
	case choice := <-wanted.granted:
		r.releaseLocked(wanted.row, choice, routing.OutcomeNeutral)
		r.queue.Charge(r.now(), wanted.ticket.Tenant, -fairqueue.Work(wanted.ticket))
		r.serveWaiters()
	default:
	}
	return routing.Choice{}, context.Cause(ctx)
}

// pickFirst selects a runner for a new request unless others are ahead of it. A request without a
// runner is queued. The caller must hold r.mutex.
func (r *Router) pickFirst(state *rowState, wanted *waiter) (routing.Choice, bool) {
	queue := state.queueOf(wanted)
	if queue.Len() == 0 {
		if choice, found := r.pick(wanted); found {
			r.queue.Charge(r.now(), wanted.ticket.Tenant, fairqueue.Work(wanted.ticket))
			return choice, true
		}
	}
	wanted.granted = make(chan routing.Choice, 1)
	wanted.deferred = make(chan *retryLaterError, 1)
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

// pick selects a runner and counts the attempt. The caller must hold r.mutex.
func (r *Router) pick(wanted *waiter) (routing.Choice, bool) {
	r.expireTokens()
	r.expireLeases()
	at := time.Now()
	choice, found := r.balancer.PickFor(at, rowName(wanted.row), &wanted.work)
	if !found || wanted.accepts != nil && !wanted.accepts(choice.Runner()) {
		return choice, false
	}
	wanted.cachedParts = choice.Cached(wanted.work.Prefixes)
	choice.Sent(at, wanted.work.Prefixes)
	if again := choice.ProbeDelay(at); again > 0 {
		time.AfterFunc(again, r.serveAfterCooldown)
	}
	state := r.rowState(wanted.row)
	state.active[choice.Runner()]++
	state.prompts[choice.Runner()] += choice.UncachedTokens()
	r.prefetchTokens(wanted.row)
	return choice, true
}

// pickStandby chooses the runner to which a stream is copied. The caller must hold r.mutex.
func (r *Router) pickStandby(row residency.Row, wanted *routing.StandbyWork) (routing.Choice, routing.StandbyResult) {
	return r.balancer.PickStandby(time.Now(), rowName(row), wanted)
}

// standbyAt returns the choice of the runner that holds a copy, and false if it may not be asked.
func (r *Router) standbyAt(row residency.Row, runner structs.RunnerID) (routing.Choice, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.balancer.At(time.Now(), rowName(row), runner)
}

// countContinuation counts a continuation at its standby, where the copy becomes the memory of the
// request.
func (r *Router) countContinuation(row residency.Row, choice routing.Choice, copied *streamCopy) {
	r.dropCopy(copied)
	r.countSend(row, choice)
}

// countSend counts a request at a runner that was not chosen from the queue.
func (r *Router) countSend(row residency.Row, choice routing.Choice) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	choice.Sent(time.Now(), nil)
	r.rowState(row).active[choice.Runner()]++
}

// setCooldown excludes a runner from selection for the time left of its cooldown, if any. The caller
// must hold r.mutex.
func (r *Router) setCooldown(instance string, left time.Duration) {
	if left > 0 {
		r.balancer.CoolDown(structs.RunnerID(instance), time.Now().Add(left))
	}
}

// isWanted reports whether the chosen runner still accepts requests. The caller must hold r.mutex.
func (r *Router) isWanted(choice routing.Choice) bool { return choice.AcceptsRequests(time.Now()) }

// cooldownEnd returns when the first eligible runner ends its cooldown, if all of them are
// cooling down. The caller must hold r.mutex.
func (r *Router) cooldownEnd(wanted *waiter) (time.Time, bool) {
	if r.notices.book.IsEmpty() {
		return time.Time{}, false
	}
	at := time.Now()
	until, isCoolingDown := r.balancer.CooldownEnd(at, rowName(wanted.row), &wanted.work)
	return r.now().Add(until.Sub(at)), isCoolingDown
}

// pacedRunners returns the runners that accept the work only for tokens. The caller must hold r.mutex.
func (r *Router) pacedRunners(row residency.Row, work *routing.Work) []structs.RunnerID {
	return r.balancer.Paced(time.Now(), rowName(row), work)
}

// leaseTargets returns the runners whose slots should be claimed for requests of the row. The caller must hold r.mutex.
func (r *Router) leaseTargets(row residency.Row, works []*routing.Work) []structs.RunnerID {
	return r.balancer.LeaseTargets(time.Now(), rowName(row), works)
}

// denyLease has no slots of a runner claimed for the given time. The caller must hold r.mutex.
func (r *Router) denyLease(id structs.RunnerID, wait time.Duration) {
	r.balancer.DenyLease(id, time.Now().Add(wait))
}

// release ends the attempt and serves the queue with the freed capacity.
func (r *Router) release(row residency.Row, choice routing.Choice, outcome routing.Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.releaseLocked(row, choice, outcome)
	if outcome == routing.OutcomeRejected {
		// No other event may signal the end of the runner's cooldown.
		time.AfterFunc(choice.Cooldown(time.Now()), r.serveAfterCooldown)
	}
	r.serveWaiters()
}

// serveAfterCooldown serves the queue after the cooldown of a runner.
func (r *Router) serveAfterCooldown() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.serveWaiters()
}

func (r *Router) releaseLocked(row residency.Row, choice routing.Choice, outcome routing.Outcome) {
	choice.Done(time.Now(), outcome)
	r.noteSlotEnd(choice.Runner())
	state := r.rowState(row)
	state.active[choice.Runner()]--
	if state.active[choice.Runner()] <= 0 {
		delete(state.active, choice.Runner())
	}
}

// serveWaiters assigns runners to waiting requests in order. The caller must hold r.mutex.
func (r *Router) serveWaiters() {
	r.queue.Serve(r.now(), r.grant)
}

// grant assigns a runner to a waiting request and reports whether there was one.
func (r *Router) grant(entry *fairqueue.Entry[*waiter]) bool {
	choice, found := r.pick(entry.Value)
	if found {
		entry.Value.granted <- choice
	}
	return found
}

// refundWork refunds the work charged for an attempt that did not run.
func (r *Router) refundWork(ticket waiting.Ticket) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.queue.Charge(r.now(), ticket.Tenant, -fairqueue.Work(ticket))
}

// takeDemands returns the demand to report and resets the counts.
func (r *Router) takeDemands(at time.Time) []residency.Demand {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var demands []residency.Demand
	for row, state := range r.rows {
		if row.Model == "" {
			// Services without models are not reported, as there is nothing to load.
			state.arrived, state.deferredCallers = 0, nil
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
			// An empty report makes the leader drop the row.
			delete(r.rows, row)
		}
		demands = append(demands, demand)
	}
	return demands
}

// takeActive returns the requests in progress at each runner and the prompt tokens sent there since
// the last call.
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

// countWaiting adds waiting requests and deferred callers to the demand.
func (s *rowState) countWaiting(at time.Time, demand *residency.Demand) {
	s.deferredCallers = slices.DeleteFunc(s.deferredCallers, func(caller deferredCaller) bool { return at.After(caller.until) })
	demand.Waiting = s.waiting() + len(s.deferredCallers)
	demand.Priority = math.MaxInt
	s.eachWaiter(func(entry *fairqueue.Entry[*waiter]) {
		demand.Oldest = max(demand.Oldest, at.Sub(entry.Ticket.Arrived))
		demand.Priority = min(demand.Priority, entry.Ticket.Rank)
		if at := entry.Value.regions; at != nil && demand.Zones == nil {
			demand.Zones = at.zoneNames()
		}
	})
	for _, caller := range s.deferredCallers {
		demand.Oldest = max(demand.Oldest, at.Sub(caller.since))
		demand.Priority = min(demand.Priority, caller.priority)
	}
	if demand.Waiting == 0 {
		demand.Priority = 0
	}
}
