package emulator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
)

func TestExecutionsRecordArrivalTime(t *testing.T) {
	h := newHarness(t, func(o *emulator.EngineOptions) { o.MaxBatch = 1 })
	h.ready("m")
	h.generate(request("r1", "m", "p"))
	h.generate(request("r2", "m", "q"))
	h.run(time.Minute)
	first, second := h.engine.Records().ByRequest()["r1"][0], h.engine.Records().ByRequest()["r2"][0]
	h.Assert(second.ArrivedAt.Equal(first.ArrivedAt), qt.IsTrue)
	h.Assert(second.StartedAt.Before(first.EndedAt), qt.IsFalse)
	h.Assert(second.StartedAt.After(second.ArrivedAt), qt.IsTrue)
}
