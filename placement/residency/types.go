package residency

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// Operation is what an order asks of a runner.
type Operation uint8

// The operations.
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

// Outcome is how a runner answered an order.
type Outcome uint8

// The outcomes.
const (
	// OutcomeAccepted: the runner executes the order.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeHeld: what was asked for is so already.
	OutcomeHeld
	// OutcomeConflict: another order is under way, or Expected does not hold. This
	// order is not executed.
	OutcomeConflict
	// OutcomeRefused: the runner does not take the order and never will.
	OutcomeRefused
	// OutcomeGone: another runner is at the address.
	OutcomeGone
	// OutcomeUnknown: no answer came; the order may be executed later.
	OutcomeUnknown
)

// String returns the name used in logs.
func (o Outcome) String() string {
	names := [...]string{"", "accepted", "held", "conflict", "refused", "gone", "unknown"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// Report is what a runner says of itself when it is asked. It shows the state of
// some hundred milliseconds before.
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

// Row names what a request needs: a model of a service, and an adapter of it or "".
type Row struct {
	Service string
	Model   string
	Adapter string
}

// Demand is what one router saw of a row since its last report.
type Demand struct {
	Row Row
	// Waiting requests have no runner that could execute them.
	Waiting int
	// Oldest is how long the oldest of them has waited.
	Oldest time.Duration
	// Priority is that of the most urgent waiting request; 0 is the most urgent.
	Priority int
	// Zones are those of the runners that one of the waiting requests may have; nil if all may have any.
	Zones []string
	// Objective is the shortest time to the first event that one of the requests that
	// came or wait should see; 0 if none did.
	Objective time.Duration
	// Arrived counts the requests that came.
	Arrived int
	// Active counts the requests at runners.
	Active []ActiveCount
}

// ActiveCount is the number of requests of a row that a router has at a runner.
type ActiveCount struct {
	Instance string
	Count    int
	// Prompt is how many prompt tokens, without those that the runner probably has in its
	// cache, the router has sent there since its last report.
	Prompt int64
}

// EndedLoad is a load of a model that has ended.
type EndedLoad struct {
	Service  string
	Instance string
	Model    string
	// FromStore is set if the model came from the weight store, not from a copy.
	FromStore bool
	// Took is the time from the order to the news that the model is ready, Expected what
	// was expected when it was ordered.
	Took     time.Duration
	Expected time.Duration
}

// Pace is what a router saw of a stream at a runner that it was sent to first.
type Pace struct {
	Service  string
	Model    string
	Instance string
	// Gap is the median of the times between two events; 0 if there were too few to
	// tell, or if an earlier Pace of the stream told it.
	Gap time.Duration
	// Paused is set if one of them was longer than the route allows.
	Paused bool
	// IsUnderWay is set if the stream goes on: Paused, IsLate and Events say nothing yet. A
	// leader of a version before takes it for one that did not pause.
	IsUnderWay bool
	// First is the time from sending the request to the first event; 0 for none.
	First time.Duration
	// IsLate is set if that is longer than the objective.
	IsLate bool
	// Prompt is how many tokens of the prompt the runner had to read as far as the router
	// knows.
	Prompt int64
	// Events is how many events a stream had that came whole.
	Events int
}
