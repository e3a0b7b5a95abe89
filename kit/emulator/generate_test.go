package emulator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

func TestAnswersAreCompleteAndNotMixed(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("m")
	h.ready("n")
	requests := make(map[emulator.CallID]structs.GenerateRequest)
	for i := range 100 {
		each := request(fmt.Sprintf("r%d", i), []string{"m", "n"}[i%2], prompt(fmt.Sprint(i%30), 1+i))
		each.MaxTokens = 1 + i*5
		requests[h.generate(each)] = each
		h.run(time.Duration(i%7) * time.Millisecond)
	}
	h.run(time.Minute)
	for call, each := range requests {
		h.Check(checkAnswer(each, h.tokens(call)), qt.Equals, "")
	}
	for id, executions := range h.engine.Records().ByRequest() {
		h.Check(executions, qt.HasLen, 1, qt.Commentf("%s", id))
	}
	h.Check(h.report().Load.Running, qt.Equals, 0)
	h.Check(h.report().Load.Queued, qt.Equals, 0)
}

// TestCheckAnswerDetectsFaults guards against a checkAnswer that misses stream faults,
// since other tests rely on it.
func TestCheckAnswerDetectsFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.EngineFaults
	}{
		{"late", emulator.EngineFaults{LateRate: 0.2, LateBy: 30 * time.Millisecond}},
		{"repeated", emulator.EngineFaults{RepeatRate: 0.2}},
		{"lost", emulator.EngineFaults{LossRate: 0.2}},
		{"crossed", emulator.EngineFaults{CrossRate: 0.2}},
		{"reset", emulator.EngineFaults{ResetRate: 0.2}},
		{"stalled", emulator.EngineFaults{StallRate: 1}},
		{"died", emulator.EngineFaults{DieAfterTokens: 30}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.ready("m")
			h.engine.SetFaults(test.faults)
			first, second := request("r1", "m", "first"), request("r2", "m", "second")
			one, two := h.generate(first), h.generate(second)
			h.run(5 * time.Second)
			wrong := checkAnswer(first, h.tokens(one)) + checkAnswer(second, h.tokens(two))
			h.Check(wrong, qt.Not(qt.Equals), "")
		})
	}
}

func TestResumeReturnsExactlyTheMissingTokens(t *testing.T) {
	whole := request("r", "m", prompt("p", 50))
	length := emulator.ExpectedLength("m", whole.Prompt, whole.MaxTokens)
	for from := 0; from <= length+1; from++ {
		h := newHarness(t, nil)
		h.ready("m")
		resumed := whole
		resumed.ResumeFrom = from
		call := h.generate(resumed)
		h.run(5 * time.Second)
		if from < length {
			h.Check(checkAnswer(resumed, h.tokens(call)), qt.Equals, "")
			continue
		}
		want := structs.Token{ID: "r", Index: from, Finish: emulator.ExpectedFinish("m", whole.Prompt, whole.MaxTokens)}
		h.Check(h.tokens(call), qt.DeepEquals, []structs.Token{want})
	}
}

func TestDisconnectedRequestResumesUnderItsID(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("m")
	whole := request("r", "m", prompt("p", 50))
	call := h.generate(whole)
	h.run(60 * time.Millisecond)
	received := h.tokens(call)
	h.Assert(len(received) > 0 && received[len(received)-1].Finish == "", qt.IsTrue)
	h.Check(h.status("r", false).State, qt.Equals, structs.RunRunning)
	h.record(h.engine.Step(h.now, emulator.EngineInput{Kind: emulator.InputDisconnect, Call: call}))
	h.Check(h.status("r", false).State, qt.Equals, structs.RunCancelled)
	resumed := whole
	resumed.ResumeFrom = len(received)
	rest := h.generate(resumed)
	h.run(5 * time.Second)
	h.Check(h.tokens(call), qt.HasLen, len(received))
	h.Check(checkAnswer(whole, append(received, h.tokens(rest)...)), qt.Equals, "")
	h.Check(h.status("r", false).State, qt.Equals, structs.RunFinished)
	h.Check(h.engine.Records().ByRequest()["r"], qt.HasLen, 2)
	h.Check(h.engine.Records().ByPrompt()[emulator.PromptHash("m", whole.Prompt)], qt.HasLen, 2)
}

