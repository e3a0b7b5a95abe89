package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// newSingleRunnerScript returns a script with one runner of two slots for rows "row" and
// "other".
func newSingleRunnerScript(t *testing.T) *script {
	s := newScript(t, func(options *Options) { options.Routing = routing.Options{MaxBatch: 1, QueueSlack: 1} })
	view := testView(1, "row", "other")
	view.Index, view.Table.Revision = 2, 2
	s.do(ViewChanged{View: view})
	return s
}

// request sends a request with the given prompt and returns the attempts started.
func (s *script) request(id structs.RequestID, row structs.RowName, maxWait time.Duration, prompt string) []SendAttempt {
	return started(s.arrive(func(request *structs.Request) {
		request.ID, request.Row, request.Prompt = id, row, prompt
		request.DeadlineAt = s.now.Add(maxWait)
	}))
}

// finish ends an attempt and returns the attempts started by that.
func (s *script) finish(attempt AttemptID) []SendAttempt {
	s.now = s.now.Add(100 * time.Millisecond)
	return started(s.do(TokenReceived{Attempt: attempt, Token: structs.Token{ID: structs.RequestID(attempt), Finish: structs.FinishStop}}))
}

func started(effects []Effect) []SendAttempt {
	var sent []SendAttempt
	for _, effect := range effects {
		if send, ok := effect.(SendAttempt); ok {
			sent = append(sent, send)
		}
	}
	return sent
}

func TestRowsShareTheirRunnersFairly(t *testing.T) {
	s := newSingleRunnerScript(t)
	var running []SendAttempt
	for number := range 30 {
		running = append(running, s.request(structs.RequestID(fmt.Sprint("flood-", number)), "row", 20*time.Second, "prompt")...)
	}
	for number := range 4 {
		s.request(structs.RequestID(fmt.Sprint("quiet-", number)), "other", 25*time.Second, "prompt")
	}
	quiet := 0
	for range 10 {
		next := s.finish(running[0].Attempt)
		qt.Assert(t, next, qt.HasLen, 1)
		running = append(running[1:], next...)
		if next[0].Generate.Row == "other" {
			quiet++
		}
	}
	qt.Assert(t, quiet, qt.Equals, 4)
}

func TestRowsShareTheirRunnersByWeight(t *testing.T) {
	const turns = 80
	for _, test := range []struct{ weight, other, want int }{
		{100, 100, 40},
		{300, 100, 60},
		{1000, 250, 64},
		{0, 300, 20},
	} {
		t.Run(fmt.Sprint(test.weight, " and ", test.other), func(t *testing.T) {
			s := newSingleRunnerScript(t)
			s.do(ViewChanged{View: structs.ZoneView{Index: 3, Table: structs.TableDelta{Revision: 3, SinceRevision: 2, Rows: []structs.Row{
				{Name: "row", MaxReplicas: 4, Weight: test.weight}, {Name: "other", MaxReplicas: 4, Weight: test.other},
			}}}})
			var running []SendAttempt
			for number := range turns {
				running = append(running, s.request(structs.RequestID(fmt.Sprint("a-", number)), "row", time.Minute, "prompt")...)
				running = append(running, s.request(structs.RequestID(fmt.Sprint("b-", number)), "other", time.Minute, "prompt")...)
			}
			served := 0
			for range turns {
				next := s.finish(running[0].Attempt)
				qt.Assert(t, next, qt.HasLen, 1)
				running = append(running[1:], next...)
				if next[0].Generate.Row == "row" {
					served++
				}
			}
			// Turns that go to the longest wait instead of by weight.
			const guarded = turns / admission.DefaultMaxPassedOver
			qt.Check(t, served >= test.want-guarded && served <= test.want+guarded, qt.IsTrue, qt.Commentf("%d of %d", served, turns))
		})
	}
}

func TestFullRunnerGetsARequestWithCachedPrefixFirst(t *testing.T) {
	s := newSingleRunnerScript(t)
	cached := strings.Repeat("a", routing.PrefixBlockBytes)
	running := s.request("1", "row", 20*time.Second, cached)
	s.request("2", "row", 20*time.Second, cached)
	s.request("foreign", "row", 20*time.Second, strings.Repeat("b", routing.PrefixBlockBytes))
	s.request("known", "row", 20*time.Second, cached+"c")
	next := s.finish(running[0].Attempt)
	qt.Assert(t, next, qt.HasLen, 1)
	qt.Assert(t, next[0].Attempt.Request(), qt.Equals, structs.RequestID("known"))
}

func TestRequestThatWouldMissItsDeadlineIsRejectedAtArrival(t *testing.T) {
	s := newSingleRunnerScript(t)
	running := s.request("1", "row", 20*time.Second, "prompt")
	s.request("2", "row", 20*time.Second, "prompt")
	s.now = s.now.Add(3 * time.Second)
	s.finish(running[0].Attempt)
	s.request("3", "row", 20*time.Second, "prompt")
	// It would start after 1.5 s and needs 3 s.
	s.request("late", "row", 4*time.Second, "prompt")
	reject := only[Reject](s)
	qt.Check(t, reject.Rejection.Error.Kind, qt.Equals, structs.ErrorDeadline)
	qt.Check(t, reject.Rejection.Execution, qt.Equals, structs.ExecutionNotRun)
	qt.Check(t, reject.Rejection.Error.RetryAfter >= 1500*time.Millisecond, qt.IsTrue)
	s.request("in time", "row", 6*time.Second, "prompt")
	qt.Check(t, s.effects, qt.HasLen, 0)
}
