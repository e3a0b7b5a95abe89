package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// The rush: a request comes in each rushStep, as many as end, after a backlog of
// rushBacklog.
const (
	rushStep    = 100 * time.Millisecond
	rushService = 4 * rushStep
	rushBacklog = 8
	// rushBatch batch requests come at rushBatchAt and may take rushPatience.
	rushBatch    = 20
	rushBatchAt  = 8 * time.Second
	rushPatience = 30 * time.Second
)

// rush drives a router through a rush of live requests that lasts until the given time.
type rush struct {
	*script
	until   time.Duration
	running map[time.Duration][]AttemptID
	ended   map[structs.RequestID]time.Duration
	refused map[structs.RequestID]bool
}

// step lets everything happen that is due at the time.
func (r *rush) step(at time.Duration) {
	r.now = worldStart.Add(at)
	for _, attempt := range r.running[at] {
		last := structs.Token{ID: structs.RequestID(attempt), Finish: structs.FinishStop}
		r.take(at, r.do(TokenReceived{Attempt: attempt, Token: last}))
	}
	r.take(at, r.do(Tick{}))
	live, batch := 1, 0
	switch {
	case at == 0:
		live = rushBacklog
	case at >= r.until:
		live = 0
	}
	if at == rushBatchAt {
		batch = rushBatch
	}
	for number := range live {
		r.come(at, "live", number, structs.PriorityLive)
	}
	for number := range batch {
		r.come(at, "batch", number, structs.PriorityBatch)
	}
}

func (r *rush) come(at time.Duration, kind string, number int, priority structs.Priority) {
	r.take(at, r.arrive(func(request *structs.Request) {
		request.ID = structs.RequestID(fmt.Sprint(kind, "-", at, "-", number))
		request.Priority = priority
		request.DeadlineAt = r.now.Add(rushPatience)
	}))
}

// take answers each attempt with one token after rushService.
func (r *rush) take(at time.Duration, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case SendAttempt:
			r.running[at+rushService] = append(r.running[at+rushService], effect.Attempt)
		case Finish:
			r.ended[effect.ID] = at
		case Refuse:
			r.ended[effect.ID] = at
			r.refused[effect.ID] = true
		}
	}
}

// TestBatchRequestInARush: the last of many is refused early while live requests
// take nearly all turns, and served when they cease.
func TestBatchRequestInARush(t *testing.T) {
	tests := []struct {
		about   string
		until   time.Duration
		refused bool
		before  time.Duration
	}{
		{"that goes on", time.Hour, true, rushBatchAt + rushPatience/2},
		{"that has just ended", rushBatchAt, false, rushBatchAt + rushPatience/2},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			r := &rush{
				script: newScript(t, func(options *Options) { options.Routing = routing.Options{MaxBatch: 1, QueueSlack: 1} }),
				until:  test.until, running: map[time.Duration][]AttemptID{},
				ended: map[structs.RequestID]time.Duration{}, refused: map[structs.RequestID]bool{},
			}
			for at := time.Duration(0); at <= rushBatchAt+rushPatience; at += rushStep {
				r.step(at)
			}
			last := structs.RequestID(fmt.Sprint("batch-", rushBatchAt, "-", rushBatch-1))
			qt.Check(t, r.refused[last], qt.Equals, test.refused)
			qt.Check(t, r.ended[last] < test.before, qt.IsTrue, qt.Commentf("%v", r.ended[last]))
		})
	}
}

// TestTurnGoesToARequestThatCanStillBeAnsweredInTime: one that would end too late is
// refused when its turn comes, also between two reviews.
func TestTurnGoesToARequestThatCanStillBeAnsweredInTime(t *testing.T) {
	s := newFullRunner(t)
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
	refuse := only[Refuse](s)
	qt.Check(t, refuse.ID, qt.Equals, structs.RequestID("late"))
	qt.Check(t, refuse.Refusal.Execution, qt.Equals, structs.ExecutionNotRun)
	qt.Check(t, refuse.Refusal.Error.RetryAfter >= MinimumRetryAfter, qt.IsTrue)
}
