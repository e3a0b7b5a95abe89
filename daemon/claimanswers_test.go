package daemon

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/request/answerstore"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// claimAt returns a zone's claim on a key.
func (s *streamSite) claimAt(index int, key structs.ClaimKey) structs.Claim {
	node := s.daemons[index].zone
	var claim structs.Claim
	node.group.View(func() { claim, _ = node.machine.state.Claim(key) })
	return claim
}

// awaitClaim waits until the zone's claim on a key has a state.
func (s *streamSite) awaitClaim(index int, key structs.ClaimKey, state structs.ClaimState) {
	s.await("the claim as "+string(state), &s.daemons[index].zone.machine.changed, func() bool {
		return s.claimAt(index, key).State == state
	})
}

// kill closes a daemon without draining it.
func (s *streamSite) kill(index int) {
	over, cancel := context.WithCancel(context.Background())
	cancel()
	s.daemons[index].Close(over)
	s.daemons[index] = nil
}

// TestResendRightAfterTheAnswerIsReplayed blocks recording of the claim's end until the
// resent request has its answer.
func TestResendRightAfterTheAnswerIsReplayed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2})
		s.applyRows(1)
		s.slowDown()
		request := streamRequest("first", "r0", longAnswer)
		request.IdempotencyKey = "zone-1:lot"
		answer, err := s.call(0, request)
		s.Assert(err, qt.IsNil)
		first, err := answer.Next(s.ctx)
		s.Assert(err, qt.IsNil)
		s.daemons[0].faults.Cut(s.settings[1].Listen.Internal)
		s.restoreSpeed()
		text, err := readRest(answer, first.Text)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(request))
		s.Assert(s.claimAt(1, "anonymous/zone-1:lot").State, qt.Equals, structs.ClaimHeld)

		request.ID = "second"
		text, err = s.ask(1, request)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(request))
		s.daemons[0].faults.Heal(s.settings[1].Listen.Internal)
		s.awaitClaim(1, "anonymous/zone-1:lot", structs.ClaimFinished)
		s.Assert(s.executions(request), qt.Equals, 1)
	})
}

// TestEndThatARouterKeptAndDidNotRecordIsRecordedAfterItsRestart kills the router while
// the home zone is unreachable, and restarts it before or after the zone resolves the
// claim.
func TestEndThatARouterKeptAndDidNotRecordIsRecordedAfterItsRestart(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		about    string
		resolved bool
		end      structs.ClaimState
	}{
		{"the claim is still held", false, structs.ClaimFinished},
		{"the claim was resolved, which stays", true, structs.ClaimUnknown},
	} {
		t.Run(test.about, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const key = "anonymous/zone-1:lot"
				s := newStreamSite(t, streamSiteOptions{zones: 2})
				s.applyRows(1)
				s.slowDown()
				request := streamRequest("first", "r0", longAnswer)
				request.IdempotencyKey = "zone-1:lot"
				answer, err := s.call(0, request)
				s.Assert(err, qt.IsNil)
				first, err := answer.Next(s.ctx)
				s.Assert(err, qt.IsNil)
				s.daemons[0].faults.Cut(s.settings[1].Listen.Internal)
				s.restoreSpeed()
				_, err = readRest(answer, first.Text)
				s.Assert(err, qt.IsNil)
				s.kill(0)
				s.Assert(s.claimAt(1, key).State, qt.Equals, structs.ClaimHeld)
				if test.resolved {
					s.awaitClaim(1, key, structs.ClaimUnknown)
				}

				s.start(0)
				// Recording of the previous run's ends has begun.
				synctest.Wait()
				s.Assert(s.daemons[0].router.claims.Drain(s.ctx), qt.Equals, 0)
				s.Assert(s.claimAt(1, key).State, qt.Equals, test.end)
				if !test.resolved {
					request.ID = "second"
					text, err := s.ask(1, request)
					s.Assert(err, qt.IsNil)
					s.Assert(text, qt.Equals, wholeAnswer(request))
				}
				s.Assert(s.executions(request), qt.Equals, 1)
			})
		})
	}
}

// TestAnswerOutlastsItsRouterAsLongAsTheDisk resends a request in another zone while
// the router that has the answer is down, after its restart, and after its disk is
// lost.
func TestAnswerOutlastsItsRouterAsLongAsTheDisk(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSite(t, streamSiteOptions{zones: 2})
		s.applyRows(1)
		request := streamRequest("first", "r0", 8)
		request.IdempotencyKey = "zone-1:lot"
		text, err := s.ask(0, request)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(request))
		s.awaitClaim(1, "anonymous/zone-1:lot", structs.ClaimFinished)

		s.kill(0)
		request.ID = "while it is away"
		_, err = s.ask(1, request)
		away := refusalOf(s.C, err)
		s.Assert(away.Execution, qt.Equals, structs.ExecutionDone)
		s.Assert(away.Error.RetryAfter > 0, qt.IsTrue)

		s.start(0)
		request.ID = "after its restart"
		text, err = s.askUntilAvailable(1, request)
		s.Assert(err, qt.IsNil)
		s.Assert(text, qt.Equals, wholeAnswer(request))

		s.kill(0)
		s.Assert(os.Remove(filepath.Join(s.settings[0].DataFolder, answersFile)), qt.IsNil)
		s.start(0)
		request.ID = "after the loss of its disk"
		_, err = s.askUntilAvailable(1, request)
		gone := refusalOf(s.C, err)
		s.Assert(gone.Execution, qt.Equals, structs.ExecutionDone)
		s.Assert(gone.Error.Message, qt.Contains, "no longer kept")
		s.Assert(s.executions(request), qt.Equals, 1)
	})
}

// askUntilAvailable retries while the request is refused because the router that has
// the answer is unreachable.
func (s *streamSite) askUntilAvailable(index int, request structs.Request) (string, error) {
	for {
		text, err := s.ask(index, request)
		var refused *api.RefusedError
		away := errors.As(err, &refused) && refused.Refusal.Execution == structs.ExecutionDone && refused.Refusal.Error.RetryAfter > 0
		if !away || s.ctx.Err() != nil {
			return text, err
		}
	}
}

func TestSettingsSelectAnswerStore(t *testing.T) {
	c := qt.New(t)
	settings := config.Default()
	settings.DataFolder = c.TempDir()
	onDisk, err := openAnswers(log.NewNopLogger(), settings)
	c.Assert(err, qt.IsNil)
	c.Assert(onDisk, qt.Satisfies, func(store answerstore.Store) bool { _, isFile := store.(*answerstore.File); return isFile })
	c.Assert(onDisk.Close(), qt.IsNil)
	settings.Limits.AnswersInMemory = true
	inMemory, err := openAnswers(log.NewNopLogger(), settings)
	c.Assert(err, qt.IsNil)
	c.Assert(inMemory, qt.Satisfies, func(store answerstore.Store) bool { _, isMemory := store.(*answerstore.Memory); return isMemory })
}
