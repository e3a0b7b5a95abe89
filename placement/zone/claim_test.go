package zone

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
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
		Key: "k", Request: request, State: state, AnswerBytes: len(answer), AnswerHash: xxhash.Sum64String(answer), ExpiresAt: testTime.Add(time.Hour),
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
		state  structs.ClaimState // of the claim afterwards; "" if there is none
		runner structs.RunnerID
	}{
		{"first", nil, first, "", true, structs.ClaimHeld, ""},
		{"resend", []Command{first}, first, "", true, structs.ClaimHeld, ""},
		{"second request", []Command{first}, begin("r2", "d1", 0, ""), "", false, structs.ClaimHeld, ""},
		{"same request of another holder", []Command{first}, begin("r1", "d2", 0, ""), "", false, structs.ClaimHeld, ""},
		{"other digest", []Command{first}, otherDigest, structs.ErrorInvalid, false, structs.ClaimHeld, ""},
		{"runner named", []Command{first}, begin("r1", "d1", 1, "a"), "", true, structs.ClaimHeld, "a"},
		{"next runner named", []Command{first, begin("r1", "d1", 1, "a")}, begin("r1", "d1", 2, "b"), "", true, structs.ClaimHeld, "b"},
		{"late resend keeps the runner", []Command{begin("r1", "d1", 2, "b")}, first, "", true, structs.ClaimHeld, "b"},
		{"late runner choice is refused", []Command{begin("r1", "d1", 2, "b")}, begin("r1", "d1", 1, "a"), structs.ErrorConflict, false, structs.ClaimHeld, "b"},
		{"finished", []Command{first}, finished, "", false, structs.ClaimFinished, ""},
		{"finished twice", []Command{first, finished}, finished, "", false, structs.ClaimFinished, ""},
		{"other request after finished", []Command{first, finished}, begin("r2", "d2", 0, ""), "", false, structs.ClaimFinished, ""},
		{"unknown after finished", []Command{first, finished}, unknown, structs.ErrorConflict, false, structs.ClaimFinished, ""},
		{"finished after unknown", []Command{first, unknown}, finished, structs.ErrorConflict, false, structs.ClaimUnknown, ""},
		{"not run after unknown", []Command{first, unknown}, notRun, structs.ErrorConflict, false, structs.ClaimUnknown, ""},
		{"begin after unknown", []Command{first, unknown}, begin("r2", "d1", 0, ""), "", false, structs.ClaimUnknown, ""},
		{"not run", []Command{first}, notRun, "", false, "", ""},
		{"late begin of a released request", []Command{first, notRun}, first, structs.ErrorConflict, false, "", ""},
		{"late runner choice of a released request", []Command{first, notRun}, begin("r1", "d1", 1, "a"), structs.ErrorConflict, false, "", ""},
		{"begin after its release", []Command{notRun}, first, structs.ErrorConflict, false, "", ""},
		{"release while another holds the key", []Command{begin("r2", "d1", 0, ""), notRun}, first, structs.ErrorConflict, false, structs.ClaimHeld, ""},
		{"another request after a release", []Command{first, notRun}, begin("r2", "d1", 0, ""), "", true, structs.ClaimHeld, ""},
		{"finish by another request", []Command{first}, finish("r2", structs.ClaimFinished, ""), structs.ErrorNotFound, false, structs.ClaimHeld, ""},
		{"finish as held", []Command{first}, finish("r1", structs.ClaimHeld, ""), structs.ErrorInvalid, false, structs.ClaimHeld, ""},
		{"other digest after finished", []Command{first, finished}, otherDigest, structs.ErrorInvalid, false, structs.ClaimFinished, ""},
		{"finish by another request after finished", []Command{first, finished}, finish("r2", structs.ClaimFinished, ""), structs.ErrorNotFound, false, structs.ClaimFinished, ""},
		{"not run after finished", []Command{first, finished}, notRun, structs.ErrorConflict, false, structs.ClaimFinished, ""},
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
				c.Assert(claim.Answer, qt.Equals, structs.AnswerMark{Bytes: 4, Hash: xxhash.Sum64String("done")})
			}
			c.Assert(m.CheckInvariants(), qt.IsNil)
		})
	}
}

// claimOf returns the commands that begin and finish the claim of a numbered request.
func claimOf(number int, ttl time.Duration) (held, finished Command) {
	request := structs.RequestID(fmt.Sprint(number))
	key := structs.ClaimKey(request)
	held = Command{ClaimBegin: &ClaimBeginCommand{
		Key: key, Request: request, Digest: 7, Holder: "d", Session: 3, HolderAddress: "127.0.0.1:7",
	}}
	finished = Command{ClaimFinish: &ClaimFinishCommand{
		Key: key, Request: request, State: structs.ClaimFinished, AnswerBytes: 5, AnswerHash: 9, ExpiresAt: testTime.Add(ttl),
	}}
	return held, finished
}

func TestClaimTableFullOfOpenClaimsRejectsNewClaims(t *testing.T) {
	c := qt.New(t)
	m := &testMachine{State: New("z")}
	for number := range MaxClaims {
		held, finished := claimOf(number, time.Hour)
		m.must(held)
		if number%2 == 0 {
			finished.ClaimFinish.State = structs.ClaimUnknown
			m.must(finished)
		}
	}
	held, _ := claimOf(MaxClaims, time.Hour)
	result := m.do(held)
	c.Assert(result.Error.Kind, qt.Equals, structs.ErrorOverloaded)
	c.Assert(result.Error.RetryAfter > 0, qt.IsTrue)
	c.Assert(m.ClaimCounts(), qt.Equals, ClaimCounts{Held: MaxClaims / 2, Unknown: MaxClaims / 2})
	c.Assert(m.CheckInvariants(), qt.IsNil)
}