func TestCancelledIDsAreRefused(t *testing.T) {
	tests := []struct {
		name string
		// wait is how long the request runs before it is cancelled; -1 means that it is
		// not sent.
		wait      time.Duration
		state     structs.RunState
		started   bool
		execution structs.Execution
	}{
		{"never seen", -1, structs.RunUnknown, false, structs.ExecutionNotRun},
		{"running", 50 * time.Millisecond, structs.RunCancelled, true, structs.ExecutionUnknown},
		{"finished", 5 * time.Second, structs.RunFinished, true, structs.ExecutionUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.ready("m")
			each := request("r", "m", "p")
			h.Check(h.status("r", false).State, qt.Equals, structs.RunUnknown)
			if test.wait >= 0 {
				h.generate(each)
				h.run(test.wait)
			}
			status := h.status("r", true)
			h.Check(status.State, qt.Equals, test.state)
			h.Check(status.Started, qt.Equals, test.started)
			h.Check(status.Incarnation, qt.Equals, structs.Incarnation(1))
			executed := len(h.engine.Records().Executions)
			for _, from := range []int{0, 3} {
				each.ResumeFrom = from
				refused := h.last(h.generate(each))
				h.Assert(refused.Kind, qt.Equals, emulator.OutputRefused)
				h.Check(refused.Refusal.Execution, qt.Equals, test.execution)
			}
			h.run(5 * time.Second)
			h.Check(h.engine.Records().Executions, qt.HasLen, executed)
			h.run(engineapi.IDRetention + time.Second)
			h.Check(h.status("other", true).State, qt.Equals, structs.RunUnknown)
			each.ResumeFrom = 0
			h.Check(h.last(h.generate(each)).Kind, qt.Equals, emulator.OutputAccepted, qt.Commentf("after the retention time"))
		})
	}
}

func TestResumeCancelsTheLiveRequest(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("m")
	whole := request("r", "m", prompt("p", 50))
	broken := h.generate(whole)
	h.run(60 * time.Millisecond)
	received := h.tokens(broken)
	resumed := whole
	resumed.ResumeFrom = len(received)
	rest := h.generate(resumed)
	h.Check(h.last(broken).Token.Finish, qt.Equals, structs.FinishCancelled)
	h.Check(h.report().Load.Running+h.report().Load.Queued, qt.Equals, 1)
	h.run(5 * time.Second)
	h.Check(checkAnswer(whole, append(received, h.tokens(rest)...)), qt.Equals, "")
}

func TestResumedRequestExpiresAfterItsOwnEnd(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("m")
	each := request("r", "m", "p")
	h.generate(each)
	h.run(engineapi.IDRetention / 2)
	each.ResumeFrom = 3
	h.generate(each)
	h.run(engineapi.IDRetention * 3 / 4)
	h.status("other", true)
	h.Check(h.status("r", false).State, qt.Equals, structs.RunFinished)
	h.run(engineapi.IDRetention)
	h.status("another", true)
	h.Check(h.status("r", false).State, qt.Equals, structs.RunUnknown)
}

func TestCancelledQueuedRequestDoesNotRun(t *testing.T) {
	h := newHarness(t, func(o *emulator.EngineOptions) { o.MaxBatch = 1 })
	h.ready("m")
	h.generate(request("r1", "m", "p"))
	queued := h.generate(request("r2", "m", "q"))
	status := h.status("r2", true)
	h.Check(status.State, qt.Equals, structs.RunCancelled)
	h.Check(status.Started, qt.IsFalse)
	h.Check(h.last(queued).Token.Finish, qt.Equals, structs.FinishCancelled)
	h.run(5 * time.Second)
	h.Check(h.engine.Records().ByRequest()["r2"], qt.HasLen, 0)
}

