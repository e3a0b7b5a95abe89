package mirror

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// ask lets the mirror ask the leader, which holds the question and needs the given time besides. It
// reports whether the mirror was current until the answer.
func (l *testLeader) ask(lag time.Duration) bool {
	l.c.Helper()
	asked := l.at
	question := l.mirror.Question(asked)
	reply := l.reply(question)
	reply.HeldMS = domainapi.MillisecondsUp(question.Hold())
	l.pass(question.Hold() + lag)
	isCurrent := l.mirror.IsCurrent(l.at)
	l.c.Assert(l.mirror.Adopt(l.at, asked, asked, &question, reply), qt.IsNil)
	return isCurrent
}

// hold returns for how long the leader may hold a question that is asked now.
func (l *testLeader) hold() time.Duration {
	question := l.mirror.Question(l.at)
	return question.Hold()
}

// Guards against relays that are not current at times although the leader answers each question within
// half a second: they send all their routers to the leader, which makes it slower still.
func TestMirrorOfSlowLeaderStaysCurrent(t *testing.T) {
	for _, lag := range []time.Duration{0, 45, 150, 200, 250, 350, 440} {
		lag *= time.Millisecond
		t.Run(fmt.Sprint(lag), func(t *testing.T) {
			l := newTestLeader(t)
			l.sync()
			// The questions under way when the leader becomes slow are held for the full time.
			l.ask(lag)
			l.ask(lag)
			for range 20 {
				l.c.Assert(l.ask(lag), qt.IsTrue)
			}
		})
	}
}

// Questions are held for the full time again soon after the leader was slow.
func TestHoldRecoversAfterSlowAnswer(t *testing.T) {
	l := newTestLeader(t)
	l.sync()
	l.c.Assert(l.hold(), qt.Equals, domainapi.RelayHold)
	l.ask(400 * time.Millisecond)
	l.c.Assert(l.hold(), qt.Equals, 50*time.Millisecond)
	for range 4 {
		l.ask(20 * time.Millisecond)
	}
	l.c.Assert(l.hold(), qt.Equals, domainapi.RelayHold)
}

// A relay of a previous release does not say for how long its question may be held.
func TestQuestionWithoutHoldIsHeldForTheDefault(t *testing.T) {
	qt.Assert(t, (&domainapi.MirrorArguments{}).Hold(), qt.Equals, domainapi.RelayHold)
	qt.Assert(t, (&domainapi.MirrorArguments{HoldMS: 1}).Hold(), qt.Equals, time.Millisecond)
	qt.Assert(t, (&domainapi.MirrorArguments{HoldMS: 9999}).Hold(), qt.Equals, domainapi.RelayHold)
}
