package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// Live requests arrive one per stepInterval, as fast as they complete, after
// initialBacklog requests at the start.
const (
	stepInterval   = 100 * time.Millisecond
	serviceTime    = 4 * stepInterval
	initialBacklog = 8
	// batchCount batch requests arrive at batchArrivesAt with a deadline after
	// deadlineAfter.
	batchCount     = 20
	batchArrivesAt = 8 * time.Second
	deadlineAfter  = 30 * time.Second
)

// loadSimulation drives a router with live requests at its capacity until the given time.
type loadSimulation struct {
	*script
	until    time.Duration
	running  map[time.Duration][]AttemptID
	ended    map[structs.RequestID]time.Duration
	rejected map[structs.RequestID]bool
}

// step processes all events due at the given time.
func (r *loadSimulation) step(at time.Duration) {
	r.now = testStart.Add(at)
	for _, attempt := range r.running[at] {
		last := structs.Token{ID: structs.RequestID(attempt), Finish: structs.FinishStop}
		r.apply(at, r.do(TokenReceived{Attempt: attempt, Token: last}))
	}
	r.apply(at, r.do(Tick{}))
	live, batch := 1, 0
	switch {
	case at == 0:
		live = initialBacklog
	case at >= r.until:
		live = 0
	}
	if at == batchArrivesAt {
		batch = batchCount
	}
	for number := range live {
		r.submit(at, "live", number, structs.PriorityLive)
	}
	for number := range batch {
		r.submit(at, "batch", number, structs.PriorityBatch)
	}
}

func (r *loadSimulation) submit(at time.Duration, kind string, number int, priority structs.Priority) {
	r.apply(at, r.arrive(func(request *structs.Request) {
		request.ID = structs.RequestID(fmt.Sprint(kind, "-", at, "-", number))
		request.Priority = priority
		request.DeadlineAt = r.now.Add(deadlineAfter)
	}))
}

// apply answers each attempt with one token after serviceTime.
func (r *loadSimulation) apply(at time.Duration, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case SendAttempt:
			r.running[at+serviceTime] = append(r.running[at+serviceTime], effect.Attempt)
		case Finish:
			r.ended[effect.ID] = at
		case Reject:
			r.ended[effect.ID] = at
			r.rejected[effect.ID] = true
		}
	}
}

// TestBatchRequestDuringBusyPeriod checks that the last of many batch requests is rejected
// early while live requests take nearly all turns, and served when they stop.
func TestBatchRequestDuringBusyPeriod(t *testing.T) {
	tests := []struct {
		about    string
		until    time.Duration
		rejected bool
		before   time.Duration
	}{
		{"continuing busy period", time.Hour, true, batchArrivesAt + deadlineAfter/2},
		{"busy period just ended", batchArrivesAt, false, batchArrivesAt + deadlineAfter/2},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			r := &loadSimulation{
				script: newScript(t, func(options *Options) { options.Routing = routing.Options{MaxBatch: 1, QueueSlack: 1} }),
				until:  test.until, running: map[time.Duration][]AttemptID{},
				ended: map[structs.RequestID]time.Duration{}, rejected: map[structs.RequestID]bool{},
			}
			for at := time.Duration(0); at <= batchArrivesAt+deadlineAfter; at += stepInterval {
				r.step(at)
			}
			last := structs.RequestID(fmt.Sprint("batch-", batchArrivesAt, "-", batchCount-1))
			qt.Check(t, r.rejected[last], qt.Equals, test.rejected)
			qt.Check(t, r.ended[last] < test.before, qt.IsTrue, qt.Commentf("%v", r.ended[last]))
		})
	}
}

// TestTurnGoesToARequestThatCanMeetItsDeadline checks that a request that would
// miss its deadline is rejected when its turn comes, also between reviews.
func TestTurnGoesToARequestThatCanMeetItsDeadline(t *testing.T) {
	s := newSingleRunnerScript(t)
	first := s.request("1", "row", time.Minute, "prompt")
	second := s.request("2", "row", time.Minute, "prompt")
	s.now = s.now.Add(3 * time.Second)
	s.finish(first[0].Attempt)
	s.request("3", "row", time.Minute, "prompt")
	s.request("late", "row", 5*time.Second, "prompt")
	qt.Assert(t, s.effects, qt.HasLen, 0)
	s.request("next", "row", time.Minute, "prompt")
	s.now = s.now.Add(2400 * time.Millisecond)
	sent := s.finish(second[0].Attempt)
	qt.Assert(t, sent, qt.HasLen, 1)
	qt.Check(t, sent[0].Attempt.Request(), qt.Equals, structs.RequestID("next"))
	reject := only[Reject](s)
	qt.Check(t, reject.ID, qt.Equals, structs.RequestID("late"))
	qt.Check(t, reject.Rejection.Execution, qt.Equals, structs.ExecutionNotRun)
	qt.Check(t, reject.Rejection.Error.RetryAfter >= MinRetryAfter, qt.IsTrue)
}
