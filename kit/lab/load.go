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

// answerGrace is how long after its deadline a call may get its terminal answer. It
// covers a router tick and the network.
const answerGrace = 2 * time.Second

// retryInterval separates a caller's retries.
const retryInterval = 100 * time.Millisecond

// loadRun makes the planned calls in open loop and distributes them round-robin over the
// routers.
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

// run makes all calls and waits for their results. Once ctx ends it makes no more calls,
// and those in progress continue to their deadlines.
func (l *loadRun) run(ctx context.Context, arrivals []arrival) []Outcome {
	began := time.Now()
	var calls sync.WaitGroup
	for i, next := range arrivals {
		if !pause.For(ctx, time.Until(began.Add(next.after))) {
			break
		}
		planned := began.Add(next.after)
		calls.Go(func() { l.makeCall(context.WithoutCancel(ctx), next, planned, i) })
	}
	calls.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.outcomes
}

// makeCall makes one call. If the transfer fails, it retries at the next router with the
// same idempotency key, if there is one.
func (l *loadRun) makeCall(ctx context.Context, next arrival, planned time.Time, first int) {
	request := next.request
	request.DeadlineAt = planned.Add(next.deadline)
	ctx, cancel := context.WithDeadline(ctx, request.DeadlineAt.Add(answerGrace))
	defer cancel()
	l.begin()
	if next.router > 0 {
		first = next.router - 1
	}
	for try := 0; ; try++ {
		outcome := l.caller.call(ctx, l.routers[(first+try)%len(l.routers)], request)
		outcome.PlannedAt = planned
		l.record(outcome)
		if !shouldRetry(outcome) || !time.Now().Before(request.DeadlineAt) || !pause.For(ctx, retryInterval) {
			l.end(outcome)
			return
		}
	}
}

// shouldRetry reports whether the transfer failed. A retry is then safe: the request is
// repeatable or protected by its idempotency key.
func shouldRetry(outcome Outcome) bool {
	return outcome.NotSent || outcome.Broken
}

func (l *loadRun) record(outcome Outcome) {
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

// lastOutcomes returns the last outcome by request.
func lastOutcomes(outcomes []Outcome) map[structs.RequestID]Outcome {
	last := map[structs.RequestID]Outcome{}
	for _, outcome := range outcomes {
		last[outcome.Request.ID] = outcome
	}
	return last
}
