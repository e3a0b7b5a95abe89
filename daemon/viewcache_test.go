
func TestControllerAnswersARouterOnlyWithNews(t *testing.T) {
	placement := &structs.Placement{}
	for _, test := range []struct {
		about     string
		view      structs.ZoneView
		arguments ViewArguments
		want      bool
	}{
		{"nothing is applied yet", structs.ZoneView{Placement: placement}, ViewArguments{}, false},
		{"the first entry", structs.ZoneView{Index: 1, Placement: placement}, ViewArguments{}, true},
		{"runners changed", structs.ZoneView{Index: 8, Placement: placement}, ViewArguments{SinceIndex: 7}, true},
		{"other entries", structs.ZoneView{Index: 8}, ViewArguments{SinceIndex: 7}, false},
		{"the table changed", structs.ZoneView{Index: 8, Table: structs.TableDelta{Revision: 3}}, ViewArguments{SinceIndex: 7, SinceTable: 2}, true},
		{"the router has a newer table", structs.ZoneView{Index: 8, Table: structs.TableDelta{Revision: 3}}, ViewArguments{SinceIndex: 8, SinceTable: 4}, false},
	} {
		qt.Check(t, isNews(test.view, test.arguments), qt.Equals, test.want, qt.Commentf(test.about))
	}
}
