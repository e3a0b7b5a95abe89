package hollow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

func TestLimitCheckerSeesOneReplicaTooMany(t *testing.T) {
	second := int64(time.Second)
	for name, test := range map[string]struct {
		edges   []replicaEdge
		history []limitChange
		want    int
	}{
		"within the limit": {[]replicaEdge{{1, "row", 1}, {2, "row", 1}}, []limitChange{{0, 2}}, 0},
		"one too many":     {[]replicaEdge{{1, "row", 1}, {2, "row", 1}, {3, "row", 1}}, []limitChange{{0, 2}}, 1},
		"one replaced":     {[]replicaEdge{{1, "row", 1}, {2, "row", -1}, {3, "row", 1}}, []limitChange{{0, 1}}, 0},
		"no row at all":    {[]replicaEdge{{1, "other", 1}}, nil, 1},
		"ordered under an earlier limit": {
			[]replicaEdge{{5 * second, "row", 1}, {6 * second, "row", 1}}, []limitChange{{0, 2}, {second, 1}}, 0,
		},
		"long after the limit was lowered": {
			[]replicaEdge{{50 * second, "row", 1}, {51 * second, "row", 1}}, []limitChange{{0, 2}, {second, 1}}, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			violations := checkLimits(test.edges, map[structs.RowName][]limitChange{"row": test.history})
			c.Assert(violations, qt.HasLen, test.want)
		})
	}
}

func TestMemoryCheckerSeesOvercommitment(t *testing.T) {
	c := qt.New(t)
	c.Assert(checkMemory("runner", 100, 100, 0), qt.HasLen, 0)
	c.Assert(checkMemory("runner", 100, 101, 0), qt.HasLen, 1)
	c.Assert(checkMemory("runner", 100, 90, 2), qt.HasLen, 1)
}

func TestRowCheckerSeesALostAndARevertedEdit(t *testing.T) {
	c := qt.New(t)
	edit := func(weight int, revision uint64, accepted bool) *editRecord {
		changes := []structs.RowChange{{Row: structs.Row{Name: "row", Weight: weight}}}
		return &editRecord{edit: structs.Edit{Changes: changes}, accepted: accepted, revision: revision}
	}
	expected := expectedRows([]*editRecord{edit(2, 2, true), edit(1, 1, true), edit(9, 0, false)})
	c.Assert(expected, qt.DeepEquals, map[structs.RowName]structs.Row{"row": {Name: "row", Weight: 2, Revision: 2}})
	member := map[structs.RowName]structs.Row{}
	lookup := func(name structs.RowName) (structs.Row, bool) {
		row, found := member[name]
		return row, found
	}
	c.Assert(checkRows("member", expected, lookup), qt.HasLen, 1)
	member["row"] = structs.Row{Name: "row", Weight: 1, Revision: 1}
	c.Assert(checkRows("member", expected, lookup), qt.HasLen, 1)
	member["row"] = expected["row"]
	c.Assert(checkRows("member", expected, lookup), qt.HasLen, 0)
}

func TestCallCheckerSeesWrongAnswers(t *testing.T) {
	request := structs.Request{ID: "r", Row: "row", Prompt: "Hello.", MaxTokens: 16, DeadlineAt: epochStart.Add(time.Minute)}
	length := emulator.ExpectedLength(request.Row, request.Prompt, request.MaxTokens)
	send := func(home *zoneSite, record *callRecord, from, to int) {
		for index := from; index < to; index++ {
			record.take(home, structs.Token{Index: index, Text: emulator.ExpectedToken(request.Row, request.Prompt, index)})
		}
	}
	for name, test := range map[string]struct {
		answer func(home *zoneSite, record *callRecord)
		wrong  bool
	}{
		"whole": {func(home *zoneSite, record *callRecord) { send(home, record, 0, length) }, false},
		"short": {func(home *zoneSite, record *callRecord) { send(home, record, 0, length-1) }, true},
		"a token twice": {func(home *zoneSite, record *callRecord) {
			send(home, record, 0, 1)
			send(home, record, 0, length-1)
		}, true},
		"another text": {func(home *zoneSite, record *callRecord) {
			record.take(home, structs.Token{Text: "no token of this answer"})
			send(home, record, 1, length)
		}, true},
		"ended twice": {func(home *zoneSite, record *callRecord) {
			send(home, record, 0, length)
			record.end(home, outcomeAnswered, nil)
		}, true},
		"after its deadline": {func(home *zoneSite, record *callRecord) {
			send(home, record, 0, length)
			home.now = int64(2 * time.Minute)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			home := &zoneSite{partition: newPartition(0, 1), load: workload{open: 1, refusedBy: map[string]int{}}}
			record := &callRecord{request: request, checkText: true}
			test.answer(home, record)
			record.end(home, outcomeAnswered, nil)
			c.Assert(len(home.box.violations) > 0, qt.Equals, test.wrong, qt.Commentf("%v", home.box.violations))
		})
	}
}