// TestFullClaimTableReducesFinishedClaimsToKeys checks that claims are reduced in
// the order of expiry and that the keys stay claimed, also after a restore.
func TestFullClaimTableReducesFinishedClaimsToKeys(t *testing.T) {
	c := qt.New(t)
	m := &testMachine{State: New("z")}
	const more = 600
	ttlOf := func(number int) time.Duration { return 24*time.Hour - time.Duration(number)*time.Second/4 }
	for number := range MaxClaims {
		held, finished := claimOf(number, ttlOf(number))
		m.must(held)
		m.must(finished)
	}
	for number := range more {
		held, _ := claimOf(MaxClaims+number, 0)
		m.must(held)
	}
	data, err := m.Snapshot()
	c.Assert(err, qt.IsNil)
	twin := &testMachine{State: New("z"), next: m.next}
	c.Assert(twin.Restore(data), qt.IsNil)
	again, err := twin.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(again, data), qt.IsTrue)
	for _, machine := range []*testMachine{m, twin} {
		c.Assert(machine.ClaimCounts(), qt.Equals, ClaimCounts{Held: more, Finished: MaxClaims - more, Keys: more})
		c.Assert(machine.CheckInvariants(), qt.IsNil)
		for _, test := range []struct {
			number int
			holder structs.DaemonID
		}{{0, "d"}, {MaxClaims - more - 1, "d"}, {MaxClaims - more, ""}, {MaxClaims - 1, ""}} {
			resend, _ := claimOf(test.number, 0)
			resend.ClaimBegin.Request = "resend"
			result := machine.do(resend)
			c.Assert(result.ClaimNew, qt.IsFalse)
			c.Assert(result.Claim.State, qt.Equals, structs.ClaimFinished)
			c.Assert(result.Claim.Holder, qt.Equals, test.holder)
		}
		// A key can be claimed again only after it expires.
		last, _ := claimOf(MaxClaims-1, 0)
		last.ClaimBegin.Request = "later"
		machine.must(Command{ClaimExpire: &ClaimExpireCommand{Now: testTime.Add(ttlOf(MaxClaims-1) - time.Second)}})
		c.Assert(machine.do(last).ClaimNew, qt.IsFalse)
		over := testTime.Add(24*time.Hour + 2*keyBatchSeconds*time.Second)
		for range MaxClaims/MaxExpiredClaims + 1 {
			machine.must(Command{ClaimExpire: &ClaimExpireCommand{Now: over}})
		}
		c.Assert(machine.ClaimCounts(), qt.Equals, ClaimCounts{Held: more})
		c.Assert(machine.do(last).ClaimNew, qt.IsTrue)
	}
}

// TestRestoreClaimsOfEarlierVersion restores a snapshot in which finished claims are
// stored with their answers among the open ones.
func TestRestoreClaimsOfEarlierVersion(t *testing.T) {
	c := qt.New(t)
	data, err := encode(map[string]any{"Zone": "z", "Claims": []map[string]any{
		{"Claim": map[string]any{"Key": "held", "Request": "r1", "Holder": "d", "State": "held"}, "Bytes": 32_768},
		{"Claim": map[string]any{"Key": "k", "Request": "r1", "Digest": 7, "Holder": "d", "State": "finished",
			"Answer": []byte("done"), "ExpiresAt": testTime.Add(time.Hour)}, "Bytes": 4},
	}})
	c.Assert(err, qt.IsNil)
	m := &testMachine{State: New("z")}
	c.Assert(m.restorePlain(data), qt.IsNil)
	c.Assert(m.ClaimCounts(), qt.Equals, ClaimCounts{Held: 1, Finished: 1})
	result := m.do(begin("r2", "d", 0, ""))
	c.Assert(result.ClaimNew, qt.IsFalse)
	c.Assert(result.Claim.State, qt.Equals, structs.ClaimFinished)
	c.Assert(result.Claim.Answer, qt.Equals, structs.AnswerMark{})
	m.must(Command{ClaimExpire: &ClaimExpireCommand{Now: testTime.Add(time.Hour)}})
	c.Assert(m.do(begin("r3", "d", 0, "")).ClaimNew, qt.IsTrue)
}

func TestFullKeyTableRejectsNewClaims(t *testing.T) {
	c := qt.New(t)
	m := &testMachine{State: New("z")}
	for number := range MaxClaims {
		held, finished := claimOf(number, time.Hour)
		m.must(held)
		m.must(finished)
	}
	m.claims.keyOnly.count = MaxClaimKeys
	held, _ := claimOf(MaxClaims, time.Hour)
	c.Assert(m.do(held).Error.Kind, qt.Equals, structs.ErrorOverloaded)
	c.Assert(m.ClaimCounts().Finished, qt.Equals, MaxClaims)
}

func TestKeyOnlyClaimsFindUnorderedKeys(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var kept keyOnlyClaims
	var keys []keyHash
	for range 3*maxUnsortedKeys + 7 {
		key := keyHash(random.Uint64())
		keys = append(keys, key)
		kept.add(key, uint32(random.IntN(3*keyBatchSeconds)))
	}
	for _, key := range keys {
		c.Assert(kept.has(key), qt.IsTrue)
		c.Assert(kept.has(key+1), qt.IsFalse)
	}
	c.Assert(kept.check(), qt.IsNil)
	c.Assert(kept.count, qt.Equals, len(keys))
	kept.expire(2 * keyBatchSeconds)
	c.Assert(len(kept.keyBatches), qt.Equals, 1)
	c.Assert(kept.check(), qt.IsNil)
}

func TestReleasedRequestsAreBoundedAndRestored(t *testing.T) {
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