func TestRefusedRequestsDoNotRun(t *testing.T) {
	tests := []struct {
		name   string
		change func(request *structs.GenerateRequest)
		kind   structs.ErrorKind
	}{
		{"other incarnation", func(r *structs.GenerateRequest) { r.Incarnation = 9 }, structs.ErrorUnavailable},
		{"row not loaded", func(r *structs.GenerateRequest) { r.Row = "other" }, structs.ErrorUnavailable},
		{"no ID", func(r *structs.GenerateRequest) { r.ID = "" }, structs.ErrorInvalid},
		{"no tokens", func(r *structs.GenerateRequest) { r.MaxTokens = 0 }, structs.ErrorInvalid},
		{"too many tokens", func(r *structs.GenerateRequest) { r.MaxTokens = 1 << 62 }, structs.ErrorInvalid},
		{"negative resume", func(r *structs.GenerateRequest) { r.ResumeFrom = -1 }, structs.ErrorInvalid},
		{"longer than the KV cache", func(r *structs.GenerateRequest) { r.MaxTokens = 1 << 19 }, structs.ErrorInvalid},
		{"full queue", func(*structs.GenerateRequest) {}, structs.ErrorOverloaded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, func(o *emulator.EngineOptions) { o.MaxBatch = 1; o.MaxQueue = 1 })
			h.ready("m")
			h.generate(request("r1", "m", "p"))
			h.generate(request("r2", "m", "p"))
			each := request("r3", "m", "p")
			test.change(&each)
			refused := h.last(h.generate(each))
			h.Assert(refused.Kind, qt.Equals, emulator.OutputRefused)
			h.Check(refused.Refusal.Execution, qt.Equals, structs.ExecutionNotRun)
			h.Check(refused.Refusal.Error.Kind, qt.Equals, test.kind)
			h.Check(refused.Refusal.Error.RetryAfter > 0, qt.Equals, test.kind == structs.ErrorOverloaded)
			h.run(5 * time.Second)
			h.Check(h.engine.Records().Executions, qt.HasLen, 2)
		})
	}
}

func TestDuplicateOfALiveRequestIsRefused(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("m")
	each := request("r", "m", "p")
	first := h.generate(each)
	refused := h.last(h.generate(each))
	h.Assert(refused.Kind, qt.Equals, emulator.OutputRefused)
	h.Check(refused.Refusal.Execution, qt.Equals, structs.ExecutionUnknown, qt.Commentf("the request ID is running"))
	h.run(5 * time.Second)
	h.Check(checkAnswer(each, h.tokens(first)), qt.Equals, "")
	h.Check(h.engine.Records().Executions, qt.HasLen, 1)
}

func TestQueueIsOrderedByPriority(t *testing.T) {
	h := newHarness(t, func(o *emulator.EngineOptions) { o.MaxBatch = 1 })
	h.ready("m")
	h.generate(request("first", "m", "p"))
	order := []structs.Priority{structs.PriorityBatch, structs.PriorityLive, structs.PriorityStandard, structs.PriorityLive}
	for i, priority := range order {
		each := request(fmt.Sprintf("%d", i), "m", "p")
		each.Priority = priority
		h.generate(each)
	}
	h.run(10 * time.Second)
	var started []structs.RequestID
	for _, execution := range h.engine.Records().Executions {
		started = append(started, execution.ID)
	}
	h.Check(started, qt.DeepEquals, []structs.RequestID{"first", "1", "3", "2", "0"})
}

func TestStepTimeDependsOnTheBatch(t *testing.T) {
	interval := func(requests int, faults emulator.EngineFaults) time.Duration {
		h := newHarness(t, nil)
		h.ready("m")
		h.engine.SetFaults(faults)
		var call emulator.CallID
		for i := range requests {
			call = h.generate(request(fmt.Sprint(i), "m", "p"))
		}
		h.run(2 * time.Second)
		return h.tokenAt[call][6].Sub(h.tokenAt[call][5])
	}
	options := newHarness(t, nil).engine.Options()
	alone := options.DecodeBase + options.DecodePerSequence
	qt.Check(t, interval(1, emulator.EngineFaults{}), qt.Equals, alone)
	qt.Check(t, interval(8, emulator.EngineFaults{}), qt.Equals, alone+7*options.DecodePerSequence)
	qt.Check(t, interval(1, emulator.EngineFaults{SlowFactor: 3}), qt.Equals, 3*alone)
}

func TestEmbeddings(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("m")
	embed := func(id structs.RequestID, row structs.RowName) emulator.CallID {
		wanted := engineapi.EmbeddingsRequest{ID: id, Row: row, Inputs: []string{"a", "b"}}
		return h.step(emulator.EngineInput{Kind: emulator.InputEmbeddings, Embeddings: wanted})
	}
	call, cancelled := embed("r", "m"), embed("s", "m")
	h.status("s", true)
	h.run(time.Second)
	h.Check(h.last(call).Embeddings.Vectors, qt.DeepEquals, [][]float32{emulator.ExpectedVector("m", "a"), emulator.ExpectedVector("m", "b")})
	h.Check(h.byCall[cancelled], qt.HasLen, 1)
	h.Check(h.last(cancelled).Kind, qt.Equals, emulator.OutputRefused)
	h.Check(h.last(embed("t", "other")).Refusal.Execution, qt.Equals, structs.ExecutionNotRun)
	h.Check(h.engine.Records().Executions, qt.HasLen, 2)
}
