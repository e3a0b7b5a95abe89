package lab

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

func TestCheckLeavingDetectsLateWork(t *testing.T) {
	notices := []leavingNotice{{runner: "e", from: at(10), until: at(18)}}
	request := func(seconds int) emulator.Records {
		return emulator.Records{Executions: []*emulator.Execution{{ID: "q", ArrivedAt: at(seconds), StartedAt: at(15)}}}
	}
	load := func(seconds int, state structs.ReplicaState) emulator.Records {
		return emulator.Records{ReplicaChanges: []emulator.ReplicaChange{{At: at(seconds), Row: "r", State: state}}}
	}
	for _, test := range []struct {
		about  string
		runner structs.RunnerID
		record emulator.Records
		want   []string
	}{
		{"request before the notice, started late", "e", request(9), nil},
		{"request within the bound", "e", request(13), nil},
		{"request after the bound", "e", request(14), []string{"leaving"}},
		{"request after the runner is live again", "e", request(19), nil},
		{"request on another runner", "f", request(14), nil},
		{"load within the bound", "e", load(12, structs.ReplicaLoading), nil},
		{"load after the bound", "e", load(14, structs.ReplicaLoading), []string{"leaving"}},
		{"end of a load after the bound", "e", load(14, structs.ReplicaReady), nil},
	} {
		got := checkLeaving(notices, map[structs.RunnerID]emulator.Records{test.runner: test.record})
		qt.Check(t, invariants(got), qt.DeepEquals, test.want, qt.Commentf(test.about))
	}
}

func TestCheckEditsDetectsLateAndRevertedEdits(t *testing.T) {
	sample := func(seconds int, startCount int64, revision uint64) revisionSample {
		return revisionSample{zone: "z", daemon: "z-0", startCount: startCount, at: at(seconds), revision: revision}
	}
	edit := acceptedEdit{revision: 5, at: at(10), row: structs.Row{Name: "r", Weight: 7}}
	held := structs.Row{Name: "r", Weight: 7, Revision: 5}
	for _, test := range []struct {
		about   string
		samples []revisionSample
		outages []zoneOutage
		held    structs.Row
		want    []string
	}{
		{"in time", []revisionSample{sample(9, 1, 4), sample(12, 1, 5)}, nil, held, nil},
		{"seen before the operator got the response", []revisionSample{sample(9, 1, 5)}, nil, held, nil},
		{"late", []revisionSample{sample(18, 1, 5)}, nil, held, []string{"in_force"}},
		{"never", []revisionSample{sample(12, 1, 4)}, nil, held, []string{"in_force"}},
		{"in time after a partition", []revisionSample{sample(25, 1, 6)}, []zoneOutage{{"z", at(12), at(20)}}, held, nil},
		{"late after a partition", []revisionSample{sample(28, 1, 5)}, []zoneOutage{{"z", at(12), at(20)}}, held, []string{"in_force"}},
		{"late with a partition of another zone", []revisionSample{sample(25, 1, 5)}, []zoneOutage{{"y", at(12), at(20)}}, held, []string{"in_force"}},
		{"late with an earlier partition", []revisionSample{sample(25, 1, 5)}, []zoneOutage{{"z", at(2), at(9)}}, held, []string{"in_force"}},
		{"reverted", []revisionSample{sample(11, 1, 5), sample(12, 1, 4)}, nil, held, []string{"in_force"}},
		{"replayed after a restart", []revisionSample{sample(11, 1, 5), sample(12, 2, 4)}, nil, held, nil},
		{"another weight at the end", []revisionSample{sample(11, 1, 5)}, nil, structs.Row{Name: "r", Weight: 8, Revision: 5}, []string{"in_force"}},
		{"an older revision at the end", []revisionSample{sample(11, 1, 5)}, nil, structs.Row{Name: "r", Weight: 7, Revision: 4}, []string{"in_force"}},
		{"missing at the end", []revisionSample{sample(11, 1, 5)}, nil, structs.Row{Name: "s"}, []string{"in_force"}},
	} {
		got, _ := checkEdits(editRecords{
			zones: []structs.ZoneID{"z"}, accepted: []acceptedEdit{edit}, samples: test.samples, outages: test.outages, end: []structs.Row{test.held},
		})
		qt.Check(t, invariants(got), qt.DeepEquals, test.want, qt.Commentf(test.about))
	}
}

func TestEditTimesStartAtAcceptance(t *testing.T) {
	records := editRecords{
		zones:    []structs.ZoneID{"z"},
		accepted: []acceptedEdit{{revision: 5, at: at(10), row: structs.Row{Name: "r"}}},
		samples:  []revisionSample{{zone: "z", daemon: "z-0", at: at(12), revision: 5}},
		end:      []structs.Row{{Name: "r", Revision: 5}},
	}
	violations, taken := checkEdits(records)
	qt.Assert(t, violations, qt.HasLen, 0)
	qt.Assert(t, taken.Count, qt.Equals, 1)
	qt.Assert(t, taken.Max >= 1.99 && taken.Max <= 2.01, qt.IsTrue, qt.Commentf("%v", taken.Max))
}
