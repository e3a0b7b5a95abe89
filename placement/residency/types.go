package residency

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// Operation is the action that an order asks for.
type Operation uint8

const (
	Load Operation = iota + 1
	Unload
)

// String returns the name used in logs.
func (o Operation) String() string {
	if o == Load {
		return "load"
	}
	return "unload"
}

// Order asks a runner to load or unload a model, or an adapter of a loaded model.
type Order struct {
	Instance  string
	Address   string
	Operation Operation
	Model     string
	// Adapter is empty for an order about the model itself.
	Adapter string
	// Expected is the number of orders that the runner has taken before this one.
	Expected uint64
}

// Outcome is the result of an order.
type Outcome uint8

const (
	// OutcomeAccepted: the runner executes the order.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeHeld: the runner is already in the requested state.
	OutcomeHeld
	// OutcomeConflict: another order is in progress, or Expected doesn't match. This order is not
	// executed.
	OutcomeConflict
	// OutcomeRejected: the runner has rejected the order for good.
	OutcomeRejected
	// OutcomeGone: another runner answered at the address.
	OutcomeGone
	// OutcomeUnknown: no answer arrived; the order may still be executed.
	OutcomeUnknown
	// OutcomeNotSent: the leadership had ended, so that no byte of the order was sent.
	OutcomeNotSent
)

// String returns the name used in logs.
func (o Outcome) String() string {
	names := [...]string{"", "accepted", "held", "conflict", "refused", "gone", "unknown", "not_sent"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// Report is the state that a runner reports when polled. It is some hundred milliseconds old.
type Report struct {
	Models []fleet.LoadedModel
	// Pending lists adapters that are being loaded, by model.
	Pending []fleet.LoadedModel
	// Busy is set while an order is executed.
	Busy bool
	// Taken is the number of orders that the runner has taken.
	Taken  uint64
	Queued int
	Active int
}

// Row identifies what a request needs: a model of a service, and an adapter of the model or "".
type Row struct {
	Service string
	Model   string
	Adapter string
}

// Demand is the demand for a row at one router since its last report.
type Demand struct {
	Row Row
	// Waiting is the number of requests for which no runner is available.
	Waiting int
	// Oldest is the waiting time of the oldest of them.
	Oldest time.Duration
	// Priority is the priority of the most urgent waiting request; 0 is the most urgent.
	Priority int
	// Zones lists the zones of the runners that one of the waiting requests may use; nil if all may
	// use any.
	Zones []string
	// Objective is the shortest objective for the time to the first event among the requests that
	// arrived or wait; 0 if there is none.
	Objective time.Duration
	// Arrived is the number of requests that arrived.
	Arrived int
	// Active lists the requests at runners.
	Active []ActiveCount
}

// ActiveCount is the number of requests of a row that a router has at a runner.
type ActiveCount struct {
	Instance string
	Count    int
	// Prompt is the number of prompt tokens that the router has sent there since its last report,
	// except for those probably in the runner's cache.
	Prompt int64
}

// EndedLoad is a load of a model that has ended.
type EndedLoad struct {
	Service  string
	Instance string
	Model    string
	// FromStore is set if the model came from the weight store, not from a copy.
	FromStore bool
	// Took is the time from the order until the model was known to be ready, and Expected the time
	// expected when it was ordered.
	Took     time.Duration
	Expected time.Duration
}

// Pace is what a router observed of a stream at the first runner that it was sent to.
type Pace struct {
	Service  string
	Model    string
	Instance string
	// Gap is the median time between two events; 0 if there were too few, or if an earlier Pace of
	// the stream reported it.
	Gap time.Duration
	// Paused is set if a gap exceeded the maximum pause of the route.
	Paused bool
	// IsUnderWay is set if the stream has not ended: Paused, IsLate and Events are not set yet.
	// Leaders of earlier versions take it for a stream without pauses.
	IsUnderWay bool
	// First is the time from sending the request to the first event; 0 if there was none.
	First time.Duration
	// IsLate is set if First exceeds the objective.
	IsLate bool
	// Prompt is the number of prompt tokens that the runner had to read, as far as the router
	// knows.
	Prompt int64
	// Events is the number of events of a completed stream.
	Events int
}
