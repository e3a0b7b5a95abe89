package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/structs"
)

// MaximumCalls bounds the calls of one run of the load tool, which all are planned
// and kept in memory.
const MaximumCalls = 200_000

// longestWait bounds the deadlines of replayed calls: batch work may be recorded
// with hours, for which a run of the load tool does not wait.
const longestWait = 2 * time.Minute

// Plan is the calls of a run, each with its time, planned before the run.
type Plan struct {
	arrivals []arrival
}

// Calls returns the number of planned calls.
func (p Plan) Calls() int { return len(p.arrivals) }

// PlanSite plans calls of the site's rows: Poisson arrivals at rate a second.
func PlanSite(site Site, rate float64, duration time.Duration, seed uint64) (Plan, error) {
	if rate <= 0 || duration <= 0 || rate*duration.Seconds() > MaximumCalls {
		return Plan{}, structs.NewError(structs.ErrorInvalid, fmt.Sprintf("%g calls a second for %v is not a run", rate, duration),
			fmt.Sprintf("Choose a rate and a time above 0 with at most %d calls in all.", MaximumCalls))
	}
	return Plan{planArrivals(site.Rows, rate, duration, seed)}, nil
}

// Replay says which part of a trace is replayed, and how fast.
type Replay struct {
	// From is where in the trace the replay begins; Duration is how long it lasts in
	// real time, 0 for the whole rest.
	From     time.Duration
	Duration time.Duration
	// Speed is trace time a real time, 1 for the recorded times.
	Speed float64
	Seed  uint64
}

// PlanTrace plans the calls of a recorded trace at their recorded times. Calls go
// to the recorded router when there are as many targets as the shape has routers.
func PlanTrace(trace []workload.Arrival, shape workload.Shape, targets int, replay Replay) (Plan, error) {
	if replay.Speed <= 0 {
		return Plan{}, structs.NewError(structs.ErrorInvalid, "a trace cannot be replayed at this speed", "Give a speed above 0.")
	}
	random := rand.New(rand.NewPCG(replay.Seed, 4))
	firstRouter := map[structs.ZoneID]int{}
	for i, zone := range shape.Zones {
		firstRouter[zone] = 1 + i*shape.RoutersPerZone
	}
	var plan Plan
	for _, recorded := range trace {
		after := time.Duration(float64(recorded.At-replay.From) / replay.Speed)
		if after < 0 || (replay.Duration > 0 && after >= replay.Duration) {
			continue
		}
		next := newArrival(random, after, recorded.Row, requestClass{
			priority: recorded.Priority, deadline: min(recorded.Deadline, longestWait), tokens: recorded.OutputTokens, words: recorded.PromptTokens,
		})
		if targets == len(shape.Zones)*shape.RoutersPerZone {
			next.router = firstRouter[recorded.Zone] + recorded.Router
		}
		plan.arrivals = append(plan.arrivals, next)
	}
	if len(plan.arrivals) == 0 || len(plan.arrivals) > MaximumCalls {
		return Plan{}, structs.NewError(structs.ErrorInvalid, fmt.Sprintf("this part of the trace has %d calls", len(plan.arrivals)),
			fmt.Sprintf("Choose a part with 1 to %d calls by --from and --for.", MaximumCalls))
	}
	return plan, nil
}
