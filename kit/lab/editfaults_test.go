package lab

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestCheckEditFaultsDetectsViolations(t *testing.T) {
	answered := func(accepted bool, revision uint64) sentEdit {
		edit := structs.Edit{ID: "e", Changes: []structs.RowChange{{Row: structs.Row{Name: "symbols"}, BaseRevision: 3}}}
		return sentEdit{edit, structs.EditResult{Accepted: accepted, Revision: revision}}
	}
	tests := []struct {
		about   string
		records editFaults
		broken  []string
	}{
		{"one of three accepted", editFaults{races: [][]sentEdit{{answered(false, 0), answered(true, 4), {}}}}, nil},
		{"none accepted", editFaults{races: [][]sentEdit{{answered(false, 0), answered(false, 0)}}}, nil},
		{"two accepted", editFaults{races: [][]sentEdit{{answered(true, 4), answered(true, 5)}}}, []string{"one_winner"}},
		{"same result", editFaults{resends: [][]sentEdit{{answered(true, 4), answered(true, 4)}, {answered(false, 0)}}}, nil},
		{"different revision", editFaults{resends: [][]sentEdit{{answered(true, 4), answered(true, 5)}}}, []string{"resend"}},
		{"refused on resend", editFaults{resends: [][]sentEdit{{answered(true, 4), answered(false, 4)}}}, []string{"resend"}},
		{"a daemon does not catch up", editFaults{behind: []string{"sala-a-1 has revision 3 of 9"}}, []string{"in_force"}},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			var broken []string
			for _, violation := range checkEditFaults(test.records) {
				broken = append(broken, violation.Invariant)
			}
			qt.Assert(t, broken, qt.DeepEquals, test.broken)
		})
	}
}
