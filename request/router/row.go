package router

import (
	"time"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// row is the state of a row of the table. Its queue and estimators are allocated only
// while the row is in use.
type row struct {
	structs.Row
	// listed is set while the row is in the table. A removed row is kept until its last
	// request has ended.
	listed bool
	// limit is the number of replicas that this zone may load according to the latest
	// grant, whose sequence number is grantSequence; elsewhere lists the other zones that
	// may load the row.
	limit         int
	grantSequence uint64
	elsewhere     []structs.ZoneID

	queue     *admission.Queue
	estimator *admission.Estimator
	budget    routing.Budget
	// busy tracks how long requests have been waiting.
	busy admission.BusyPeriod
	// firstToken and tokenGap estimate the timeouts for the first and for each later
	// token.
	firstToken admission.TimeoutEstimator
	tokenGap   admission.TimeoutEstimator
	// requestCount counts the requests of the row, running those that occupy a slot.
	requestCount int
	running      int
	// arrivals counts the arrivals since the last demand report of the row.
	arrivals int
	// virtualTime is the number of turns of the row divided by its weight, for fair
	// sharing between rows.
	virtualTime float64
	// offered counts the requests that are offered to other zones.
	offered int
	// warmZone is the zone that last accepted a request of the row; zones in rejectedUntil
	// get no offer of the row before the given time.
	warmZone      structs.ZoneID
	rejectedUntil map[structs.ZoneID]time.Time
	// coldSince is the time of the first demand without a ready replica.
	coldSince time.Time
	// reviewAt is when the waiting requests are next checked against the estimate.
	reviewAt time.Time
}

// localRequests counts the requests to be served by this zone.
func (r *row) localRequests() int { return r.requestCount - r.offered }

func (r *row) waiting() int {
	if r.queue == nil {
		return 0
	}
	return r.queue.Len()
}

// defaultWeight is the weight of a row without one.
const defaultWeight = 100

// chargeTurn advances the virtual time of the row by one turn.
func (r *row) chargeTurn() {
	weight := r.Weight
	if weight <= 0 {
		weight = defaultWeight
	}
	r.virtualTime += defaultWeight / float64(weight)
}

func (r *row) updateBusy(now time.Time) { r.busy.Observe(now, r.waiting() > 0) }

// activate allocates the queue and estimators of the row.
func (c *Core) activate(target *row) {
	if target.estimator == nil {
		target.estimator = admission.NewEstimator(c.options.Estimator)
		target.budget = routing.NewBudget(c.options.RetryRatio, c.options.RetryReserve)
	}
	if target.queue == nil {
		target.queue = admission.NewQueue(admission.Options{
			Limit:         c.options.QueueLimit,
			CallerLimit:   c.options.CallerLimit,
			MaxPassedOver: c.options.MaxPassedOver,
			Weight:        c.options.CallerWeight,
		})
	}
	c.active[target.Name] = target
}

// queueState returns the state of the queue that a new request would find.
func (c *Core) queueState(target *row, request structs.Request) admission.QueueState {
	slots, free := c.balancer.Slots(c.now, target.Name)
	if slots == 0 && c.balancer.Ready(target.Name) > 0 {
		slots = 1
	}
	state := admission.QueueState{
		Slots: slots, Free: free, MaxTokens: request.MaxTokens,
		Now: c.now, Priority: request.Priority,
	}
	if target.queue != nil {
		state.Ahead = target.queue.AheadOf(request.Priority, request.Caller)
	}
	state.BusyFor = target.busy.Duration(c.now)
	if !target.coldSince.IsZero() {
		state.ColdFor = c.now.Sub(target.coldSince)
	}
	return state
}

// recordArrival counts an arrival and starts the cold-load timer if no replica is ready.
func (c *Core) recordArrival(target *row) {
	target.arrivals++
	if target.coldSince.IsZero() && c.balancer.Ready(target.Name) == 0 {
		target.coldSince = c.now
	}
}

// coldObservationFactor bounds the effect of one cold load on the estimate: the time may
// include a long wait for permission to load.
const coldObservationFactor = 4

// recordColdLoad stops the cold-load timer once a replica is ready.
func (c *Core) recordColdLoad(target *row) {
	if target.coldSince.IsZero() || c.balancer.Ready(target.Name) == 0 {
		return
	}
	took := c.now.Sub(target.coldSince)
	target.coldSince = time.Time{}
	if target.estimator != nil {
		target.estimator.ObserveColdLoad(min(took, coldObservationFactor*target.estimator.ColdLoad()))
	}
}
