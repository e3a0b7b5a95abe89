package emulator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

func TestCrashRecordsAllReplicasAsAbsent(t *testing.T) {
	h := newHarness(t, nil)
	h.ready("row-a")
	h.load("row-b", "", gigabyte)
	h.run(time.Millisecond)
	h.step(emulator.EngineInput{Kind: emulator.InputCrash})
	last := map[structs.RowName]structs.ReplicaState{}
	for _, change := range h.engine.Records().ReplicaChanges {
		last[change.Row] = change.State
	}
	h.Assert(last, qt.DeepEquals, map[structs.RowName]structs.ReplicaState{
		"row-a": structs.ReplicaAbsent,
		"row-b": structs.ReplicaAbsent,
	})
}
