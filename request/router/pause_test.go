package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// pausedTokens is the number of tokens before the pause of the engine, 50 ms apart, so that
	// the stall timeout is DefaultStallFloor.
	pausedTokens = 500
	pause        = 1500 * time.Millisecond
)

// pausedAttempt returns a stream that has brought some tokens and whose engine has then been
// silent for the pause.
func pausedAttempt(t *testing.T, runners int, change func(*Options)) (*script, SendAttempt) {
	s := newScript(t, change)
	if runners == 1 {
		s.do(ViewChanged{View: testView(1, "row")})
	}
	sent := startRequest(s, func(request *structs.Request) {
		request.MaxTokens = 1000
		request.DeadlineAt = request.DeadlineAt.Add(time.Minute)
	})
	s.do(AttemptStarted{Attempt: sent.Attempt})
	for index := range pausedTokens {
		s.now = s.now.Add(50 * time.Millisecond)
		sendToken(s, sent, index)
	}
	advance(s, pause)
	return s, sent
}

// withoutRetries leaves less than one retry in the budget.
func withoutRetries(options *Options) { options.RetryReserve = 0.5 }

// heldBy is the status of the paused attempt at an engine that still runs it.
func heldBy(sent SendAttempt) (StatusReplied, structs.RequestStatus) {
	reply := StatusReplied{ID: sent.Attempt.Request(), Attempt: sent.Attempt, Peek: true}
	return reply, structs.RequestStatus{State: structs.RunRunning, Incarnation: 7, Started: true, Tokens: pausedTokens}
}

// assertNotEnded checks that the attempt was neither cancelled nor rejected by the last
// effects.
func assertNotEnded(s *script) {
	s.c.Helper()
	for _, effect := range s.effects {
		switch effect.(type) {
		case CancelAttempt, Reject:
			s.c.Errorf("%T: %+v", effect, effect)
		}
	}
	s.c.Assert(s.core.Idle(), qt.IsFalse)
}

// assertContinues checks that the attempt has not ended, and that its next token is
// delivered.
func assertContinues(s *script, sent SendAttempt) {
	s.c.Helper()
	assertNotEnded(s)
	sendToken(s, sent, pausedTokens)
	s.c.Assert(only[*Deliver](s).Token.Index, qt.Equals, pausedTokens)
}

// TestPausedEngineKeepsStreamWithoutOtherEngine guards against a stream that is cut because
// its engine was silent for a moment and no other engine could take its place.
func TestPausedEngineKeepsStreamWithoutOtherEngine(t *testing.T) {
	s, sent := pausedAttempt(t, 1, nil)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	assertContinues(s, sent)
}

// TestPausedEngineKeepsStreamWithoutRetries guards against a stream that is cut because its
// engine was silent for a moment and no retry was left: the engine answers that it runs.
func TestPausedEngineKeepsStreamWithoutRetries(t *testing.T) {
	s, sent := pausedAttempt(t, 2, withoutRetries)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	reply, status := heldBy(sent)
	s.do(withStatus(reply, status))
	assertContinues(s, sent)
}

// TestPausedEngineIsAskedAgain guards against a stream that is cut at the second status
// request, and against one that is never given up although its engine is silent for good.
func TestPausedEngineIsAskedAgain(t *testing.T) {
	s, sent := pausedAttempt(t, 1, nil)
	reply, status := heldBy(sent)
	silent := pause
	for silent < DefaultStallCeiling {
		s.do(withStatus(reply, status))
		assertNotEnded(s)
		advance(s, DefaultStallFloor)
		silent += DefaultStallFloor
		assertNotEnded(s)
		s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	}
	s.do(withStatus(reply, status))
	s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
}

// TestPausedEngineIsLeftForUsableEngine guards against a request that stays at a silent
// engine although another one has become usable.
func TestPausedEngineIsLeftForUsableEngine(t *testing.T) {
	s, sent := pausedAttempt(t, 1, nil)
	reply, status := heldBy(sent)
	s.do(withStatus(reply, status))
	assertNotEnded(s)
	view := testView(2, "row")
	view.Index = 3
	s.do(ViewChanged{View: view})
	advance(s, DefaultStallFloor+time.Second)
	s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
	again := only[SendAttempt](s)
	s.c.Assert(again.Runner, qt.Not(qt.Equals), sent.Runner)
	s.c.Assert(again.Generate.ResumeFrom, qt.Equals, pausedTokens)
}

