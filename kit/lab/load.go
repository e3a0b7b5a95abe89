package lab

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// answerBound is how long after its deadline a call may get its terminal answer:
// the time of a router's tick and of the way back.
const answerBound = 2 * time.Second

// retryWait separates a caller's tries after a router could not be reached.
const retryWait = 100 * time.Millisecond

// loadRun makes the planned calls, each at its time whatever became of the
// earlier ones, spread over the routers in turn.
type loadRun struct {
	caller  caller
	routers []target

	mutex    sync.Mutex
	outcomes []Outcome
	counts   loadCounts
}

func newLoadRun(routers []target) *loadRun {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &loadRun{
		caller:  caller{client: api.NewClient(&http.Client{Transport: transport})},
		routers: routers,
		counts:  loadCounts{firstToken: newLatencies()},
	}
}

// run makes all calls and waits for their ends. Once ctx ends no more calls are
// made, and those that are open go on to their deadlines.
func (l *loadRun) run(ctx context.Context, arrivals []arrival) []Outcome {
	began := time.Now()
	var calls sync.WaitGroup
	for i, next := range arrivals {
		if !pause.For(ctx, time.Until(began.Add(next.after))) {
			break
		}
		planned := began.Add(next.after)
		calls.Go(func() { l.make(context.WithoutCancel(ctx), next, planned, i) })
	}
	calls.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.outcomes
}

// make makes one call as a member's client would: when a router cannot be
// reached, or its answer breaks off before it began, it asks the next router,
// with the same key if there is one.
func (l *loadRun) make(ctx context.Context, next arrival, planned time.Time, first int) {
	request := next.request
	request.DeadlineAt = planned.Add(next.deadline)
	ctx, cancel := context.WithDeadline(ctx, request.DeadlineAt.Add(answerBound))
	defer cancel()
	l.begin()
	if next.router > 0 {
		first = next.router - 1
	}
	for try := 0; ; try++ {
		outcome := l.caller.call(ctx, l.routers[(first+try)%len(l.routers)], request)
		outcome.PlannedAt = planned
		l.keep(outcome)
		if !shouldRetry(outcome) || !time.Now().Before(request.DeadlineAt) || !pause.For(ctx, retryWait) {
			l.end(outcome)
			return
		}
	}
}

// shouldRetry reports whether the transfer failed and asking again is safe: a
// repeatable call may run again, and a key protects the others.
func shouldRetry(outcome Outcome) bool {
	return outcome.NotSent || outcome.Broken
}

func (l *loadRun) keep(outcome Outcome) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outcomes = append(l.outcomes, outcome)
}

func (l *loadRun) begin() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.sent++
}

func (l *loadRun) end(last Outcome) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.end(last)
}

// lastOutcomes returns the last outcome of each request.
func lastOutcomes(outcomes []Outcome) map[structs.RequestID]Outcome {
	last := map[structs.RequestID]Outcome{}
	for _, outcome := range outcomes {
		last[outcome.Request.ID] = outcome
	}
	return last
}
