package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/structs"
)

// MaximumCalls limits the calls of one load tool run, which are planned in memory.
const MaximumCalls = 200_000

// longestWait limits the deadlines of replayed calls, since recorded batch work may have
// deadlines of hours.
const longestWait = 2 * time.Minute

// Plan is the planned calls of a run with their times.
type Plan struct {
	arrivals []arrival
}

// Calls returns the number of planned calls.
func (p Plan) Calls() int { return len(p.arrivals) }

// PlanSite plans calls of the site's rows as Poisson arrivals at rate per second.
func PlanSite(site Site, rate float64, duration time.Duration, seed uint64) (Plan, error) {
	if rate <= 0 || duration <= 0 || rate*duration.Seconds() > MaximumCalls {
		return Plan{}, structs.NewError(structs.ErrorInvalid, fmt.Sprintf("%g calls per second for %v is not a valid run", rate, duration),
			fmt.Sprintf("Choose a positive rate and duration with at most %d calls in total.", MaximumCalls))
	}
	return Plan{planArrivals(site.Rows, rate, duration, seed)}, nil
}

// Replay selects the part of a trace to replay, and the speed.
type Replay struct {
	// From is the start of the replay within the trace; Duration is its length in real
	// time, 0 for the rest of the trace.
	From     time.Duration
	Duration time.Duration
	// Speed is the ratio of trace time to real time; 1 replays at the recorded times.
	Speed float64
	Seed  uint64
}

// PlanTrace plans the calls of a recorded trace at their recorded times. Calls go to
// their recorded routers if there are as many targets as routers in the shape.
func PlanTrace(trace []workload.Arrival, shape workload.Shape, targets int, replay Replay) (Plan, error) {
	if replay.Speed <= 0 {
		return Plan{}, structs.NewError(structs.ErrorInvalid, "the replay speed is not positive", "Give a speed above 0.")
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
