package zone

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

// resolve returns a leader's command that ends the claim of r1 for the given choice.
func resolve(choice uint64, state structs.ClaimState) Command {
	command := finish("r1", state, "")
	command.ClaimFinish.NotRun = state == structs.ClaimReleased
	command.ClaimFinish.Resolve = true
	command.ClaimFinish.Choice = choice
	return command
}

func TestResolveAppliesOnlyToItsChoice(t *testing.T) {
	for _, test := range []struct {
		name   string
		before []Command
		then   Command
		kind   structs.ErrorKind
		state  structs.ClaimState
	}{
		{"released before a choice", []Command{begin("r1", "d", 0, "")}, resolve(0, structs.ClaimReleased), "", ""},
		{"a runner was chosen since", []Command{begin("r1", "d", 0, ""), begin("r1", "d", 1, "a")}, resolve(0, structs.ClaimReleased), structs.ErrorConflict, structs.ClaimHeld},
		{"another runner was chosen since", []Command{begin("r1", "d", 1, "a"), begin("r1", "d", 2, "b")}, resolve(1, structs.ClaimReleased), structs.ErrorConflict, structs.ClaimHeld},
		{"unknown of an earlier choice", []Command{begin("r1", "d", 1, "a"), begin("r1", "d", 2, "b")}, resolve(1, structs.ClaimUnknown), structs.ErrorConflict, structs.ClaimHeld},
		{"unknown", []Command{begin("r1", "d", 2, "b")}, resolve(2, structs.ClaimUnknown), "", structs.ClaimUnknown},
		{"choice after the release", []Command{begin("r1", "d", 0, ""), resolve(0, structs.ClaimReleased)}, begin("r1", "d", 1, "a"), structs.ErrorConflict, ""},
		{"end by the holder after the resolution", []Command{begin("r1", "d", 1, "a"), resolve(1, structs.ClaimUnknown)}, finish("r1", structs.ClaimFinished, "x"), structs.ErrorConflict, structs.ClaimUnknown},
		{"resolution after the holder's end", []Command{begin("r1", "d", 1, "a"), finish("r1", structs.ClaimFinished, "x")}, resolve(1, structs.ClaimUnknown), structs.ErrorConflict, structs.ClaimFinished},
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
			claim, _ := m.Claim("k")
			c.Assert(claim.State, qt.Equals, test.state)
			c.Assert(m.CheckInvariants(), qt.IsNil)
		})
	}
}

func TestBatchAppliesOperationsInOrder(t *testing.T) {
	c := qt.New(t)
	first := begin("r1", "d", 1, "a")
	first.ClaimBegin.Session, first.ClaimBegin.Address, first.ClaimBegin.EngineRequest = 3, "127.0.0.1:1", "r1.1"
	second := begin("r2", "d", 0, "")
	ended := finish("r1", structs.ClaimFinished, "done")
	command := Command{ClaimBatch: &ClaimBatchCommand{At: testTime, Operations: []ClaimOperation{
		{Begin: first.ClaimBegin}, {Begin: second.ClaimBegin}, {}, {Finish: ended.ClaimFinish},
	}}}
	data, err := EncodeCommand(command)
	c.Assert(err, qt.IsNil)
	decoded, err := DecodeCommand(data)
	c.Assert(err, qt.IsNil)
	m := &testMachine{State: New("z")}
	results := m.do(decoded).Batch
	c.Assert(results, qt.HasLen, 4)
	c.Check(results[0].ClaimNew, qt.IsTrue)
	c.Check(*results[0].Claim, qt.DeepEquals, structs.Claim{
		Key: "k", Request: "r1", Digest: 7, Holder: "d", Session: 3, State: structs.ClaimHeld,
		Choice: 1, Runner: "a", Address: "127.0.0.1:1", EngineRequest: "r1.1", ChosenAt: testTime,
	})
	c.Check(results[1].ClaimNew, qt.IsFalse)
	c.Check(results[2].Error.Kind, qt.Equals, structs.ErrorInvalid)
	c.Check(results[3].Claim.State, qt.Equals, structs.ClaimFinished)
	c.Check(m.HeldClaims(), qt.HasLen, 0)
	c.Check(m.CheckInvariants(), qt.IsNil)
}

// claimStages returns the three operations of a claim with a 400-byte answer.
func claimStages(number int) []ClaimOperation {
	held := ClaimBeginCommand{
		Key:     structs.ClaimKey(fmt.Sprintf("weighbridge/meknes-a:lot-%06d", number)),
		Request: structs.RequestID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", number)),
		Digest:  1<<63 + uint64(number), Holder: "meknes-a-1", Session: 1<<62 + 1, HolderAddress: "10.20.1.7:7000",
	}
	chosen := held
	chosen.HolderAddress = ""
	chosen.Attempt, chosen.Runner, chosen.Incarnation = 1, "meknes-a-r03", 1_764_659_693
	chosen.Address, chosen.EngineRequest = "10.20.1.11:9000", held.Request+".1"
	return []ClaimOperation{{Begin: &held}, {Begin: &chosen}, {Finish: &ClaimFinishCommand{
		Key: held.Key, Request: held.Request, State: structs.ClaimFinished, AnswerBytes: 400, AnswerHash: 1<<63 + uint64(number), ExpiresAt: testTime,
	}}}
}

// BenchmarkClaimEntries encodes, decodes and applies claims with the given number of
// operations per log entry; 0 sends each operation as a separate command.
func BenchmarkClaimEntries(b *testing.B) {
	for _, size := range []int{0, 1, 4, 16, 64} {
		b.Run(fmt.Sprintf("operations=%d", size), func(b *testing.B) {
			m := &testMachine{State: New("z")}
			bytes := 0
			put := func(command Command) {
				data, err := EncodeCommand(command)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(data)
				decoded, err := DecodeCommand(data)
				if err != nil {
					b.Fatal(err)
				}
				m.must(decoded)
			}
			var pending []ClaimOperation
			claims := 0
			for b.Loop() {
				for _, operation := range claimStages(claims) {
					if size == 0 {
						put(Command{ClaimBegin: operation.Begin, ClaimFinish: operation.Finish})
						continue
					}
					pending = append(pending, operation)
					if len(pending) == size {
						put(Command{ClaimBatch: &ClaimBatchCommand{At: testTime, Operations: pending}})
						pending = pending[:0]
					}
				}
				claims++
				if claims%1000 == 0 {
					m.must(Command{ClaimExpire: &ClaimExpireCommand{Now: testTime.Add(time.Second)}})
				}
			}
			b.ReportMetric(float64(bytes)/float64(claims), "log-bytes/claim")
		})
	}
}