// TestPausedEngineIsLeftWhenItsReplyArrives guards against a further wait for an engine
// that is asked while no other one is usable, and replies once there is one.
func TestPausedEngineIsLeftWhenItsReplyArrives(t *testing.T) {
	s, sent := pausedAttempt(t, 1, nil)
	s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
	view := testView(2, "row")
	view.Index = 3
	s.do(ViewChanged{View: view})
	reply, status := heldBy(sent)
	s.do(withStatus(reply, status))
	s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
	advance(s, time.Second)
	s.c.Assert(only[SendAttempt](s).Runner, qt.Not(qt.Equals), sent.Runner)
}

// TestPausedEngineIsKeptShortlyBeforeDeadline guards against a stream that is cut because
// its deadline leaves no time for the delay of a retry.
func TestPausedEngineIsKeptShortlyBeforeDeadline(t *testing.T) {
	s := newScript(t, nil)
	sent := startRequest(s, func(request *structs.Request) {
		request.MaxTokens = 1000
		request.DeadlineAt = s.now.Add(pausedTokens*50*time.Millisecond + pause + 100*time.Millisecond)
	})
	for index := range pausedTokens {
		s.now = s.now.Add(50 * time.Millisecond)
		sendToken(s, sent, index)
	}
	advance(s, pause)
	assertContinues(s, sent)
}

// TestSlowStreamIsGivenUpAtSilenceLimit guards against a silent engine that is kept for
// longer than the limit because the next status request is due later.
func TestSlowStreamIsGivenUpAtSilenceLimit(t *testing.T) {
	const tokens = 60
	s := newScript(t, withoutRetries)
	sent := startRequest(s, func(request *structs.Request) {
		request.MaxTokens = 1000
		request.DeadlineAt = request.DeadlineAt.Add(10 * time.Minute)
	})
	for index := range tokens {
		s.now = s.now.Add(1500 * time.Millisecond)
		sendToken(s, sent, index)
	}
	lastTokenAt := s.now
	reply, status := heldBy(sent)
	status.Tokens = tokens
	asked := 0
	for !s.core.Idle() && s.now.Sub(lastTokenAt) < time.Minute {
		advance(s, 20*time.Millisecond)
		if len(s.effects) > 0 {
			asked++
			s.c.Assert(only[AskStatus](s).Peek, qt.IsTrue)
			s.do(withStatus(reply, status))
		}
	}
	s.c.Assert(asked, qt.Equals, 2)
	silent := s.now.Sub(lastTokenAt)
	s.c.Assert(silent >= DefaultStallCeiling && silent < DefaultStallCeiling+100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", silent))
}

// TestPausedEngineThatDoesNotHoldTheRequestIsGivenUp guards against a wait for an engine
// that will not continue the stream.
func TestPausedEngineThatDoesNotHoldTheRequestIsGivenUp(t *testing.T) {
	tests := []struct {
		about  string
		change func(*structs.RequestStatus)
	}{
		{"restarted", func(status *structs.RequestStatus) { status.Incarnation++ }},
		{"unknown", func(status *structs.RequestStatus) { status.State = structs.RunUnknown }},
		{"finished", func(status *structs.RequestStatus) { status.State = structs.RunFinished }},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			s, sent := pausedAttempt(t, 1, nil)
			reply, status := heldBy(sent)
			test.change(&status)
			s.do(withStatus(reply, status))
			s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
		})
	}
	t.Run("no answer", func(t *testing.T) {
		s, sent := pausedAttempt(t, 1, nil)
		advance(s, peekTimeout)
		s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
	})
	t.Run("tokens lost", func(t *testing.T) {
		s, sent := pausedAttempt(t, 1, nil)
		reply, status := heldBy(sent)
		status.Tokens += 2
		s.do(withStatus(reply, status))
		assertNotEnded(s)
		advance(s, DefaultStallFloor+100*time.Millisecond)
		s.do(withStatus(reply, status))
		s.c.Assert(only[CancelAttempt](s).Attempt, qt.Equals, sent.Attempt)
	})
}
