package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestViewSourceChoosesTheController(t *testing.T) {
	hasChanges := structs.ZoneView{Index: 12, Placement: &structs.Placement{Partial: true}}
	edit := structs.ZoneView{Index: 12, Table: structs.TableDelta{Revision: 5}}
	tests := []struct {
		about  string
		answer structs.ZoneView
		helps  bool
		next   int
	}{
		{"placement changed", hasChanges, true, 0},
		{"table changed", edit, true, 0},
		{"a full poll without changes", structs.ZoneView{Index: 10, Table: structs.TableDelta{Revision: 4}}, true, 1},
		{"a controller that is behind", structs.ZoneView{Index: 9}, false, 1},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			source := NewViewSource(2, structs.ZoneView{Index: 10, Table: structs.TableDelta{Revision: 4}})
			_, helps := source.Take(test.answer)
			qt.Assert(t, helps, qt.Equals, test.helps)
			qt.Assert(t, source.Controller(), qt.Equals, test.next)
			request := source.Next()
			qt.Assert(t, request.SinceTable, qt.Equals, max(4, test.answer.Table.Revision))
			qt.Assert(t, request.SinceIndex, qt.Equals, max(10, test.answer.Index))
			source.Failed()
			source.Failed()
			qt.Assert(t, source.Controller(), qt.Equals, test.next)
		})
	}
}
