package router

import (
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// row is a row of the table with what the router knows about it. The parts that
// cost memory exist only while the row is in use.
type row struct {
	structs.Row
	// listed says that the row is in the table; a removed row lives on until its
	// last request has ended.
	listed bool
	// limit is how many replicas this zone may load, as the newest grant says, whose
	// number is grantSequence; elsewhere are the other zones that may load the row.
	limit         int
	grantSequence uint64
	elsewhere     []structs.ZoneID

	queue     *admission.Queue
	estimator *admission.Estimator
	budget    routing.Budget
	// rush tracks how long requests have had to wait.
	rush admission.BusyPeriod
	// first and gap track the wait for the first token and for each next one.
	first admission.TimeoutEstimator
	gap   admission.TimeoutEstimator
	// held counts the row's requests, running those that occupy a slot.
	held    int
	running int
	// arrived counts the arrivals since the row's demand was last reported.
	arrived int
	// turns counts the row's turns, for the fairness between rows; a turn counts for
	// less the higher the row's weight is.
	turns float64
	// offered counts, of held, the requests that other zones are asked to take.
	offered int
	// warmZone last took a request of the row; those in refusedUntil get no offer
	// of it before the time.
	warmZone     structs.ZoneID
	refusedUntil map[structs.ZoneID]time.Time
	// awaitedSince is when the row was first wanted without a ready replica.
	awaitedSince time.Time
	// reviewAt is when the waiting requests are next checked against the estimate.
	reviewAt time.Time
}

// wanting counts the requests that want to be served by this zone.
func (r *row) wanting() int { return r.held - r.offered }

func (r *row) waiting() int {
	if r.queue == nil {
		return 0
	}
	return r.queue.Len()
}

// usualWeight is the weight of a row whose turns count once.
const usualWeight = 100

// countTurn counts a turn by the row's weight; a row without one has the usual weight.
func (r *row) countTurn() {
	weight := r.Weight
	if weight <= 0 {
		weight = usualWeight
	}
	r.turns += usualWeight / float64(weight)
}

// noteWaiting tells the row's rush whether requests wait from now on.
func (r *row) noteWaiting(now time.Time) { r.rush.Observe(now, r.waiting() > 0) }

// activate gives the row its queue and estimator.
func (c *Core) activate(wanted *row) {
	if wanted.estimator == nil {
		wanted.estimator = admission.NewEstimator(c.options.Estimator)
		wanted.budget = routing.NewBudget(c.options.RetryRatio, c.options.RetryReserve)
	}
	if wanted.queue == nil {
		wanted.queue = admission.NewQueue(admission.Options{
			Limit:       c.options.QueueLimit,
			CallerLimit: c.options.CallerLimit,
			GuardAfter:  c.options.GuardAfter,
			Weight:      c.options.CallerWeight,
		})
	}
	c.active[wanted.Name] = wanted
}

// situation describes what the request would find in the row.
func (c *Core) situation(wanted *row, request structs.Request) admission.QueueState {
	slots, free := c.balancer.Slots(c.now, wanted.Name)
	if slots == 0 && c.balancer.Ready(wanted.Name) > 0 {
		slots = 1
	}
	situation := admission.QueueState{
		Slots: slots, Free: free, MaxTokens: request.MaxTokens,
		Now: c.now, Priority: request.Priority,
	}
	if wanted.queue != nil {
		situation.Ahead = wanted.queue.AheadOf(request.Priority, request.Caller)
	}
	situation.BusyFor = wanted.rush.Duration(c.now)
	if !wanted.awaitedSince.IsZero() {
		situation.ColdFor = c.now.Sub(wanted.awaitedSince)
	}
	return situation
}

// noteDemand starts the clock of a cold load when no replica is ready.
func (c *Core) noteDemand(wanted *row) {
	wanted.arrived++
	if wanted.awaitedSince.IsZero() && c.balancer.Ready(wanted.Name) == 0 {
		wanted.awaitedSince = c.now
	}
}

// coldObservationFactor bounds what one cold load can do to the estimate: a row
// that was refused replicas for hours says nothing about how long a load takes.
const coldObservationFactor = 4

// noteReady ends the clock of a cold load.
func (c *Core) noteReady(wanted *row) {
	if wanted.awaitedSince.IsZero() || c.balancer.Ready(wanted.Name) == 0 {
		return
	}
	took := c.now.Sub(wanted.awaitedSince)
	wanted.awaitedSince = time.Time{}
	if wanted.estimator != nil {
		wanted.estimator.ObserveColdLoad(min(took, coldObservationFactor*wanted.estimator.ColdLoad()))
	}
}
