package table

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

func TestCheckInvariantsReportsEachViolation(t *testing.T) {
	tests := []struct {
		about   string
		corrupt func(*State)
		want    string
	}{
		{"row under another name", func(s *State) { s.rows["m"].row.Name = "n" }, `.*listed twice or under another name`},
		{"list out of order", func(s *State) { s.changes.oldest.changed = 9 }, `.*out of order in the list of changes`},
		{"lost base", func(s *State) { s.rows["m"].deleted = true; s.rows["m"].grants = nil }, `.*lost its base.*`},
		{"row not listed", func(s *State) { s.changes.remove(s.rows["x"]) }, `the table counts.*`},
		{"tombstones miscounted", func(s *State) { s.tombstones++ }, `the table counts.*`},
		{"dependents miscounted", func(s *State) { s.rows["m"].dependents++ }, `.*counts 2 dependents instead of 1`},
		{"row revision beyond change", func(s *State) { s.rows["m"].row.Revision = 9 }, `.*revision beyond.*`},
		{"table revision fell", func(s *State) { s.revision = 1 }, `.*revision beyond.*`},
		{"zones changed later", func(s *State) { s.rows["m"].zonesChanged = 9 }, `.*revision beyond.*`},
		{"max out of range", func(s *State) { s.rows["m"].row.MaxReplicas = -1 }, `.*has max_replicas -1`},
		{"too much held", func(s *State) { s.rows["m"].grants[0].held++ }, `.*zones hold 5 replicas of 4 allowed`},
		{"grants out of order", func(s *State) { s.rows["m"].grants[1].zone = 0 }, `.*grants are out of order`},
		{"limit above held", func(s *State) { s.rows["m"].grants[0].held-- }, `.*above the 1 it holds`},
		{"wish out of range", func(s *State) { s.rows["m"].grants[0].wish = MaxReplicasLimit + 1 }, `.*a zone wishes 10001`},
		{"sequence beyond change", func(s *State) { s.rows["m"].grants[0].sequence = 9 }, `.*sequence 9 is beyond.*`},
		{"removed zone with limit", func(s *State) { s.zones[0].Removed = true }, `.*removed zone has the limit 2`},
		{"limits beyond max", func(s *State) { s.rows["m"].heldOverLimit = 4; s.rows["m"].row.MaxReplicas = 3 }, `.*limits sum to 4 of 3`},
		{"adapter without base", func(s *State) { s.rows["m"].grants[0].limit = 0 }, `.*has the limit 2 without its base`},
		{"minimum above limit", func(s *State) { s.rows["m"].minimums = map[uint16]uint16{0: 3} }, `.*to keep 3 replicas and may have 2`},
		{"minimums do not add up", func(s *State) { s.rows["m"].minimums = map[uint16]uint16{0: 1} }, `.*to keep 1 replicas instead of 0`},
		{"adapter not listed", func(s *State) { s.rows["m"].adapters = nil }, `.*lists 0 adapters instead of 1`},
		{"another's adapter", func(s *State) { s.rows["m"].adapters[0] = s.rows["m"] }, `.*lists the adapter "m" wrongly`},
		{"zone names", func(s *State) { delete(s.zoneIndex, "a") }, `2 zones have 1 names`},
		{"zone ahead", func(s *State) { s.zones[0].InForce = 9 }, `.*has revision 9 in force.*`},
		{"zone weight", func(s *State) { s.zones[0].Weight = 0 }, `.*has the weight 0`},
		{"history too long", func(s *State) { s.history = make([]structs.HistoryEntry, HistoryRetention+1) }, `the history has 50001 entries`},
		{"history not rising", func(s *State) { s.history[1].Revision = 1 }, `the history has revision 1 after 1.*`},
		{"floor ahead", func(s *State) { s.floor = 9 }, `deletions are forgotten up to 9.*`},
		{"answer lost", func(s *State) { delete(s.answers.byID, "e1") }, `2 edit IDs have 1 answers`},
		{"answer ahead", func(s *State) {
			record := s.answers.byID["e1"]
			record.result.Revision = 9
			s.answers.byID["e1"] = record
		}, `edit "e1" was answered with revision 9.*`},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			state := stateWith(2)
			mustApply(t, state, editOf("e1", put(modelRow("m", 4), 0)), editOf("e2", put(adapterRow("x", "m", 4), 0)))
			test.corrupt(state)
			qt.Assert(t, state.CheckInvariants(), qt.ErrorMatches, test.want)
		})
	}
}
