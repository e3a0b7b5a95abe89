package zone

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

func begin(request structs.RequestID, holder structs.DaemonID, attempt uint64, runner structs.RunnerID) Command {
	return Command{ClaimBegin: &ClaimBeginCommand{
		Key: "k", Request: request, Digest: 7, Holder: holder, Attempt: attempt, Runner: runner,
	}}
}

func finish(request structs.RequestID, state structs.ClaimState, answer string) Command {
	return Command{ClaimFinish: &ClaimFinishCommand{
		Key: "k", Request: request, State: state, Answer: []byte(answer), ExpiresAt: testTime.Add(time.Hour),
	}}
}

func TestClaims(t *testing.T) {
	otherDigest := begin("r1", "d1", 0, "")
	otherDigest.ClaimBegin.Digest = 8
	notRun := finish("r1", "", "")
	notRun.ClaimFinish.NotRun = true
	finished := finish("r1", structs.ClaimFinished, "done")
	unknown := finish("r1", structs.ClaimUnknown, "")
	expire := func(after time.Duration) Command {
		return Command{ClaimExpire: &ClaimExpireCommand{Now: testTime.Add(after)}}
	}
	first := begin("r1", "d1", 0, "")
	for _, test := range []struct {
		name   string
		before []Command
		then   Command
		kind   structs.ErrorKind
		isNew  bool
		state  structs.ClaimState // of the claim afterwards; "" when there is none
		runner structs.RunnerID
	}{
		{"first", nil, first, "", true, structs.ClaimHeld, ""},
		{"resend", []Command{first}, first, "", true, structs.ClaimHeld, ""},
		{"second request", []Command{first}, begin("r2", "d1", 0, ""), "", false, structs.ClaimHeld, ""},
		{"same request of another holder", []Command{first}, begin("r1", "d2", 0, ""), "", false, structs.ClaimHeld, ""},
		{"other content", []Command{first}, otherDigest, structs.ErrorInvalid, false, structs.ClaimHeld, ""},
		{"runner named", []Command{first}, begin("r1", "d1", 1, "a"), "", true, structs.ClaimHeld, "a"},
		{"next runner named", []Command{first, begin("r1", "d1", 1, "a")}, begin("r1", "d1", 2, "b"), "", true, structs.ClaimHeld, "b"},
		{"late resend keeps the runner", []Command{begin("r1", "d1", 2, "b")}, first, "", true, structs.ClaimHeld, "b"},
		{"late naming is refused", []Command{begin("r1", "d1", 2, "b")}, begin("r1", "d1", 1, "a"), structs.ErrorConflict, false, structs.ClaimHeld, "b"},
		{"finished", []Command{first}, finished, "", false, structs.ClaimFinished, ""},
		{"finished twice", []Command{first, finished}, finished, "", false, structs.ClaimFinished, ""},
		{"replayed", []Command{first, finished}, begin("r2", "d2", 0, ""), "", false, structs.ClaimFinished, ""},
		{"unknown after finished", []Command{first, finished}, unknown, structs.ErrorConflict, false, structs.ClaimFinished, ""},
		{"finished after unknown", []Command{first, unknown}, finished, structs.ErrorConflict, false, structs.ClaimUnknown, ""},
		{"not run after unknown", []Command{first, unknown}, notRun, structs.ErrorConflict, false, structs.ClaimUnknown, ""},
		{"begin after unknown", []Command{first, unknown}, begin("r2", "d1", 0, ""), "", false, structs.ClaimUnknown, ""},
		{"not run", []Command{first}, notRun, "", false, "", ""},
		{"late begin of a released request", []Command{first, notRun}, first, structs.ErrorConflict, false, "", ""},
		{"late naming by a released request", []Command{first, notRun}, begin("r1", "d1", 1, "a"), structs.ErrorConflict, false, "", ""},
		{"begin after its release", []Command{notRun}, first, structs.ErrorConflict, false, "", ""},
		{"release while another holds the key", []Command{begin("r2", "d1", 0, ""), notRun}, first, structs.ErrorConflict, false, structs.ClaimHeld, ""},
		{"another request after a release", []Command{first, notRun}, begin("r2", "d1", 0, ""), "", true, structs.ClaimHeld, ""},
		{"finish by another request", []Command{first}, finish("r2", structs.ClaimFinished, ""), structs.ErrorNotFound, false, structs.ClaimHeld, ""},
		{"finish as held", []Command{first}, finish("r1", structs.ClaimHeld, ""), structs.ErrorInvalid, false, structs.ClaimHeld, ""},
		{"answer too large", []Command{first}, finish("r1", structs.ClaimFinished, string(make([]byte, DefaultAnswerBytes+1))), structs.ErrorLimit, false, structs.ClaimHeld, ""},
		{"kept before its expiry", []Command{first, finished}, expire(time.Hour - 1), "", false, structs.ClaimFinished, ""},
		{"expired", []Command{first, finished}, expire(time.Hour), "", false, "", ""},
		{"held never expires", []Command{first}, expire(1e6 * time.Hour), "", false, structs.ClaimHeld, ""},
		{"unknown never expires", []Command{first, unknown}, expire(1e6 * time.Hour), "", false, structs.ClaimUnknown, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := &testMachine{State: New("z")}
			for _, command := range test.before {
				m.must(command)
			}
			result := m.do(test.then)
			kind := structs.ErrorKind("")
			if result.Error != nil {
				kind = result.Error.Kind
			}
			c.Assert(kind, qt.Equals, test.kind)
			c.Assert(result.ClaimNew, qt.Equals, test.isNew)
			claim, _ := m.Claim("k")
			c.Assert(claim.State, qt.Equals, test.state)
			c.Assert(claim.Runner, qt.Equals, test.runner)
			if claim.State == structs.ClaimFinished {
				c.Assert(string(claim.Answer), qt.Equals, "done")
			}
			c.Assert(m.CheckInvariants(), qt.IsNil)
		})
	}
}

