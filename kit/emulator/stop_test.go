package emulator_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

func TestAnswerEndsBeforeStopSequence(t *testing.T) {
	whole := request("r", "m", "the prompt")
	const last = 3
	token := emulator.ExpectedToken("m", whole.Prompt, last)
	expected := ""
	for index := range last {
		expected += emulator.ExpectedToken("m", whole.Prompt, index)
	}
	expected += token[:4]
	for _, from := range []int{0, 2} {
		h := newHarness(t, nil)
		h.ready("m")
		stopped := whole
		stopped.ResumeFrom = from
		stopped.Sampling = &structs.Sampling{Stop: []string{"nowhere", token[6:], token[4:6]}}
		call := h.generate(stopped)
		h.run(5 * time.Second)
		tokens := h.tokens(call)
		h.Assert(tokens, qt.HasLen, last+1-from)
		var text strings.Builder
		for index := range from {
			text.WriteString(emulator.ExpectedToken("m", whole.Prompt, index))
		}
		for _, made := range tokens {
			text.WriteString(made.Text)
		}
		h.Check(text.String(), qt.Equals, expected)
		h.Check(tokens[len(tokens)-1].Finish, qt.Equals, structs.FinishStop)
	}
}
