package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// pausedAttempt returns a stream that has brought some tokens, 50 ms apart, and whose engine has then been silent for 1.5 s.
func pausedAttempt(t *testing.T, runners int, change func(*Options)) (*script, SendAttempt) {
	s := newScript(t, change)
	if runners == 1 {
		s.do(ViewChanged{View: testView(1, "row")})
	}
	sent := startRequest(s, func(request *structs.Request) {
		request.MaxTokens, request.DeadlineAt = 1000, request.DeadlineAt.Add(time.Minute)
	})
	s.do(AttemptStarted{Attempt: sent.Attempt})
	for index := range 500 {
		s.now = s.now.Add(50 * time.Millisecond)
		sendToken(s, sent, index)
	}
	advance(s, 1500*time.Millisecond)
	return s, sent
}

// assertGoesOn checks that the attempt was neither cancelled nor answered, and that its next token is forwarded.
func assertGoesOn(s *script, sent SendAttempt) {
	s.c.Helper()
	for _, effect := range s.effects {
		switch effect.(type) {
		case CancelAttempt, Reject:
			s.c.Errorf("%T: %+v", effect, effect)
		}
	}
	s.c.Assert(s.core.Idle(), qt.IsFalse)
}

// Guards against a stream that is cut because its engine was silent for a moment and no other engine could take its place.
func TestPausedEngineKeepsStreamWithoutOtherEngine(t *testing.T) {
	s, sent := pausedAttempt(t, 1, nil)
	assertGoesOn(s, sent)
}

// Guards against a stream that is cut because its engine was silent for a moment and no retry was left: the engine answers that it runs.
func TestPausedEngineKeepsStreamWithoutRetries(t *testing.T) {
	s, sent := pausedAttempt(t, 2, func(options *Options) { options.RetryReserve = 0.5 })
	peek := only[AskStatus](s)
	s.do(withStatus(StatusReplied{ID: sent.Attempt.Request(), Attempt: sent.Attempt, Peek: true},
		structs.RequestStatus{State: structs.RunRunning, Incarnation: 7, Started: true, Tokens: 500}))
	s.c.Assert(peek.Peek, qt.IsTrue)
	assertGoesOn(s, sent)
}