func TestFullClaimTableRefusesAndEvictsNothing(t *testing.T) {
	c := qt.New(t)
	m := &testMachine{State: New("z")}
	fits := MaxClaimBytes / MaxAnswerBytes
	for i := range fits + 1 {
		command := begin("r", "d", 0, "")
		command.ClaimBegin.Key = structs.ClaimKey(rune('A' + i))
		command.ClaimBegin.AnswerBytes = MaxAnswerBytes
		result := m.do(command)
		c.Assert(result.Error != nil, qt.Equals, i == fits)
		if i == fits {
			c.Assert(result.Error.Kind, qt.Equals, structs.ErrorOverloaded)
			c.Assert(result.Error.RetryAfter > 0, qt.IsTrue)
		}
	}
	c.Assert(len(m.HeldClaims()), qt.Equals, fits)
}

func TestReleasedRequestsAreBoundedAndSurviveSnapshots(t *testing.T) {
	c := qt.New(t)
	m := &testMachine{State: New("z")}
	release := func(request structs.RequestID) Command {
		command := finish(request, "", "")
		command.ClaimFinish.NotRun = true
		return command
	}
	for i := range MaxReleasedRequests + 1 {
		m.must(release(structs.RequestID(fmt.Sprint("r", i))))
	}
	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := &testMachine{State: New("z"), next: m.next}
	c.Assert(restored.Restore(data), qt.IsNil)
	again, err := restored.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(again, data), qt.IsTrue)
	newest := restored.do(begin(structs.RequestID(fmt.Sprint("r", MaxReleasedRequests)), "d", 0, ""))
	c.Assert(newest.Error.Kind, qt.Equals, structs.ErrorConflict)
	second := restored.do(begin("r1", "d", 0, ""))
	c.Assert(second.Error.Kind, qt.Equals, structs.ErrorConflict)
	oldest := restored.do(begin("r0", "d", 0, ""))
	c.Assert(oldest.ClaimNew, qt.IsTrue)
}
