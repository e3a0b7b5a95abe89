package daemon

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// longAnswer is a number of tokens that, at slowFactor, outlasts a stop.
const longAnswer = 250

// beginStop starts a graceful shutdown and returns once new requests are refused. The
// channel receives the number of aborted requests.
func (s *streamSite) beginStop(ctx context.Context, index int) <-chan int {
	daemon := s.daemons[index]
	stopped := make(chan int, 1)
	go func() { stopped <- daemon.Stop(ctx) }()
	s.await("the stop", &daemon.router.workDone, func() bool {
		daemon.router.mutex.Lock()
		defer daemon.router.mutex.Unlock()
		return daemon.router.draining
	})
	return stopped
}

func refusalOf(c *qt.C, err error) structs.Rejection {
	var refused *api.RefusedError
	c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
	return refused.Refusal
}

// checkMetrics checks that a daemon's metrics contain the lines.
func (s *streamSite) checkMetrics(index int, lines ...string) {
	metrics := httptest.NewRecorder()
	s.daemons[index].metricsHandler().ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range lines {
		s.Check(metrics.Body.String(), qt.Contains, line+"\n")
	}
}

func TestPlannedStopCutsNoStreamAndRecordsClaims(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1})
		s.applyRows(1)
		s.slowDown()
		keyed := streamRequest("keyed", "r0", longAnswer)
		keyed.IdempotencyKey = "the-key"
		plain := streamRequest("plain", "r0", longAnswer)
		var answers []api.Answer
		var first []string
		for _, request := range []structs.Request{keyed, plain} {
			answer, err := s.call(0, request)
			s.Assert(err, qt.IsNil)
			token, err := answer.Next(s.ctx)
			s.Assert(err, qt.IsNil)
			answers, first = append(answers, answer), append(first, token.Text)
		}
		// Recording the end of the claim takes longer than reading the answer.
		s.daemons[0].faults.Delay(s.settings[0].Listen.Internal, 300*time.Millisecond)
		stopped := s.beginStop(context.Background(), 0)
		_, err := s.call(0, streamRequest("late", "r0", 1))
		refusal := refusalOf(s.C, err)
		s.Assert(refusal.Execution, qt.Equals, structs.ExecutionNotRun)
		s.Assert(refusal.Error.RetryAfter > 0, qt.IsTrue)
		s.Assert(refusal.Error.Remedy, qt.Not(qt.Equals), "")
		s.Assert(s.daemons[0].notReady(), qt.Contains, "planned stop")
		s.checkMetrics(0,
			"lotusferry_requests_total 3",
			`lotusferry_requests_refused_total{execution="not_run",kind="unavailable"} 1`,
			"lotusferry_request_queue_seconds_count 2",
			"lotusferry_request_first_token_seconds_count 2",
		)
		s.restoreSpeed()
		for i, request := range []structs.Request{keyed, plain} {
			text, err := readRest(answers[i], first[i])
			s.Assert(err, qt.IsNil)
			s.Assert(text, qt.Equals, wholeAnswer(request))
		}
		s.Assert(<-stopped, qt.Equals, 0)

		// The claim's end was recorded, so the same key replays the answer without
		// running.
		s.start(0)
		s.await("the view", &s.daemons[0].router.viewChanged, s.daemons[0].router.hasView)
		answer, err := s.call(0, keyed)
		s.Assert(err, qt.IsNil)
		text, err := readRest(answer, "")
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(keyed))
		s.Assert(s.executions(keyed), qt.Equals, 1)
	})
}

func TestStopThatIsCutAnswersEveryRequestTruly(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 1})
		s.applyRows(2)
		s.slowDown()
		running := streamRequest("running", "r0", longAnswer)
		answer, err := s.call(0, running)
		s.Assert(err, qt.IsNil)
		_, err = answer.Next(s.ctx)
		s.Assert(err, qt.IsNil)
		// From here on neither the answer nor a load completes.
		s.engines[0].SetFaults(emulator.EngineFaults{SlowFactor: 1e6})
		router := s.daemons[0].router
		waiting := make(chan error, 1)
		go func() {
			waitingAnswer, err := s.call(0, streamRequest("waiting", "r1", 1))
			if err == nil {
				_, err = readRest(waitingAnswer, "")
			}
			waiting <- err
		}()
		s.await("two requests", &router.waiting, func() bool { return router.openCalls() == 2 })
		ctx, cut := context.WithCancelCause(context.Background())
		stopped := s.beginStop(ctx, 0)
		cut(ErrSecondSignal)
		s.Assert(<-stopped, qt.Equals, 2)
		refusal := refusalOf(s.C, <-waiting)
		s.Assert(refusal.Execution, qt.Equals, structs.ExecutionNotRun)
		s.Assert(refusal.Error.Message, qt.Contains, "stops")
		_, err = readRest(answer, "")
		s.Assert(refusalOf(s.C, err).Execution, qt.Equals, structs.ExecutionPartial)
	})
}
