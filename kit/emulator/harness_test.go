package emulator_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

const gigabyte = 1 << 30

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness drives an engine in virtual time and groups its outputs by call.
type harness struct {
	*qt.C
	engine *emulator.Engine
	now    time.Time
	calls  emulator.CallID
	fence  structs.OrderNumber
	byCall map[emulator.CallID][]emulator.EngineOutput
	// tokenAt holds the arrival times of the tokens of each call.
	tokenAt map[emulator.CallID][]time.Time
}

// newHarness returns a harness around an engine with room for several rows; change may
// modify the options.
func newHarness(t testing.TB, change func(options *emulator.EngineOptions)) *harness {
	options := emulator.EngineOptions{
		Runner:          "runner-1",
		Role:            "answers",
		MemoryBytes:     40 * gigabyte,
		Accelerators:    8,
		HostMemoryBytes: 100 * gigabyte,
		DiskBytes:       100 * gigabyte,
		Random:          rand.New(rand.NewPCG(1, 2)),
		FetchTime: func(structs.RowName, int64) (time.Duration, bool) {
			return 3 * time.Second, true
		},
	}
	if change != nil {
		change(&options)
	}
	return &harness{
		C:       qt.New(t),
		engine:  emulator.NewEngine(options),
		now:     start,
		byCall:  make(map[emulator.CallID][]emulator.EngineOutput),
		tokenAt: make(map[emulator.CallID][]time.Time),
	}
}

func (h *harness) record(outputs []emulator.EngineOutput) {
	for _, output := range outputs {
		h.byCall[output.Call] = append(h.byCall[output.Call], output)
		if output.Kind == emulator.OutputToken {
			h.tokenAt[output.Call] = append(h.tokenAt[output.Call], h.now)
		}
	}
}

// step passes an input to the engine and returns its call ID.
func (h *harness) step(input emulator.EngineInput) emulator.CallID {
	h.calls++
	input.Call = h.calls
	h.record(h.engine.Step(h.now, input))
	return h.calls
}

// run advances virtual time by duration, one event at a time.
func (h *harness) run(duration time.Duration) {
	until := h.now.Add(duration)
	for {
		at, found := h.engine.NextEvent()
		if !found || at.After(until) {
			break
		}
		h.now = at
		h.record(h.engine.Advance(at))
	}
	h.now = until
	h.record(h.engine.Advance(until))
}

func (h *harness) order(order structs.Order) structs.OrderReply {
	if order.Fence == (structs.Fence{}) {
		h.fence++
		order.Fence = structs.Fence{Epoch: 1, Number: h.fence}
	}
	if order.Runner == "" {
		order.Runner = "runner-1"
	}
	if order.Incarnation == 0 {
		order.Incarnation = h.engine.Incarnation()
	}
	call := h.step(emulator.EngineInput{Kind: emulator.InputOrder, Order: order})
	return *h.last(call).Order
}

func (h *harness) load(row, base structs.RowName, memory int64) structs.OrderReply {
	return h.order(structs.Order{Kind: structs.OrderLoad, Row: row, Base: base, MemoryBytes: memory})
}

// ready loads a row and waits until it is ready.
func (h *harness) ready(row structs.RowName) {
	h.Assert(h.load(row, "", gigabyte).Accepted, qt.IsTrue)
	h.run(10 * time.Second)
	h.Assert(h.state(row), qt.Equals, structs.ReplicaReady)
}

func (h *harness) state(row structs.RowName) structs.ReplicaState {
	for _, held := range h.report().Replicas {
		if held.Row == row {
			return held.State
		}
	}
	return ""
}

func (h *harness) report() structs.EngineReport {
	return *h.last(h.step(emulator.EngineInput{Kind: emulator.InputReport})).Report
}

func (h *harness) generate(request structs.GenerateRequest) emulator.CallID {
	return h.step(emulator.EngineInput{Kind: emulator.InputGenerate, Generate: request})
}

func (h *harness) status(id structs.RequestID, cancel bool) structs.RequestStatus {
	return *h.last(h.step(emulator.EngineInput{Kind: emulator.InputStatus, ID: id, Cancel: cancel})).Status
}

func (h *harness) last(call emulator.CallID) emulator.EngineOutput {
	outputs := h.byCall[call]
	h.Assert(outputs, qt.Not(qt.HasLen), 0)
	return outputs[len(outputs)-1]
}

func (h *harness) tokens(call emulator.CallID) []structs.Token {
	var tokens []structs.Token
	for _, output := range h.byCall[call] {
		if output.Kind == emulator.OutputToken {
			tokens = append(tokens, output.Token)
		}
	}
	return tokens
}

// checkAnswer describes how the tokens differ from the expected answer, or returns "".
func checkAnswer(request structs.GenerateRequest, tokens []structs.Token) string {
	length := emulator.ExpectedLength(request.Row, request.Prompt, request.MaxTokens)
	if len(tokens) != length-request.ResumeFrom {
		return fmt.Sprintf("%d tokens, want %d", len(tokens), length-request.ResumeFrom)
	}
	for i, token := range tokens {
		want := structs.Token{ID: request.ID, Index: request.ResumeFrom + i}
		want.Text = emulator.ExpectedToken(request.Row, request.Prompt, want.Index)
		if want.Index == length-1 {
			want.Finish = emulator.ExpectedFinish(request.Row, request.Prompt, request.MaxTokens)
		}
		if token != want {
			return fmt.Sprintf("token %+v, want %+v", token, want)
		}
	}
	return ""
}

// prompt returns a prompt of the given number of tokens that begins with name.
func prompt(name string, tokens int) string {
	text := strings.Repeat(name+" ", tokens*4)
	return text[:tokens*4]
}

func request(id, row, text string) structs.GenerateRequest {
	return structs.GenerateRequest{ID: structs.RequestID(id), Row: structs.RowName(row), Prompt: text, MaxTokens: 20}
}
